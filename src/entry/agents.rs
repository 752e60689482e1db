//! Accepts connections of agents and other entries, and reads frames from agents.

use tokio::net::{TcpListener, TcpStream};
use xtra::Address;

use crate::auth::Secret;
use crate::conn::{self, ConnError, Inbox, Outbox};
use crate::entry::dispatcher::Dispatcher;
use crate::entry::messages::{
    AgentConnected, AgentDisconnected, AgentLeaving, ConnectionId, OfferWithdrawn, ProgressReport,
    SlotOffered,
};
use crate::entry::peer_rules::RulesServer;
use crate::entry::routes::{RequestEvent, Routes};
use crate::ids::{BootId, DispatchId};
use crate::listen;
use crate::telemetry::{Event as MetricEvent, Gauge, Telemetry};
use crate::wire::{AgentInfo, Opener, ToEntry};

/// The listener for agents and other entries. Each connection gets a clone.
#[derive(Clone)]
pub struct AgentListener {
    /// The dispatcher, which is sent offers and connection changes.
    pub dispatcher: Address<Dispatcher>,
    /// Routes from dispatches to request tasks.
    pub routes: Routes,
    /// Secret shared by all processes of the fleet.
    pub secret: Secret,
    /// Identifies this process instance of the entry.
    pub boot: BootId,
    /// Sends rules to other entries.
    pub peers: RulesServer,
    /// Metrics.
    pub telemetry: Telemetry,
}

impl AgentListener {
    /// Accepts agents and other entries until the process ends.
    pub async fn listen(self, listener: TcpListener) {
        loop {
            let stream = listen::accept(&listener).await;
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let accepted = conn::accept(stream, &self.secret, self.boot).await;
        let (opener, outbox, inbox) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => return self.reject(&error),
        };
        match opener {
            Opener::Agent(info) => self.serve_agent(info, outbox, inbox).await,
            Opener::Entry { .. } => self.peers.serve(outbox, inbox).await,
        }
    }

    fn reject(&self, error: &ConnError) {
        let metrics = self.telemetry.metrics();
        metrics.event(MetricEvent::RefusedConnection);
        error.count(metrics);
    }

    async fn serve_agent(self, info: AgentInfo, outbox: Outbox, mut inbox: Inbox) {
        let metrics = self.telemetry.metrics();
        let host = info.host;
        metrics.event(MetricEvent::Connect);
        metrics.add_to_gauge(Gauge::Peers, 1);
        spdlog::info!("agent up", kv: { host:, service: = info.service, zone: = info.zone });
        self.track(info, outbox, &mut inbox).await;
        metrics.add_to_gauge(Gauge::Peers, -1);
        spdlog::info!("agent down", kv: { host: });
    }

    async fn track(&self, info: AgentInfo, outbox: Outbox, inbox: &mut Inbox) {
        let Ok(connection) = self
            .dispatcher
            .send(AgentConnected {
                info,
                outbox: outbox.clone(),
            })
            .await
        else {
            return;
        };
        if let Err(error) = self.read_frames(connection, inbox).await {
            error.count(self.telemetry.metrics());
        }
        outbox.close();
        // The dispatcher outlives the connections.
        let _ = self.dispatcher.send(AgentDisconnected(connection)).await;
    }

    /// Handles frames until the connection ends or the queue of a request's task is full.
    async fn read_frames(
        &self,
        connection: ConnectionId,
        inbox: &mut Inbox,
    ) -> Result<(), ConnError> {
        loop {
            let frame = inbox.receive::<ToEntry>().await?;
            if !self.handle_frame(connection, frame).await {
                return Ok(());
            }
        }
    }

    async fn handle_frame(&self, connection: ConnectionId, frame: ToEntry) -> bool {
        match frame {
            ToEntry::Offer { offer } => self
                .dispatcher
                .send(SlotOffered(connection, offer))
                .await
                .is_ok(),
            ToEntry::Withdraw { offer } => self
                .dispatcher
                .send(OfferWithdrawn(connection, offer))
                .await
                .is_ok(),
            ToEntry::Leaving => self.dispatcher.send(AgentLeaving(connection)).await.is_ok(),
            ToEntry::Heartbeat => true,
            ToEntry::Progress { dispatch, spent } => match self.routes.get(dispatch) {
                Some(route) => {
                    let message = ProgressReport {
                        job: route.job,
                        dispatch,
                        spent,
                    };
                    self.dispatcher.send(message).await.is_ok()
                }
                None => true,
            },
            ToEntry::Decline { dispatch } => {
                self.deliver(dispatch, RequestEvent::Declined { dispatch })
            }
            ToEntry::Head {
                dispatch,
                status,
                headers,
            } => self.deliver(
                dispatch,
                RequestEvent::Head {
                    dispatch,
                    status,
                    headers,
                },
            ),
            ToEntry::Chunk {
                dispatch,
                seq,
                data,
            } => self.deliver(
                dispatch,
                RequestEvent::Chunk {
                    dispatch,
                    seq,
                    data,
                },
            ),
            ToEntry::End {
                dispatch,
                finish,
                chunks,
                bytes,
                spent,
            } => self.deliver(
                dispatch,
                RequestEvent::End {
                    dispatch,
                    finish,
                    chunks,
                    bytes,
                    spent,
                },
            ),
            ToEntry::State { dispatch, state } => {
                self.deliver(dispatch, RequestEvent::State { dispatch, state })
            }
        }
    }

    fn deliver(&self, dispatch: DispatchId, event: RequestEvent) -> bool {
        self.routes.deliver(dispatch, event)
    }
}
