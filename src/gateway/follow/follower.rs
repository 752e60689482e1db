//! Chooses from where one list is taken, from what other gateways report.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::peers::member::CopyStatus;
use crate::gateway::source::{self, PeerCopy, Source, SourceContext};
use crate::gateway::state::GatewayState;
use crate::units::Micros;

/// Maximum time between two looks at the reports of other gateways.
const REPORT_WAIT: Duration = Duration::from_millis(250);
/// Another gateway's copy of the configuration.
pub fn config_copy(addr: SocketAddr, status: &CopyStatus, rank: Option<usize>) -> PeerCopy {
    PeerCopy {
        addr,
        confirmed_at: status.config_at,
        rank,
        exists: status.version > 0,
    }
}

/// Another gateway's copy of the list of targets.
pub fn list_copy(addr: SocketAddr, status: &CopyStatus, rank: Option<usize>) -> PeerCopy {
    PeerCopy {
        addr,
        confirmed_at: status.list_at,
        rank,
        exists: status.version > 0 && status.list_change > 0,
    }
}

/// Waits until other gateways have reported, or for [`REPORT_WAIT`].
pub async fn await_reports(gateway: &GatewayState) {
    let _ = tokio::time::timeout(REPORT_WAIT, gateway.reports.notified()).await;
}

/// Chooses the source of one list for a gateway, and logs when it changes.
#[derive(Debug)]
pub struct Follower {
    started: Micros,
    /// How long the platform holds a read.
    read_wait: Micros,
    /// Random number from 0 to 1 that spreads gateways in time.
    spread: f64,
    source: Option<Source>,
}

impl Follower {
    /// Follows a list whose reads the platform holds for up to `read_wait`.
    pub fn new(gateway: &GatewayState, read_wait: Micros) -> Self {
        Follower {
            started: gateway.clock.now(),
            read_wait,
            spread: rand::random(),
            source: None,
        }
    }

    /// Chooses the source. The platform confirmed this gateway's copy at `confirmed_at`; `to_copy`
    /// tells from a gateway's status and its position among the zone's aggregators what copy it has.
    pub fn choose(
        &mut self,
        gateway: &GatewayState,
        confirmed_at: Option<Micros>,
        to_copy: fn(SocketAddr, &CopyStatus, Option<usize>) -> PeerCopy,
    ) -> Source {
        let now = gateway.clock.now();
        let source = gateway.with_peers(|peers| {
            let context = SourceContext {
                rank: peers.rank(now),
                confirmed_at: confirmed_at.unwrap_or_default().max(self.started),
                read_wait: self.read_wait,
                spread: self.spread,
            };
            let copies = peers.copies(now);
            let copies = copies.map(|(addr, status, rank)| to_copy(addr, &status, rank));
            source::choose(now, &context, copies)
        });
        self.log_change(source);
        source
    }

    fn log_change(&mut self, source: Source) {
        if source != Source::Wait && self.source != Some(source) {
            self.source = Some(source);
            spdlog::info!("source chosen", kv: { source:? = source, held_ms: = self.read_wait.as_ms() });
        }
    }

    /// How long to wait after a failed read.
    pub fn pause_after_failure(&self, gateway: &GatewayState) -> Duration {
        let now = gateway.clock.now();
        let rank = gateway.with_peers(|peers| peers.rank(now));
        source::pause_after_failure(rank, self.spread).into()
    }
}
