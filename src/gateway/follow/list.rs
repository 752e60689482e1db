//! Reads the list of targets from the platform or copies it from another gateway, and merges it into
//! this gateway's view.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::gateway::directory::{ChangeBatch, Directory, ListError, Topic};
use crate::gateway::follow::ListRead;
use crate::gateway::follow::apply::{self, Batch};
use crate::gateway::follow::dependency::Dependency;
use crate::gateway::follow::follower::list_copy;
use crate::gateway::list_view::Origin;
use crate::gateway::list_view::availability::Confirmed;
use crate::gateway::peers::handover;
use crate::gateway::peers::wire_targets::{Cursor, WireTargets};
use crate::gateway::position::Position;
use crate::gateway::source;
use crate::gateway::state::GatewayState;
use crate::units::Micros;

/// Pause between reads while missing entries are kept, so that they are used no longer than needed.
const MISSING_PAUSE: Duration = Duration::from_millis(100);

/// The list of targets, as read from the platform or copied from another gateway.
#[derive(Debug)]
pub struct TargetList {
    /// Position at which to read on; `None` to read the whole list.
    position: Option<Position>,
    dependency: Dependency,
    /// Whether the platform's list is older than this gateway's view.
    is_behind: bool,
}

impl Default for TargetList {
    fn default() -> Self {
        TargetList {
            position: None,
            dependency: Dependency::new("target list"),
            is_behind: false,
        }
    }
}

impl TargetList {
    /// Reads what has changed from the platform, or falls back to the copy of another gateway.
    /// Returns whether the platform answered.
    pub async fn read<D: Directory>(&mut self, directory: &D, gateway: &GatewayState) -> bool {
        let now = gateway.clock.now();
        if gateway.with_targets(|targets| targets.view().must_read_anew(now)) {
            self.position = None;
        }
        let from = self.position;
        let read = super::read(directory, gateway, Topic::Targets, from, Duration::ZERO).await;
        let now = gateway.clock.now();
        match read {
            Ok(read) => {
                self.dependency.record_success(now);
                self.dependency.record_era(read.batch.next);
                self.merge_read(gateway, now, read);
                true
            }
            Err(ListError::Expired) => {
                self.position = None;
                true
            }
            Err(error) => {
                self.dependency.record_failure(now, &error);
                gateway.with_copies(|copies| copies.list.confirmed_at = None);
                if let Some(peer) = fallback_peer(gateway) {
                    self.copy_from(gateway, peer).await;
                }
                false
            }
        }
    }

    /// Merges what was read.
    fn merge_read(&mut self, gateway: &GatewayState, now: Micros, read: ListRead) {
        let ListRead { from, batch } = read;
        let complete_to = gateway.with_targets(|targets| targets.view().complete_to());
        if self.is_older(from, batch.next, complete_to) {
            return;
        }
        let batch = Batch {
            origin: Origin::Platform,
            is_whole: from.is_none() && !batch.partial,
            is_complete: match from {
                Some(from) => !from.supersedes(complete_to),
                None => !batch.partial,
            },
            proven_from: batch.next.offset,
            changes: batch,
        };
        self.position = Some(batch.changes.next);
        confirm(gateway, Some(now));
        apply::merge(gateway, batch);
        gateway.with_copies(|copies| {
            copies.list.confirmed_at = Some(now);
            copies.list.cursor = None;
        });
        sync_copy(gateway);
    }

    /// Whether a whole list that was read is older than this gateway's view; logs when that changes.
    fn is_older(&mut self, from: Option<Position>, next: Position, complete_to: Position) -> bool {
        let is_behind = from.is_none() && complete_to.supersedes(next);
        if is_behind && !self.is_behind {
            spdlog::warn!("the platform's target list is older than the one in force", kv: {
                era = next.era.0, offset = next.offset,
                era_in_force = complete_to.era.0, in_force = complete_to.offset,
            });
        }
        self.is_behind = is_behind;
        is_behind
    }

    /// Copies what has changed in the list of another gateway, unless that is older than this one.
    pub async fn copy_from(&mut self, gateway: &GatewayState, peer: SocketAddr) {
        let now = gateway.clock.now();
        let Some(status) = gateway.with_peers(|peers| peers.status(now, peer)) else {
            return;
        };
        let copy = gateway.with_copies(|copies| copies.list);
        let cursor = Cursor {
            boot: status.boot,
            change: status.list_change,
        };
        if copy.next.supersedes(status.list_next) {
            return;
        }
        // A copy of an earlier era says nothing of what has changed in this one.
        let seen = copy
            .cursor
            .filter(|_| copy.next.era == status.list_next.era);
        if seen == Some(cursor) && status.list_at.is_some() {
            gateway.with_targets(|targets| targets.view_mut().complete(status.list_next));
            self.confirm_copy(gateway, status.list_at);
            return;
        }
        match handover::fetch_targets(peer, seen).await {
            Ok(list) => self.apply_copy(gateway, list, status.list_at),
            Err(error) => {
                let error = format!("{error:#}");
                spdlog::warn!("could not fetch the target list from a peer", kv: {
                    peer: = peer, error: = error,
                });
            }
        }
    }

    fn apply_copy(&mut self, gateway: &GatewayState, list: WireTargets, listed_at: Option<Micros>) {
        let (cursor, is_whole, proven_from) = (list.cursor, list.complete, list.proven_from);
        let changes = ChangeBatch::from(list);
        let complete_to = gateway.with_targets(|targets| targets.view().complete_to());
        if complete_to.supersedes(changes.next) {
            return;
        }
        confirm(gateway, listed_at);
        // What an unconfirmed copy lacks may have lapsed while the platform was away.
        let is_confirmed = listed_at.is_some();
        let batch = Batch {
            origin: Origin::Copy,
            // A gateway whose own view is not complete does not know what is gone.
            is_whole: is_confirmed && is_whole && changes.next.supersedes(complete_to),
            is_complete: is_confirmed,
            proven_from,
            changes,
        };
        apply::merge(gateway, batch);
        gateway.with_copies(|copies| copies.list.cursor = is_confirmed.then_some(cursor));
        self.confirm_copy(gateway, listed_at);
    }

    /// Takes over that the platform has confirmed the copied list at `listed_at`.
    fn confirm_copy(&mut self, gateway: &GatewayState, listed_at: Option<Micros>) {
        let complete_to = gateway.with_targets(|targets| targets.view().complete_to());
        if complete_to.offset > 0 {
            let known = self.position.unwrap_or(complete_to);
            self.position = Some(known.newer(complete_to));
        }
        confirm(gateway, listed_at);
        gateway.with_copies(|copies| copies.list.confirm(listed_at));
        sync_copy(gateway);
    }

    /// How long to wait before the next read, if it is `pause` in calm times.
    pub fn read_pause(&self, gateway: &GatewayState, pause: Duration) -> Duration {
        match gateway.with_targets(|targets| targets.view().has_missing()) {
            true => pause.min(MISSING_PAUSE),
            false => pause,
        }
    }

    /// Removes the missing entries that are no longer kept.
    pub fn expire_missing(&self, gateway: &GatewayState) {
        let now = gateway.clock.now();
        let others = confirmed_elsewhere(gateway, now);
        apply::expire_missing(gateway, now, others.into_iter());
    }
}

/// Records a confirmation of the list in the view, before what was confirmed is merged.
fn confirm(gateway: &GatewayState, at: Option<Micros>) {
    let Some(at) = at else {
        return;
    };
    let ended = gateway.with_targets(|targets| targets.view_mut().confirm(at));
    if let Some(outage) = ended {
        let out = outage.end.saturating_sub(outage.start);
        spdlog::info!("target list confirmed after a gap", kv: { out_ms: = out.as_ms() });
    }
}

/// Takes over the state of the view into what is reported to other gateways.
fn sync_copy(gateway: &GatewayState) {
    let (next, since) = gateway.with_targets(|targets| {
        let view = targets.view();
        (view.complete_to(), view.confirmed().map(|span| span.since))
    });
    gateway.with_copies(|copies| {
        copies.list.next = next;
        copies.list.confirmed_since = since;
    });
}

/// The spans of time in which the lists of other gateways were confirmed.
fn confirmed_elsewhere(gateway: &GatewayState, now: Micros) -> SmallVec<[Confirmed; 8]> {
    gateway.with_peers(|peers| {
        let spans = peers.copies(now).filter_map(|(_, status, _)| {
            Some(Confirmed {
                since: status.list_since?,
                last: status.list_at?,
            })
        });
        spans.collect()
    })
}

/// The gateway to copy the list from while the platform does not answer; `None` if there is none.
fn fallback_peer(gateway: &GatewayState) -> Option<SocketAddr> {
    let now = gateway.clock.now();
    let has_none = gateway.with_targets(|targets| targets.is_empty());
    gateway.with_peers(|peers| {
        let copies = peers.copies(now);
        let copies = copies.map(|(addr, status, rank)| list_copy(addr, &status, rank));
        source::fallback(now, has_none, copies)
    })
}
