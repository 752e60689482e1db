//! Messages for the copying of a gateway's configuration or list of targets, encoded with postcard.
//!
//! Postcard is positional: the order and the types of fields are part of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::directory::{Change, ChangeBatch};
use crate::gateway::list_view::{EntryState, Fact};
use crate::gateway::peers::wire::WireCold;
use crate::gateway::peers::wire_position::WirePosition;
use crate::gateway::position::Position;
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
    /// Offset from which on records were certainly written after the last restore of the list.
    pub proven_from: u64,
    next: WirePosition,
    targets: Vec<WireTarget>,
    removed: Vec<WireRemoval>,
}

/// A removed entry, and the position of the record of its removal.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireRemoval {
    id: String,
    position: WirePosition,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireTarget {
    id: String,
    service: String,
    addr: SocketAddr,
    zone: String,
    slots: u32,
    leaving: bool,
    version: Option<String>,
    born: Option<u64>,
    cold: Option<WireCold>,
    /// Position of the record that the entry, or that it is missing, comes from.
    position: WirePosition,
    /// Time for which the entry is kept although it is missing, in milliseconds.
    missing_ms: Option<u32>,
}

impl WireTargets {
    /// Builds the answer to a request for `targets`, the list of the process `boot`. `seen` is the
    /// state that the requester has copied. A copy that starts at the beginning has the remembered
    /// removals too.
    pub fn new(now: Micros, boot: u64, targets: &Targets, seen: Option<Cursor>) -> Self {
        let next = targets.view().complete_to();
        let cursor = Cursor {
            boot,
            change: targets.journal().last(),
        };
        let mut list = WireTargets {
            cursor,
            proven_from: targets.view().proven_from(),
            next: next.into(),
            ..WireTargets::default()
        };
        let seen = seen.filter(|seen| seen.boot == boot);
        let Some(changed) = seen.and_then(|seen| targets.journal().since(seen.change)) else {
            list.complete = true;
            let rows = targets.iter().map(|target| row(now, targets, target));
            list.targets = rows.collect();
            let removals = targets.view().removals();
            list.removed = removals.map(WireRemoval::from).collect();
            return list;
        };
        for id in changed {
            match targets.by_id(id) {
                Some(target) => list.targets.push(row(now, targets, target)),
                None => {
                    let known = targets.view().fact(id).map(|fact| fact.position);
                    let position = known.or(next.previous()).unwrap_or(next);
                    list.removed.push((&**id, position).into());
                }
            }
        }
        list
    }
}

/// Encodes a target with what is known of its entry.
fn row(now: Micros, targets: &Targets, target: &Target) -> WireTarget {
    let fact = targets.view().fact(&target.id);
    let left = fact.and_then(|fact| match fact.state {
        EntryState::Missing(until) => Some(until.saturating_sub(now).as_ms() as u32),
        _ => None,
    });
    let cold = target.cold.period();
    WireTarget {
        missing_ms: left,
        cold: cold.map(|cold| cold.to_report(now).into()),
        ..WireTarget::from((&*target.id, &target.entry, fact))
    }
}

impl From<(&str, Position)> for WireRemoval {
    fn from((id, position): (&str, Position)) -> Self {
        WireRemoval {
            id: id.to_owned(),
            position: position.into(),
        }
    }
}

impl From<(&str, &Entry, Option<Fact>)> for WireTarget {
    fn from((id, entry, fact): (&str, &Entry, Option<Fact>)) -> Self {
        WireTarget {
            id: id.to_owned(),
            service: entry.service.to_string(),
            addr: entry.addr,
            zone: entry.zone.to_string(),
            slots: entry.slots,
            leaving: entry.draining,
            version: entry.version.as_deref().map(str::to_owned),
            born: entry.started_at,
            cold: None,
            position: fact.map(|fact| fact.position).unwrap_or_default().into(),
            missing_ms: None,
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
                version: target.version.map(Into::into),
                started_at: target.born,
                cold: target.cold.map(Into::into),
            };
            let (id, position) = (target.id.into(), target.position.into());
            match target.missing_ms {
                Some(ms) => Change::Missing(id, entry, position, Micros::from_ms(ms.into())),
                None => Change::Target(id, entry, position),
            }
        };
        let removed = list.removed.into_iter();
        let removed = removed.map(|row| Change::Removed(row.id.into(), row.position.into()));
        ChangeBatch {
            next: list.next.into(),
            changes: list.targets.into_iter().map(put).chain(removed).collect(),
            ..ChangeBatch::default()
        }
    }
}
