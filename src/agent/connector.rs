//! Keeps one connection to an entry open and reconnects with exponential back-off.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;
use xtra::Address;

use crate::agent::core::Core;
use crate::agent::messages::{ConnectionId, EntryConnected, EntryDisconnected, EntryFrame};
use crate::auth::Secret;
use crate::conn::{self, ConnError, HANDSHAKE_TIMEOUT, Inbox};
use crate::telemetry::{Event, Gauge, Telemetry};
use crate::wire::{AgentInfo, Opener, ToAgent};

const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Connects the agent to an entry.
#[derive(Clone)]
pub struct EntryConnector {
    /// Address of the agent's core actor.
    pub core: Address<Core>,
    /// Identity that the agent sends in the handshake.
    pub info: AgentInfo,
    /// The shared secret.
    pub secret: Secret,
    /// Metrics.
    pub telemetry: Telemetry,
}

impl EntryConnector {
    /// Stays connected to an entry until the core has stopped.
    pub async fn run(self, address: SocketAddr) {
        let mut backoff = MIN_BACKOFF;
        while self.core.is_connected() {
            match self.connect(address).await {
                Ok(()) => backoff = MIN_BACKOFF,
                Err(error) => self.count_error(&error),
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::time::sleep(backoff.mul_f64(jitter)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn count_error(&self, error: &ConnError) {
        let metrics = self.telemetry.metrics();
        if matches!(error, ConnError::Auth(_)) {
            metrics.event(Event::RefusedConnection);
        }
        error.count(metrics);
    }

    /// Handles one connection from the handshake until it ends. Returns `Ok` if the handshake
    /// succeeded.
    async fn connect(&self, address: SocketAddr) -> Result<(), ConnError> {
        let stream = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| ConnError::Silent)??;
        let opener = Opener::Agent(self.info.clone());
        let (boot, outbox, mut inbox) = conn::dial(stream, &self.secret, opener).await?;
        let metrics = self.telemetry.metrics();
        metrics.event(Event::Connect);
        metrics.add_to_gauge(Gauge::Peers, 1);
        spdlog::info!("entry up", kv: { address: });
        let message = EntryConnected {
            address,
            boot,
            outbox: outbox.clone(),
        };
        let Ok(connection) = self.core.send(message).await else {
            return Ok(());
        };
        if let Err(error) = self.forward_frames(connection, &mut inbox).await {
            error.count(metrics);
        }
        outbox.close();
        metrics.add_to_gauge(Gauge::Peers, -1);
        spdlog::info!("entry down", kv: { address: });
        // Can only fail while the agent shuts down.
        let _ = self.core.send(EntryDisconnected(connection)).await;
        Ok(())
    }

    async fn forward_frames(
        &self,
        connection: ConnectionId,
        inbox: &mut Inbox,
    ) -> Result<(), ConnError> {
        loop {
            let frame = inbox.receive::<ToAgent>().await?;
            if self.core.send(EntryFrame(connection, frame)).await.is_err() {
                return Ok(());
            }
        }
    }
}
