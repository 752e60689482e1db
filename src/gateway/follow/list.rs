//! Reads the list of targets from the platform or copies it from another gateway, and applies its
//! changes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::copies::ListCopy;
use crate::gateway::directory::{Change, ChangeBatch, Directory, Topic};
use crate::gateway::follow::dependency::Dependency;
use crate::gateway::follow::follower::list_copy;
use crate::gateway::follow::missing::MissingEntries;
use crate::gateway::peers::handover;
use crate::gateway::peers::wire_targets::{Cursor, WireTargets};
use crate::gateway::source;
use crate::gateway::state::GatewayState;
use crate::gateway::targets;
use crate::log::ReadError;
use crate::units::Micros;

/// Minimum length of an outage of the target list after which missing entries are kept for
/// [`OUTAGE_GRACE`].
const MIN_OUTAGE: Micros = Micros::from_ms(900);
/// The list of targets, as read from the platform or copied from another gateway.
#[derive(Debug)]
pub struct TargetList {
    /// Whether the whole list has been read or copied.
    complete: bool,
    dependency: Dependency,
    missing: MissingEntries,
}

impl Default for TargetList {
    fn default() -> Self {
        TargetList {
            complete: false,
            dependency: Dependency::new("target list"),
            missing: MissingEntries::default(),
        }
    }
}

impl TargetList {
    /// Reads what has changed from the platform, or falls back to the copy of another gateway.
    /// Returns whether the platform answered.
    pub async fn read<D: Directory>(&mut self, directory: &D, gateway: &GatewayState) -> bool {
        let next = gateway.with_copies(|copies| copies.list.next);
        let from = self.complete.then_some(next);
        let read = super::read(directory, Topic::Targets, from, Duration::ZERO).await;
        let now = gateway.clock.now();
        match read {
            Ok(batch) => {
                if self.dependency.record_success(now) >= MIN_OUTAGE {
                    self.missing.outage_ended(now);
                }
                let complete = from.is_none() && !batch.partial;
                apply_targets(gateway, &mut self.missing, &batch, complete);
                self.complete = true;
                gateway.with_copies(|copies| {
                    copies.list = ListCopy {
                        confirmed_at: Some(now),
                        next: batch.next,
                        cursor: None,
                    };
                });
                true
            }
            Err(ReadError::Expired { .. }) => {
                self.complete = false;
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
        if copy.cursor == Some(cursor) {
            gateway.with_copies(|copies| copies.list.confirm(status.list_at));
            return;
        }
        if status.list_next < copy.next {
            return;
        }
        match handover::fetch_targets(peer, copy.cursor).await {
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
        let (cursor, complete) = (list.cursor, list.complete);
        let batch = ChangeBatch::from(list);
        let known = gateway.with_copies(|copies| copies.list);
        if batch.next < known.next {
            return;
        }
        // The other gateway has already waited for entries that went missing in an outage.
        self.missing = MissingEntries::default();
        apply_targets(gateway, &mut self.missing, &batch, complete);
        self.complete = true;
        gateway.with_copies(|copies| {
            copies.list.next = batch.next;
            copies.list.cursor = Some(cursor);
            copies.list.confirm(listed_at);
        });
    }
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

/// Applies changes of the target list. If `complete`, `batch` is the whole list, and known targets
/// that it does not contain are missing from the list.
fn apply_targets(
    gateway: &GatewayState,
    missing: &mut MissingEntries,
    batch: &ChangeBatch,
    complete: bool,
) {
    let now = gateway.clock.now();
    if complete {
        handle_unlisted(gateway, missing, now, batch);
    }
    for change in &batch.changes {
        apply_target_change(gateway, missing, now, change.clone());
    }
    for id in missing.take_expired(now) {
        remove(gateway, &id);
    }
    gateway.pool.evict(|key| gateway.is_listed(key));
}

/// Handles the known targets that are missing from the complete list.
fn handle_unlisted(
    gateway: &GatewayState,
    missing: &mut MissingEntries,
    now: Micros,
    batch: &ChangeBatch,
) {
    let listed: HashSet<&str> = batch
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::Target(id, _) => Some(id.as_ref()),
            _ => None,
        })
        .collect();
    let known: Vec<Arc<str>> = gateway.with_targets(|targets| targets.ids().cloned().collect());
    for id in known.iter().filter(|id| !listed.contains(id.as_ref())) {
        handle_missing(gateway, missing, now, id);
    }
}

fn apply_target_change(
    gateway: &GatewayState,
    missing: &mut MissingEntries,
    now: Micros,
    change: Change,
) {
    match change {
        Change::Target(id, entry) => {
            missing.forget(&id);
            let (draining, service) = (entry.draining, entry.service.clone());
            let cold = entry.cold;
            let change = gateway.with_targets(|targets| {
                let change = targets.put(&id, entry);
                if let Some(cold) = cold {
                    targets.record_cold(now, &id, cold);
                }
                change
            });
            if change != targets::Change::Same {
                spdlog::info!(
                    "target listed", kv: {
                    target: = id.as_ref(), service: = service.as_ref(),
                    leaving: = draining, change:? = change }
                );
            }
        }
        Change::Unreadable(id) => {
            spdlog::warn!("could not decode a target's entry", kv: { target: = id.as_ref() });
            remove(gateway, &id);
        }
        Change::Removed(id) => handle_missing(gateway, missing, now, &id),
        Change::Config(_) | Change::ZoneEvacuated(_) | Change::ZoneRestored(_) => {}
    }
}

fn handle_missing(gateway: &GatewayState, missing: &mut MissingEntries, now: Micros, id: &str) {
    if missing.in_grace_period(now) {
        missing.add(id);
    } else {
        remove(gateway, id);
    }
}

fn remove(gateway: &GatewayState, id: &str) {
    if gateway.with_targets(|targets| targets.remove(id)) == targets::Change::Left {
        spdlog::info!("target gone", kv: { target: = id });
    }
}
