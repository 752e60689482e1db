//! Keeps one connection to an entry, and dials again when it ends.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;
use xtra::Address;

use crate::agent::core::Core;
use crate::agent::messages::{EntryDown, EntryUp, FromEntry, Link};
use crate::auth::Secret;
use crate::conn::{self, ConnError, HANDSHAKE_TIMEOUT, Inbox};
use crate::telemetry::{Event, Gauge, Telemetry};
use crate::wire::{AgentInfo, Opener, ToAgent};

const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What a connection to an entry needs.
#[derive(Clone)]
pub struct Dial {
    /// The agent's core.
    pub core: Address<Core>,
    /// Who this agent is.
    pub info: AgentInfo,
    /// The shared key.
    pub secret: Secret,
    /// Metrics.
    pub telemetry: Telemetry,
}

impl Dial {
    /// Stays connected to an entry until the core is gone.
    pub async fn run(self, address: SocketAddr) {
        let mut pause = FIRST_PAUSE;
        while self.core.is_connected() {
            match self.connect(address).await {
                Ok(()) => pause = FIRST_PAUSE,
                Err(error) => self.refused(&error),
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn refused(&self, error: &ConnError) {
        let metrics = self.telemetry.metrics();
        if matches!(error, ConnError::Auth(_)) {
            metrics.event(Event::RefusedConnection);
        }
        error.count(metrics);
    }

    /// One connection from handshake to end. `Ok` once the handshake has succeeded.
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
        let up = EntryUp {
            address,
            boot,
            outbox: outbox.clone(),
        };
        let Ok(link) = self.core.send(up).await else {
            return Ok(());
        };
        if let Err(error) = self.read(link, &mut inbox).await {
            error.count(metrics);
        }
        outbox.close();
        metrics.add_to_gauge(Gauge::Peers, -1);
        spdlog::info!("entry down", kv: { address: });
        // The core outlives its connections.
        let _ = self.core.send(EntryDown(link)).await;
        Ok(())
    }

    async fn read(&self, link: Link, inbox: &mut Inbox) -> Result<(), ConnError> {
        loop {
            let frame = inbox.receive::<ToAgent>().await?;
            if self.core.send(FromEntry(link, frame)).await.is_err() {
                return Ok(());
            }
        }
    }
}
