//! What gateways tell each other, as it travels.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::{Change, ChangeBatch};
use crate::gateway::fair_share::{AccountTag, Usage};
use crate::gateway::peers::{PeerState, TargetLoad};
use crate::gateway::targets::{Entry, TargetTag};
use crate::quarantine::QuarantineEvent;

/// Version of these messages; others are dropped.
pub const VERSION: u8 = 2;
/// Largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Most targets in a datagram.
const MAX_LOADS: usize = 48;
/// Most client accounts in a datagram.
const MAX_USES: usize = 48;
/// Most crashes in a datagram.
const MAX_CRASHES: usize = 6;
/// Tokens are told in units of this size.
const TOKENS: u64 = 64;

/// A round's message.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GossipMessage {
    /// [`VERSION`].
    pub protocol: u8,
    /// Tells one run of the sender from the next.
    pub boot: u64,
    /// The version of its configuration.
    pub version: u64,
    /// Whether it reads the platform's lists itself.
    pub reads_directory: bool,
    /// Some gateways that it knows.
    pub peers: Vec<SocketAddr>,
    loads: Vec<WireLoad>,
    /// Absent in rounds that tell loads only.
    uses: Option<Vec<WireUse>>,
    /// Crashes that the sender knows of.
    pub crashes: Vec<QuarantineEvent>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireLoad {
    target: u32,
    active: u32,
    reading: u64,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireUse {
    account: u32,
    asked: u32,
    got: u32,
}

/// What a gateway asks another for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverRequest {
    /// Its configuration.
    Config,
    /// Its list of targets.
    Targets,
}

/// The targets that a gateway knows.
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

/// A datagram is not a message of this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a message of a gateway")]
pub struct InvalidMessage;

impl GossipMessage {
    /// A message of the run `boot` that tells nothing yet.
    pub fn new(boot: u64) -> Self {
        GossipMessage {
            protocol: VERSION,
            boot,
            ..GossipMessage::default()
        }
    }

    /// Adds what the sender has at its targets; what exceeds the bound is left out.
    pub fn with_loads(mut self, held: impl Iterator<Item = (TargetTag, TargetLoad)>) -> Self {
        self.loads = held
            .take(MAX_LOADS)
            .map(|(tag, held)| WireLoad {
                target: tag.0,
                active: held.active,
                reading: held.prefill_tokens.div_ceil(TOKENS),
            })
            .collect();
        self
    }

    /// Adds what client accounts ask for and get; the largest ones, if there are too many.
    pub fn with_usage(mut self, uses: impl Iterator<Item = (AccountTag, Usage)>) -> Self {
        let mut all: Vec<(AccountTag, Usage)> = uses.collect();
        all.sort_by(|(_, a), (_, b)| b.requested.total_cmp(&a.requested));
        all.truncate(MAX_USES);
        let row = |(account, uses): (AccountTag, Usage)| WireUse {
            account: account.0,
            asked: (uses.requested / TOKENS as f64).ceil() as u32,
            got: (uses.served / TOKENS as f64).ceil() as u32,
        };
        self.uses = Some(all.into_iter().map(row).collect());
        self
    }

    /// Adds crashes that the sender knows of; those beyond the bound are left out.
    pub fn with_crashes(mut self, mut crashes: Vec<QuarantineEvent>) -> Self {
        crashes.truncate(MAX_CRASHES);
        self.crashes = crashes;
        self
    }

    /// The datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a message encodes")
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// [`InvalidMessage`] when it is something else.
    pub fn decode(data: &[u8]) -> Result<Self, InvalidMessage> {
        let hello: GossipMessage = postcard::from_bytes(data).map_err(|_| InvalidMessage)?;
        let uses = hello.uses.as_ref().map_or(0, Vec::len);
        let fits = hello.loads.len() <= MAX_LOADS
            && uses <= MAX_USES
            && hello.crashes.len() <= MAX_CRASHES;
        (hello.protocol == VERSION && fits)
            .then_some(hello)
            .ok_or(InvalidMessage)
    }

    /// What client accounts ask for and get at the sender, if it tells.
    pub fn usage(&self) -> Option<impl Iterator<Item = (AccountTag, Usage)> + '_> {
        let uses = |row: &WireUse| {
            let uses = Usage {
                requested: f64::from(row.asked) * TOKENS as f64,
                served: f64::from(row.got) * TOKENS as f64,
            };
            (AccountTag(row.account), uses)
        };
        Some(self.uses.as_ref()?.iter().map(uses))
    }
}

impl From<&GossipMessage> for PeerState {
    fn from(hello: &GossipMessage) -> Self {
        let load = |row: &WireLoad| {
            let held = TargetLoad {
                active: row.active,
                prefill_tokens: row.reading.saturating_mul(TOKENS),
            };
            (TargetTag(row.target), held)
        };
        PeerState {
            version: hello.version,
            reads_directory: hello.reads_directory,
            load: hello.loads.iter().map(load).collect(),
        }
    }
}

impl WireTargets {
    /// The list at an offset of the platform's.
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
