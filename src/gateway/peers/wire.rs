//! Messages between gateways, encoded with postcard.
//!
//! Postcard is positional: the order and the types of fields are part of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::{Change, ChangeBatch};
use crate::gateway::fair_share::{AccountTag, Usage};
use crate::gateway::peers::{PeerState, TargetLoad};
use crate::gateway::targets::{Entry, TargetTag};
use crate::quarantine::QuarantineEvent;

/// Version of the gossip messages; messages of other versions are dropped.
pub const VERSION: u8 = 2;
/// Maximum size of a gossip datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of targets in a message.
const MAX_LOADS: usize = 48;
/// Maximum number of client accounts in a message.
const MAX_USAGE: usize = 48;
/// Maximum number of crashes in a message.
const MAX_CRASHES: usize = 6;
/// Token counts are sent in units of this many tokens, rounded up.
const TOKEN_UNIT: u64 = 64;

/// The message of a gossip round.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Protocol version, [`VERSION`].
    pub protocol: u8,
    /// Random id of the sender's process, new after each restart.
    pub boot: u64,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Whether the sender can read the platform's lists.
    pub reads_directory: bool,
    /// Addresses of some of its peers.
    pub peers: Vec<SocketAddr>,
    load: Vec<WireLoad>,
    /// Usage of client accounts; absent in rounds that carry load only.
    usage: Option<Vec<WireUsage>>,
    /// Crashes of targets that the sender knows of.
    pub crashes: Vec<QuarantineEvent>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireLoad {
    target: u32,
    active: u32,
    prefill: u64,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireUsage {
    account: u32,
    requested: u32,
    served: u32,
}

/// Request for a copy of a peer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverRequest {
    /// The configuration.
    Config,
    /// The list of targets.
    Targets,
}

/// The list of targets that a gateway knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WireTargets {
    next: u64,
    targets: Vec<WireTarget>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireTarget {
    id: String,
    service: String,
    addr: SocketAddr,
    zone: String,
    slots: u32,
    leaving: bool,
    born: Option<u64>,
}

/// Error for a datagram that is not a gossip message of this version, or that exceeds a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid gossip message")]
pub struct InvalidMessage;

impl GossipMessage {
    /// An empty message of the process `boot`.
    pub fn new(boot: u64) -> Self {
        GossipMessage {
            protocol: VERSION,
            boot,
            ..GossipMessage::default()
        }
    }

    /// Adds the sender's load by target, up to the bound.
    pub fn with_loads(mut self, loads: impl Iterator<Item = (TargetTag, TargetLoad)>) -> Self {
        self.load = loads
            .take(MAX_LOADS)
            .map(|(tag, load)| WireLoad {
                target: tag.0,
                active: load.active,
                prefill: load.prefill_tokens.div_ceil(TOKEN_UNIT),
            })
            .collect();
        self
    }

    /// Adds the usage of client accounts. If there are too many, only those that request most are
    /// included.
    pub fn with_usage(mut self, usage: impl Iterator<Item = (AccountTag, Usage)>) -> Self {
        let mut all: Vec<(AccountTag, Usage)> = usage.collect();
        all.sort_by(|(_, a), (_, b)| b.requested.total_cmp(&a.requested));
        all.truncate(MAX_USAGE);
        let row = |(account, usage): (AccountTag, Usage)| WireUsage {
            account: account.0,
            requested: (usage.requested / TOKEN_UNIT as f64).ceil() as u32,
            served: (usage.served / TOKEN_UNIT as f64).ceil() as u32,
        };
        self.usage = Some(all.into_iter().map(row).collect());
        self
    }

    /// Adds crashes that the sender knows of, up to the bound.
    pub fn with_crashes(mut self, mut crashes: Vec<QuarantineEvent>) -> Self {
        crashes.truncate(MAX_CRASHES);
        self.crashes = crashes;
        self
    }

    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a message encodes")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns [`InvalidMessage`] if it is not a message of this version or exceeds a bound.
    pub fn decode(data: &[u8]) -> Result<Self, InvalidMessage> {
        let message: GossipMessage = postcard::from_bytes(data).map_err(|_| InvalidMessage)?;
        let accounts = message.usage.as_ref().map_or(0, Vec::len);
        let fits = message.load.len() <= MAX_LOADS
            && accounts <= MAX_USAGE
            && message.crashes.len() <= MAX_CRASHES;
        (message.protocol == VERSION && fits)
            .then_some(message)
            .ok_or(InvalidMessage)
    }

    /// Usage of client accounts at the sender; `None` if the message carries load only.
    pub fn usage(&self) -> Option<impl Iterator<Item = (AccountTag, Usage)> + '_> {
        let to_usage = |row: &WireUsage| {
            let usage = Usage {
                requested: f64::from(row.requested) * TOKEN_UNIT as f64,
                served: f64::from(row.served) * TOKEN_UNIT as f64,
            };
            (AccountTag(row.account), usage)
        };
        Some(self.usage.as_ref()?.iter().map(to_usage))
    }
}

impl From<&GossipMessage> for PeerState {
    fn from(message: &GossipMessage) -> Self {
        let to_load = |row: &WireLoad| {
            let load = TargetLoad {
                active: row.active,
                prefill_tokens: row.prefill.saturating_mul(TOKEN_UNIT),
            };
            (TargetTag(row.target), load)
        };
        PeerState {
            version: message.version,
            reads_directory: message.reads_directory,
            load: message.load.iter().map(to_load).collect(),
        }
    }
}

impl WireTargets {
    /// Builds a list that includes the changes before the offset `next` of the platform's list.
    pub fn new<'a>(next: u64, targets: impl Iterator<Item = (&'a str, &'a Entry)>) -> Self {
        let targets = targets.map(|(id, entry)| WireTarget {
            id: id.to_owned(),
            service: entry.service.to_string(),
            addr: entry.addr,
            zone: entry.zone.to_string(),
            slots: entry.slots,
            leaving: entry.draining,
            born: entry.started_at,
        });
        WireTargets {
            next,
            targets: targets.collect(),
        }
    }
}

impl From<WireTargets> for ChangeBatch {
    fn from(list: WireTargets) -> Self {
        let change = |target: WireTarget| {
            let entry = Entry {
                service: target.service.into(),
                addr: target.addr,
                zone: target.zone.into(),
                slots: target.slots,
                draining: target.leaving,
                started_at: target.born,
            };
            Change::Target(target.id.into(), entry)
        };
        ChangeBatch {
            next: list.next,
            changes: list.targets.into_iter().map(change).collect(),
        }
    }
}
