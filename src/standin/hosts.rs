//! Simulated host list of the platform, the operator's infrastructure service. Readers see a new
//! list only after the lag given with it.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Maximum number of hosts in a list.
pub const MAX_HOSTS: usize = 10_000;
/// Maximum number of pending lists. The oldest is dropped first.
const MAX_PENDING: usize = 16;

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host accepts requests.
    #[default]
    Live,
    /// The host is about to be removed and accepts no new requests.
    Leaving,
}

/// One target in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Address of the target on its host, as `ip:port`.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Service that the host runs.
    pub service: String,
    /// Lifecycle state.
    #[serde(default)]
    pub state: HostState,
}

#[derive(Debug)]
struct PendingList {
    due: Instant,
    hosts: Vec<Host>,
}

/// The list that readers see, and the lists that will replace it in order.
#[derive(Debug, Default)]
pub struct HostList {
    hosts: Vec<Host>,
    pending: VecDeque<PendingList>,
}

impl HostList {
    /// Sets the list that readers see once the lag has passed and all lists set earlier have taken
    /// effect. Hosts beyond [`MAX_HOSTS`] are dropped.
    pub fn set(&mut self, mut hosts: Vec<Host>, lag: Duration) {
        hosts.truncate(MAX_HOSTS);
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        let due = Instant::now() + lag;
        self.pending.push_back(PendingList { due, hosts });
        self.apply_due();
    }

    /// Returns the list that readers see now.
    pub fn current(&mut self) -> &[Host] {
        self.apply_due();
        &self.hosts
    }

    fn apply_due(&mut self) {
        let now = Instant::now();
        while let Some(next) = self.pending.pop_front_if(|next| next.due <= now) {
            self.hosts = next.hosts;
        }
    }
}
