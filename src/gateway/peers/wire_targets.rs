//! Messages for the copying of a gateway's configuration or list of targets, encoded with postcard.
//!
//! Postcard is positional: the order and the types of fields are part of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::{Change, ChangeBatch};
use crate::gateway::peers::wire::WireCold;
use crate::gateway::targets::{Entry, Target, Targets};
use crate::units::Micros;

/// Request for a copy of a peer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverRequest {
    /// The configuration.
    Config,
    /// The list of targets: only its changes if the requester has a copy of that process's list.
    Targets(Option<Cursor>),
}

/// A state of a gateway's list of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Random id of the gateway's process.
    pub boot: u64,
    /// Number of the last change in its journal.
    pub change: u64,
}

/// A gateway's list of targets, or its changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WireTargets {
    /// State of the list.
    pub cursor: Cursor,
    /// Whether this is the complete list.
    pub complete: bool,
    next: u64,
    targets: Vec<WireTarget>,
    removed: Vec<String>,
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
    cold: Option<WireCold>,
}

impl WireTargets {
    /// Builds the answer to a request for `targets`, the list of the process `boot`, which is
    /// complete up to the offset `next` of the platform's list. `seen` is the state that the
    /// requester has copied.
    pub fn new(now: Micros, boot: u64, next: u64, targets: &Targets, seen: Option<Cursor>) -> Self {
        let cursor = Cursor {
            boot,
            change: targets.journal().last(),
        };
        let mut list = WireTargets {
            cursor,
            next,
            ..WireTargets::default()
        };
        let seen = seen.filter(|seen| seen.boot == boot);
        let Some(changed) = seen.and_then(|seen| targets.journal().since(seen.change)) else {
            list.complete = true;
            let rows = targets.iter().map(|t| WireTarget::new(now, t));
            list.targets = rows.collect();
            return list;
        };
        for id in changed {
            match targets.by_id(id) {
                Some(target) => list.targets.push(WireTarget::new(now, target)),
                None => list.removed.push(id.to_string()),
            }
        }
        list
    }
}

impl WireTarget {
    fn new(now: Micros, target: &Target) -> Self {
        let Target { id, entry, .. } = target;
        let cold = target.cold.notice();
        WireTarget {
            id: id.to_string(),
            service: entry.service.to_string(),
            addr: entry.addr,
            zone: entry.zone.to_string(),
            slots: entry.slots,
            leaving: entry.draining,
            born: entry.started_at,
            cold: cold.map(|cold| cold.to_report(now).into()),
        }
    }
}

impl From<WireTargets> for ChangeBatch {
    fn from(list: WireTargets) -> Self {
        let put = |target: WireTarget| {
            let entry = Entry {
                service: target.service.into(),
                addr: target.addr,
                zone: target.zone.into(),
                slots: target.slots,
                draining: target.leaving,
                started_at: target.born,
                cold: target.cold.map(Into::into),
            };
            Change::Target(target.id.into(), entry)
        };
        let removed = list.removed.into_iter();
        let removed = removed.map(|id| Change::Removed(id.into()));
        ChangeBatch {
            next: list.next,
            partial: false,
            changes: list.targets.into_iter().map(put).chain(removed).collect(),
        }
    }
}
