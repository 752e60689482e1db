//! What a gateway tells of itself: who it is, how recent its copies of the platform's lists are, and
//! what a report covers.

use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};

use crate::gateway::position::Position;
use crate::gateway::prompts::mix;
use crate::units::Micros;

/// Identifies an availability zone in all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneTag(pub u32);

impl ZoneTag {
    /// Derives the tag from a zone's name.
    pub fn of(name: &str) -> Self {
        ZoneTag(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// A gateway, as it introduces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address for other gateways.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneTag,
    /// Processor time of its host, in hundredths of a core.
    pub capacity: u32,
}

impl Member {
    /// Sort key for the choice of aggregators: the host with the most processor time comes first.
    pub fn rank_key(&self) -> (Reverse<u32>, u64, SocketAddr) {
        let host = match self.addr.ip() {
            IpAddr::V4(ip) => u64::from(ip.to_bits()),
            IpAddr::V6(ip) => ip.to_bits() as u64,
        };
        let order = mix(host ^ u64::from(self.addr.port()) << 48);
        (Reverse(self.capacity), order, self.addr)
    }
}

/// How recent a gateway's copies of the platform's lists are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyStatus {
    /// Version of its configuration; 0 if it has none.
    pub version: u64,
    /// Time at which the platform confirmed the configuration; `None` if it is cut off from the
    /// platform.
    pub config_at: Option<Micros>,
    /// Time at which the platform confirmed the list of targets; `None` if it is cut off from the
    /// platform.
    pub list_at: Option<Micros>,
    /// Time since which the platform has confirmed the list of targets without an outage.
    pub list_since: Option<Micros>,
    /// Position in the platform's list up to which its list of targets is complete.
    pub list_next: Position,
    /// Random id of its process.
    pub boot: u64,
    /// Number of the last change in its journal of the list.
    pub list_change: u64,
}

/// What a report covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Nothing; the message is only a sign of life.
    #[default]
    Nothing,
    /// The sender alone.
    Sender,
    /// The sender's whole zone.
    Zone,
    /// All gateways but the receiver.
    Others,
}
