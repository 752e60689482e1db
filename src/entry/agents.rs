//! The entry's listener for agents and other entries, and the reader of each agent's connection.

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
use crate::telemetry::{Event as Count, Gauge, Telemetry};
use crate::wire::{AgentInfo, Opener, ToEntry};

/// What every accepted connection needs.
#[derive(Clone)]
pub struct AgentListener {
    /// The dispatcher.
    pub dispatcher: Address<Dispatcher>,
    /// Where frames about dispatches go.
    pub routes: Routes,
    /// The shared key.
    pub secret: Secret,
    /// This run of the entry.
    pub boot: BootId,
    /// ResponseCache other entries.
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
            Err(error) => return self.refused(&error),
        };
        match opener {
            Opener::Agent(info) => self.serve_agent(info, outbox, inbox).await,
            Opener::Entry { .. } => self.peers.answer(outbox, inbox).await,
        }
    }

    fn refused(&self, error: &ConnError) {
        let metrics = self.telemetry.metrics();
        metrics.event(Count::RefusedConnection);
        error.count(metrics);
    }

    async fn serve_agent(self, info: AgentInfo, outbox: Outbox, mut inbox: Inbox) {
        let metrics = self.telemetry.metrics();
        let host = info.host;
        metrics.event(Count::Connect);
        metrics.add_to_gauge(Gauge::Peers, 1);
        spdlog::info!("agent up", kv: { host:, service: = info.service, zone: = info.zone });
        self.follow(info, outbox, &mut inbox).await;
        metrics.add_to_gauge(Gauge::Peers, -1);
        spdlog::info!("agent down", kv: { host: });
    }

    async fn follow(&self, info: AgentInfo, outbox: Outbox, inbox: &mut Inbox) {
        let Ok(link) = self
            .dispatcher
            .send(AgentConnected {
                info,
                outbox: outbox.clone(),
            })
            .await
        else {
            return;
        };
        if let Err(error) = self.read(link, inbox).await {
            error.count(self.telemetry.metrics());
        }
        outbox.close();
        // The dispatcher outlives its agents' connections.
        let _ = self.dispatcher.send(AgentDisconnected(link)).await;
    }

    /// Passes frames on until the connection ends or a request's task cannot take more.
    async fn read(&self, link: ConnectionId, inbox: &mut Inbox) -> Result<(), ConnError> {
        loop {
            let frame = inbox.receive::<ToEntry>().await?;
            if !self.frame(link, frame).await {
                return Ok(());
            }
        }
    }

    async fn frame(&self, link: ConnectionId, frame: ToEntry) -> bool {
        match frame {
            ToEntry::Offer { offer } => {
                self.dispatcher.send(SlotOffered(link, offer)).await.is_ok()
            }
            ToEntry::Withdraw { offer } => self
                .dispatcher
                .send(OfferWithdrawn(link, offer))
                .await
                .is_ok(),
            ToEntry::Leaving => self.dispatcher.send(AgentLeaving(link)).await.is_ok(),
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
                self.pass(dispatch, RequestEvent::Declined { dispatch })
            }
            ToEntry::Head {
                dispatch,
                status,
                headers,
            } => self.pass(
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
            } => self.pass(
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
            } => self.pass(
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
                self.pass(dispatch, RequestEvent::State { dispatch, state })
            }
        }
    }

    fn pass(&self, dispatch: DispatchId, event: RequestEvent) -> bool {
        self.routes.deliver(dispatch, event)
    }
}
