//! Reads the configuration and the list of targets from the platform, the operator's infrastructure
//! service, and applies their changes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::directory::{Change, ChangeBatch, Directory, Topic};
use crate::gateway::peers::handover;
use crate::gateway::state::GatewayState;
use crate::gateway::targets;
use crate::log::ReadError;
use crate::units::Micros;

/// Maximum time that a read of the configuration waits for a change. Short, so that a connection on
/// which no more responses arrive is detected soon.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Pause between reads of the target list.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Minimum length of an outage of the target list after which missing entries are kept for
/// [`OUTAGE_GRACE`].
const MIN_OUTAGE: Micros = Micros::from_ms(900);
/// How long after an outage a missing entry is kept: targets could not renew their entries while
/// the list was unavailable, and need this time to write them again.
const OUTAGE_GRACE: Micros = Micros::from_ms(2_200);

/// Keeps the gateway's configuration up to date with the platform's. Never returns.
pub async fn follow_config<D: Directory>(directory: D, gateway: Arc<GatewayState>) {
    let mut next = None;
    let mut dependency = Dependency::new("configuration");
    loop {
        let read = read(&directory, Topic::Config, next, CONFIG_WAIT).await;
        match read {
            Ok(batch) => {
                dependency.record_success(gateway.clock.now());
                next = Some(batch.next);
                for change in batch.changes {
                    apply_config_change(&gateway, change);
                }
            }
            Err(ReadError::Expired { .. }) => next = None,
            Err(error) => {
                dependency.record_failure(gateway.clock.now(), &error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply_config_change(gateway: &GatewayState, change: Change) {
    match change {
        Change::Config(config) => {
            let (version, routes) = (config.version, config.len());
            let newer = gateway.apply_config(*config);
            spdlog::info!(
               "configuration read", kv: {
               version: = version, routes: = routes, in_force: = newer
            });
        }
        Change::Unreadable(key) => {
            spdlog::error!("could not decode a configuration", kv: { key: = key.as_ref() });
        }
        Change::Target(..) | Change::Removed(_) => {}
    }
}

/// Keeps the gateway's targets up to date with the platform's list, or with the list of another
/// gateway while the platform does not answer. Never returns.
pub async fn follow_targets<D: Directory>(directory: D, gateway: Arc<GatewayState>) {
    let mut next = None;
    let mut dependency = Dependency::new("target list");
    let mut missing = MissingEntries::default();
    loop {
        let read = read(&directory, Topic::Targets, next, Duration::ZERO).await;
        let now = gateway.clock.now();
        match read {
            Ok(batch) => {
                if dependency.record_success(now) >= MIN_OUTAGE {
                    missing.outage_ended(now);
                }
                apply_targets(&gateway, &mut missing, &batch, next.is_none());
                next = Some(batch.next);
                gateway.set_list_offset(next);
                tokio::time::sleep(TARGETS_PAUSE).await;
            }
            Err(ReadError::Expired { .. }) => next = None,
            Err(error) => {
                dependency.record_failure(now, &error);
                gateway.set_list_offset(None);
                if let Some(batch) = fetch_from_peer(&gateway).await {
                    next = Some(batch.next);
                    apply_targets(&gateway, &mut missing, &batch, true);
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Fetches the list of targets from another gateway; `None` if no gateway provides it.
async fn fetch_from_peer(gateway: &GatewayState) -> Option<ChangeBatch> {
    let has_none = gateway.with_targets(|targets| targets.is_empty());
    let peer = gateway.with_peers(|peers| peers.list_source(has_none))?;
    match handover::fetch_targets(peer).await {
        Ok(batch) => Some(batch),
        Err(error) => {
            let error = format!("{error:#}");
            spdlog::warn!("could not fetch the target list from a peer", kv: {
                peer: = peer, error: = error,
            });
            None
        }
    }
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

/// Reads the complete list if `next` is `None`, otherwise the changes since the offset `next`.
async fn read<D: Directory>(
    directory: &D,
    topic: Topic,
    next: Option<u64>,
    wait: Duration,
) -> Result<ChangeBatch, ReadError> {
    match next {
        None => Ok(directory.list(topic).await?),
        Some(from) => directory.changes(topic, from, wait).await,
    }
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
            let change = gateway.with_targets(|targets| targets.put(&id, entry));
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
        Change::Config(_) => {}
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

/// Entries that are missing from the list after an outage, during which targets could not renew
/// them. They are kept until the grace period ends.
#[derive(Debug, Default)]
pub struct MissingEntries {
    grace_end: Micros,
    entries: HashMap<Box<str>, Micros>,
}

impl MissingEntries {
    /// Starts the grace period; called when the list can be read again after an outage.
    pub fn outage_ended(&mut self, now: Micros) {
        self.grace_end = now + OUTAGE_GRACE;
    }

    /// Whether an entry that goes missing now is kept until the end of the grace period.
    pub fn in_grace_period(&self, now: Micros) -> bool {
        now < self.grace_end
    }

    /// Records a missing entry.
    pub fn add(&mut self, id: &str) {
        self.entries.insert(id.into(), self.grace_end);
    }

    /// Forgets an entry that is listed again.
    pub fn forget(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Removes and returns the entries whose grace period has ended.
    pub fn take_expired(&mut self, now: Micros) -> Vec<Box<str>> {
        let is_due = |until: &Micros| now >= *until;
        let expired: Vec<Box<str>> = self
            .entries
            .iter()
            .filter(|(_, until)| is_due(until))
            .map(|(id, _)| id.clone())
            .collect();
        self.entries.retain(|_, until| !is_due(until));
        expired
    }
}

/// Tracks whether a dependency of the gateway answers; logs each change once.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    lost_since: Option<Micros>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Dependency {
            name,
            lost_since: None,
        }
    }

    /// Records a successful read. Returns the length of the outage that it ends; zero if there was
    /// none.
    fn record_success(&mut self, now: Micros) -> Micros {
        let Some(since) = self.lost_since.take() else {
            return Micros::ZERO;
        };
        let outage = now.saturating_sub(since);
        spdlog::info!("dependency regained", kv: { name: = self.name, out_ms: = outage.as_ms() });
        outage
    }

    fn record_failure(&mut self, now: Micros, error: &ReadError) {
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            spdlog::warn!("dependency lost", kv: { name: = self.name, error: = error });
        }
    }
}

#[cfg(test)]
mod tests;
