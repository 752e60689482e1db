//! Merges changes of the target list into the gateway's view, and applies what follows to its
//! targets.

use std::collections::HashSet;
use std::sync::Arc;

use crate::gateway::directory::{Change, ChangeBatch};
use crate::gateway::list_view::availability::Confirmed;
use crate::gateway::list_view::{Effect, EntryState, Origin};
use crate::gateway::position::Position;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::{self, Entry, Targets};
use crate::units::Micros;

/// Changes of the target list.
#[derive(Debug)]
pub struct Batch {
    /// Where they come from.
    pub origin: Origin,
    /// Whether they hold all entries, so that the others are gone.
    pub is_whole: bool,
    /// Whether the view is complete up to their end once they are merged.
    pub is_complete: bool,
    /// Offset from which on they were certainly written after the last restore of the list.
    pub proven_from: u64,
    /// The changes.
    pub changes: ChangeBatch,
}

/// Merges a batch into the view and applies it to the targets, unless it is from before a restore of
/// the list.
pub fn merge(gateway: &GatewayState, batch: Batch) {
    let now = gateway.clock.now();
    let next = batch.changes.next;
    let is_current = gateway.with_targets(|targets| {
        let view = targets.view_mut();
        view.enter_era(now, next.era, batch.proven_from)
    });
    if !is_current {
        return;
    }
    if batch.is_whole {
        handle_unlisted(gateway, now, &batch.changes);
    }
    for change in batch.changes.changes {
        merge_change(gateway, now, change, batch.origin);
    }
    gateway.with_targets(|targets| {
        if batch.is_complete {
            targets.view_mut().complete(next);
        }
        if batch.is_whole && batch.origin == Origin::Platform {
            // Entries may have gone and come back unseen, with other offsets.
            targets.touch_all();
            targets.view_mut().record_whole(now);
        }
    });
    gateway.pool.evict(|key| gateway.is_listed(key));
}

/// Removes the missing entries that are no longer kept, by the confirmed lists of other gateways.
pub fn expire_missing(
    gateway: &GatewayState,
    now: Micros,
    others: impl Iterator<Item = Confirmed>,
) {
    let (was_kept, expired, is_kept) = gateway.with_targets(|targets| {
        let was_kept = targets.view().is_in_grace(now);
        let expired = targets.view_mut().expire_missing(now, others);
        (was_kept, expired, targets.view().is_in_grace(now))
    });
    if was_kept && !is_kept {
        spdlog::info!("other gateways saw no outage of the target list", kv: {
            dropped = expired.len(),
        });
    }
    for id in &expired {
        remove(gateway, id);
    }
    if !expired.is_empty() {
        gateway.pool.evict(|key| gateway.is_listed(key));
    }
}

/// Handles the known targets that the complete list does not name.
fn handle_unlisted(gateway: &GatewayState, now: Micros, batch: &ChangeBatch) {
    let listed = batch.changes.iter().filter_map(|change| match change {
        Change::Target(id, ..) | Change::Missing(id, ..) | Change::Unreadable(id, _) => {
            Some(id.as_ref())
        }
        _ => None,
    });
    let listed: HashSet<&str> = listed.collect();
    let known: Vec<Arc<str>> = gateway.with_targets(|targets| targets.ids().cloned().collect());
    for id in known.iter().filter(|id| !listed.contains(id.as_ref())) {
        let effect =
            gateway.with_targets(|targets| targets.view_mut().remove_unlisted(now, id, batch.next));
        end_entry(gateway, id, effect);
    }
}

fn merge_change(gateway: &GatewayState, now: Micros, change: Change, origin: Origin) {
    match change {
        Change::Target(id, entry, position) => {
            put(gateway, &id, entry, position, |targets| {
                targets.view_mut().list(&id, position, origin)
            });
        }
        Change::Missing(id, entry, position, left) => {
            put(gateway, &id, entry, position, |targets| {
                targets.view_mut().keep(now, &id, position, left)
            });
        }
        Change::Unreadable(id, position) => {
            spdlog::warn!("could not decode a target's entry", kv: { target: = id.as_ref() });
            let effect =
                gateway.with_targets(|targets| targets.view_mut().drop_now(now, &id, position));
            end_entry(gateway, &id, effect);
        }
        Change::Removed(id, position) => {
            let effect = gateway.with_targets(|targets| match origin {
                Origin::Platform => targets.view_mut().remove(now, &id, position),
                Origin::Copy => targets.view_mut().copy_removal(now, &id, position),
            });
            end_entry(gateway, &id, effect);
        }
        Change::Config(_) | Change::ZoneEvacuated(_) | Change::ZoneRestored(_) => {}
    }
}

/// Uses an entry from the record at `position` if `merge` finds that it is new.
fn put(
    gateway: &GatewayState,
    id: &str,
    entry: Entry,
    position: Position,
    merge: impl FnOnce(&mut Targets) -> Effect,
) {
    let now = gateway.clock.now();
    let (draining, service) = (entry.draining, entry.service.clone());
    let version = entry.version.clone();
    let change = gateway.with_targets(|targets| {
        let is_missing = |targets: &Targets| {
            let fact = targets.view().fact(id);
            fact.is_some_and(|fact| matches!(fact.state, EntryState::Missing(_)))
        };
        let was_missing = is_missing(targets);
        let is_unproven = targets.view().is_unproven(id, position);
        if is_unproven && takes_back(targets, id, &entry) {
            return targets::Change::Same;
        }
        if merge(targets) != Effect::Put {
            return targets::Change::Same;
        }
        // Of a known target, a restored entry may tell what no longer holds.
        let cold = entry.cold.filter(|_| !is_unproven);
        let change = targets.put(id, entry);
        if let Some(cold) = cold {
            targets.record_cold(now, id, cold);
        }
        if change == targets::Change::Same && was_missing != is_missing(targets) {
            targets.touch(id);
        }
        change
    });
    if change != targets::Change::Same {
        spdlog::info!(
            "target listed", kv: {
            target: = id, service: = service.as_ref(),
            version: = version.as_deref().unwrap_or("unreadable"), leaving: = draining,
            change:? = change }
        );
    }
}

/// Whether an entry takes back what is known of a target: that it has left, is draining or has
/// restarted.
fn takes_back(targets: &Targets, id: &str, entry: &Entry) -> bool {
    let Some(known) = targets.by_id(id) else {
        let fact = targets.view().fact(id);
        return fact.is_some_and(|fact| matches!(fact.state, EntryState::Removed(_)));
    };
    let known = &known.entry;
    let is_same_run = entry.started_at == known.started_at;
    let is_older_run = entry.started_at < known.started_at;
    is_older_run || is_same_run && known.draining && !entry.draining
}

/// Applies the effect of a change by which an entry is missing or gone.
fn end_entry(gateway: &GatewayState, id: &str, effect: Effect) {
    match effect {
        Effect::Remove => remove(gateway, id),
        Effect::Keep => gateway.with_targets(|targets| targets.touch(id)),
        Effect::Put | Effect::Ignore => {}
    }
}

fn remove(gateway: &GatewayState, id: &str) {
    if gateway.with_targets(|targets| targets.remove(id)) == targets::Change::Left {
        spdlog::info!("target gone", kv: { target: = id });
    }
}
