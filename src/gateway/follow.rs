//! Keeps copies of the configuration and of the list of targets, and applies their changes. They come
//! from the platform, the operator's infrastructure service, or from another gateway that has read
//! them there; [`super::source`] decides which.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::copies::ListCopy;
use crate::gateway::directory::{Change, ChangeBatch, Directory, Topic};
use crate::gateway::peers::wire::{Cursor, WireTargets};
use crate::gateway::peers::{CopyStatus, handover};
use crate::gateway::source::{self, PeerCopy, Source, SourceContext};
use crate::gateway::state::GatewayState;
use crate::gateway::targets;
use crate::log::ReadError;
use crate::units::Micros;

/// Maximum time that a read of the configuration waits for a change. Short, so that a connection on
/// which no more responses arrive is detected soon.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Pause between reads of the target list.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after the start, in which the gateway hears from others.
const START_PAUSE: Duration = Duration::from_millis(200);
/// Maximum time between two looks at the reports of other gateways.
const REPORT_WAIT: Duration = Duration::from_millis(250);
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
    let mut follower = Follower::new(&gateway, CONFIG_WAIT.into());
    tokio::time::sleep(START_PAUSE).await;
    loop {
        let confirmed_at = gateway.with_copies(|copies| copies.config_at);
        match follower.choose(&gateway, confirmed_at, config_copy) {
            Source::Platform => {
                let read = read(&directory, Topic::Config, next, CONFIG_WAIT).await;
                next = apply_config_read(&gateway, &mut dependency, read, next);
                if dependency.is_lost() {
                    tokio::time::sleep(follower.pause_after_failure(&gateway)).await;
                }
            }
            Source::Peer(peer) => {
                next = None;
                confirm_config(&gateway, peer);
                await_reports(&gateway).await;
            }
            Source::Wait => await_reports(&gateway).await,
        }
    }
}

/// Applies the result of a read of the configuration. Returns the offset of the next read.
fn apply_config_read(
    gateway: &GatewayState,
    dependency: &mut Dependency,
    read: Result<ChangeBatch, ReadError>,
    next: Option<u64>,
) -> Option<u64> {
    let now = gateway.clock.now();
    match read {
        Ok(batch) => {
            dependency.record_success(now);
            gateway.with_copies(|copies| copies.config_at = Some(now));
            for change in batch.changes {
                apply_config_change(gateway, change);
            }
            Some(batch.next)
        }
        Err(ReadError::Expired { .. }) => None,
        Err(error) => {
            dependency.record_failure(now, &error);
            gateway.with_copies(|copies| copies.config_at = None);
            next
        }
    }
}

/// Takes over that the platform has confirmed the configuration of another gateway, if this gateway
/// has the same one. A newer one is fetched by [`super::peers::service::sync_configs`].
fn confirm_config(gateway: &GatewayState, peer: SocketAddr) {
    let version = gateway.config().version;
    let now = gateway.clock.now();
    let status = gateway.with_peers(|peers| peers.status(now, peer));
    if let Some(status) = status.filter(|status| status.version == version) {
        gateway.with_copies(|copies| copies.config_at = copies.config_at.max(status.config_at));
    }
}

/// Another gateway's copy of the configuration.
fn config_copy(addr: SocketAddr, status: &CopyStatus, aggregates: bool) -> PeerCopy {
    PeerCopy {
        addr,
        confirmed_at: status.config_at,
        aggregates,
        exists: status.version > 0,
    }
}

/// Another gateway's copy of the list of targets.
fn list_copy(addr: SocketAddr, status: &CopyStatus, aggregates: bool) -> PeerCopy {
    PeerCopy {
        addr,
        confirmed_at: status.list_at,
        aggregates,
        exists: status.version > 0 && status.list_change > 0,
    }
}

/// Waits until other gateways have reported, or for [`REPORT_WAIT`].
async fn await_reports(gateway: &GatewayState) {
    let _ = tokio::time::timeout(REPORT_WAIT, gateway.reports.notified()).await;
}

/// Chooses the source of one list for a gateway, and logs when it changes.
#[derive(Debug)]
struct Follower {
    started: Micros,
    read_wait: Micros,
    spread: f64,
    source: Option<Source>,
}

impl Follower {
    /// Follows a list whose reads the platform holds for up to `read_wait`.
    fn new(gateway: &GatewayState, read_wait: Micros) -> Self {
        Follower {
            started: gateway.clock.now(),
            read_wait,
            spread: rand::random(),
            source: None,
        }
    }

    fn choose(
        &mut self,
        gateway: &GatewayState,
        confirmed_at: Option<Micros>,
        to_copy: fn(SocketAddr, &CopyStatus, bool) -> PeerCopy,
    ) -> Source {
        let now = gateway.clock.now();
        let source = gateway.with_peers(|peers| {
            let context = SourceContext {
                rank: peers.rank(now),
                confirmed_at: confirmed_at.unwrap_or_default().max(self.started),
                read_wait: self.read_wait,
                spread: self.spread,
            };
            let copies = peers.copies(now);
            let copies = copies.map(|(addr, status, near)| to_copy(addr, &status, near));
            source::choose(now, &context, copies)
        });
        self.log_change(source);
        source
    }

    fn log_change(&mut self, source: Source) {
        if source != Source::Wait && self.source != Some(source) {
            self.source = Some(source);
            spdlog::info!("source chosen", kv: { source:? = source, held_ms: = self.read_wait.as_ms() });
        }
    }

    fn pause_after_failure(&self, gateway: &GatewayState) -> Duration {
        let now = gateway.clock.now();
        let rank = gateway.with_peers(|peers| peers.rank(now));
        source::pause_after_failure(rank, self.spread).into()
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

/// Keeps the gateway's targets up to date with the platform's list, or with the copy of another
/// gateway. Never returns.
pub async fn follow_targets<D: Directory>(directory: D, gateway: Arc<GatewayState>) {
    let mut follower = Follower::new(&gateway, Micros::ZERO);
    let mut list = ListReader::default();
    tokio::time::sleep(START_PAUSE).await;
    loop {
        let confirmed_at = gateway.with_copies(|copies| copies.list.confirmed_at);
        match follower.choose(&gateway, confirmed_at, list_copy) {
            Source::Platform => {
                let pause = match list.read(&directory, &gateway).await {
                    true => TARGETS_PAUSE,
                    false => follower.pause_after_failure(&gateway),
                };
                tokio::time::sleep(pause).await;
            }
            Source::Peer(peer) => {
                list.copy_from(&gateway, peer).await;
                await_reports(&gateway).await;
            }
            Source::Wait => await_reports(&gateway).await,
        }
    }
}

/// Reads the list of targets from the platform, or copies it from another gateway.
#[derive(Debug)]
struct ListReader {
    /// Whether the whole list has been read or copied.
    complete: bool,
    dependency: Dependency,
    missing: MissingEntries,
}

impl Default for ListReader {
    fn default() -> Self {
        ListReader {
            complete: false,
            dependency: Dependency::new("target list"),
            missing: MissingEntries::default(),
        }
    }
}

impl ListReader {
    /// Reads what has changed from the platform, or falls back to the copy of another gateway.
    /// Returns whether the platform answered.
    async fn read<D: Directory>(&mut self, directory: &D, gateway: &GatewayState) -> bool {
        let next = gateway.with_copies(|copies| copies.list.next);
        let from = self.complete.then_some(next);
        let read = read(directory, Topic::Targets, from, Duration::ZERO).await;
        let now = gateway.clock.now();
        match read {
            Ok(batch) => {
                if self.dependency.record_success(now) >= MIN_OUTAGE {
                    self.missing.outage_ended(now);
                }
                apply_targets(gateway, &mut self.missing, &batch, from.is_none());
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
    async fn copy_from(&mut self, gateway: &GatewayState, peer: SocketAddr) {
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
        let copies = copies.map(|(addr, status, near)| list_copy(addr, &status, near));
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

    fn is_lost(&self) -> bool {
        self.lost_since.is_some()
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
