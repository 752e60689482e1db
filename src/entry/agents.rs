//! The entry's listener for agents and other entries, and the reader of each agent's connection.

use tokio::net::{TcpListener, TcpStream};
use xtra::Address;

use crate::auth::Secret;
use crate::conn::{self, ConnError, Inbox, Outbox};
use crate::entry::desk::Desk;
use crate::entry::messages::{AgentDown, AgentLeaving, AgentUp, Link, Offered, Progressed, Voided};
use crate::entry::peers::Answerer;
use crate::entry::routes::{Event, Routes};
use crate::ids::{BootId, DispatchId};
use crate::telemetry::{self, Telemetry};
use crate::wire::{AgentInfo, Opener, ToEntry};

/// What every accepted connection needs.
#[derive(Clone)]
pub struct Agents {
    /// The desk.
    pub desk: Address<Desk>,
    /// Where frames about dispatches go.
    pub routes: Routes,
    /// The shared key.
    pub secret: Secret,
    /// This run of the entry.
    pub boot: BootId,
    /// Answers other entries.
    pub peers: Answerer,
    /// Metrics.
    pub telemetry: Telemetry,
}

impl Agents {
    /// Accepts agents and other entries until the process ends.
    pub async fn listen(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve(stream));
                }
                Err(_) => tokio::time::sleep(conn::HEARTBEAT_PERIOD).await,
            }
        }
    }

    async fn serve(self, stream: TcpStream) {
        let accepted = conn::accept(stream, &self.secret, self.boot).await;
        let Ok((opener, outbox, inbox)) = accepted else {
            self.telemetry
                .metrics()
                .event(telemetry::Event::RefusedConnection);
            return;
        };
        match opener {
            Opener::Agent(info) => self.serve_agent(info, outbox, inbox).await,
            Opener::Entry { .. } => self.peers.answer(outbox, inbox).await,
        }
    }

    async fn serve_agent(self, info: AgentInfo, outbox: Outbox, mut inbox: Inbox) {
        let Ok(link) = self
            .desk
            .send(AgentUp {
                info,
                outbox: outbox.clone(),
            })
            .await
        else {
            return;
        };
        self.read(link, &mut inbox).await;
        outbox.close();
        // The desk outlives its agents' connections.
        let _ = self.desk.send(AgentDown(link)).await;
    }

    /// Passes frames on until the connection ends or a request's task cannot take more.
    async fn read(&self, link: Link, inbox: &mut Inbox) {
        loop {
            let frame = match inbox.receive::<ToEntry>().await {
                Ok(frame) => frame,
                Err(error) => return self.count(&error),
            };
            if !self.frame(link, frame).await {
                return;
            }
        }
    }

    fn count(&self, error: &ConnError) {
        let event = match error {
            ConnError::Wire(_) => telemetry::Event::MalformedFrame,
            ConnError::Silent => telemetry::Event::Silence,
            ConnError::Io(_) | ConnError::Auth(_) => return,
        };
        self.telemetry.metrics().event(event);
    }

    async fn frame(&self, link: Link, frame: ToEntry) -> bool {
        match frame {
            ToEntry::Offer { offer } => self.desk.send(Offered(link, offer)).await.is_ok(),
            ToEntry::Void { offer } => self.desk.send(Voided(link, offer)).await.is_ok(),
            ToEntry::Leaving => self.desk.send(AgentLeaving(link)).await.is_ok(),
            ToEntry::Heartbeat => true,
            ToEntry::Progress { dispatch, spent } => match self.routes.get(dispatch) {
                Some(route) => {
                    let message = Progressed {
                        job: route.job,
                        dispatch,
                        spent,
                    };
                    self.desk.send(message).await.is_ok()
                }
                None => true,
            },
            ToEntry::Decline { dispatch } => self.pass(dispatch, Event::Declined { dispatch }),
            ToEntry::Head {
                dispatch,
                status,
                headers,
            } => self.pass(
                dispatch,
                Event::Head {
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
                Event::Chunk {
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
                Event::End {
                    dispatch,
                    finish,
                    chunks,
                    bytes,
                    spent,
                },
            ),
            ToEntry::State { dispatch, known } => {
                self.pass(dispatch, Event::State { dispatch, known })
            }
        }
    }

    fn pass(&self, dispatch: DispatchId, event: Event) -> bool {
        self.routes.deliver(dispatch, event)
    }
}
