//! The platform's host list, which lags behind what was set.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Most hosts in a list.
pub const MAX_HOSTS: usize = 10_000;
/// Most lists that wait for their lag to pass.
const MAX_PENDING: usize = 16;

/// Whether a host stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It stays.
    #[default]
    Live,
    /// It takes no new work.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its address, as `ip:port`.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it runs.
    pub service: String,
    /// Whether it stays.
    #[serde(default)]
    pub state: HostState,
}

#[derive(Debug)]
struct Pending {
    due: Instant,
    hosts: Vec<Host>,
}

/// The list, and those that will replace it.
#[derive(Debug, Default)]
pub struct HostList {
    hosts: Vec<Host>,
    pending: VecDeque<Pending>,
}

impl HostList {
    /// Sets the list; it shows after the lag. Hosts beyond [`MAX_HOSTS`] are cut off.
    pub fn set(&mut self, mut hosts: Vec<Host>, lag: Duration) {
        hosts.truncate(MAX_HOSTS);
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        let due = Instant::now() + lag;
        self.pending.push_back(Pending { due, hosts });
        self.settle();
    }

    /// The list as it shows now.
    pub fn shown(&mut self) -> &[Host] {
        self.settle();
        &self.hosts
    }

    fn settle(&mut self) {
        let now = Instant::now();
        while let Some(next) = self.pending.pop_front_if(|next| next.due <= now) {
            self.hosts = next.hosts;
        }
    }
}
