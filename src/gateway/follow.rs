//! Follows the platform's lists: the configuration, and the targets.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::directory::{Change, ChangeBatch, Directory, Topic};
use crate::gateway::peers::handover;
use crate::gateway::state::GatewayState;
use crate::gateway::targets;
use crate::log::ReadError;
use crate::units::Micros;

/// How long a read of the configuration waits for a change. Short, so that a connection that went
/// silent is found in time.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Pause between reads of the target list.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// After the list was out for this long, entries may be missing that will come back.
const OUTAGE: Micros = Micros::from_ms(900);
/// How long after an outage entries may be missing that will come back.
const COME_BACK: Micros = Micros::from_ms(2_200);

/// Follows the configuration, for ever.
pub async fn config<D: Directory>(directory: D, gateway: Arc<GatewayState>) {
    let mut next = None;
    let mut link = Dependency::new("configuration");
    loop {
        let read = read(&directory, Topic::Config, next, CONFIG_WAIT).await;
        match read {
            Ok(news) => {
                link.answered(gateway.clock.now());
                next = Some(news.next);
                for change in news.changes {
                    put_config(&gateway, change);
                }
            }
            Err(ReadError::Expired { .. }) => next = None,
            Err(error) => {
                link.failed(gateway.clock.now(), &error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn put_config(gateway: &GatewayState, change: Change) {
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
            spdlog::error!("could not read a configuration", kv: { key: = key.as_ref() });
        }
        Change::Target(..) | Change::Removed(_) => {}
    }
}

/// Follows the list of targets, for ever.
pub async fn targets<D: Directory>(directory: D, gateway: Arc<GatewayState>) {
    let mut next = None;
    let mut link = Dependency::new("target list");
    let mut missing = Missing::default();
    loop {
        let read = read(&directory, Topic::Targets, next, Duration::ZERO).await;
        let now = gateway.clock.now();
        match read {
            Ok(news) => {
                if link.answered(now) >= OUTAGE {
                    missing.outage_over(now);
                }
                take_targets(&gateway, &mut missing, &news, next.is_none());
                next = Some(news.next);
                gateway.set_list_offset(next);
                tokio::time::sleep(TARGETS_PAUSE).await;
            }
            Err(ReadError::Expired { .. }) => next = None,
            Err(error) => {
                link.failed(now, &error);
                gateway.set_list_offset(None);
                if let Some(news) = handed_over(&gateway).await {
                    next = Some(news.next);
                    take_targets(&gateway, &mut missing, &news, true);
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The list of a gateway that can read it.
async fn handed_over(gateway: &GatewayState) -> Option<ChangeBatch> {
    let knows_none = gateway.with_targets(|targets| targets.is_empty());
    let peer = gateway.with_peers(|peers| peers.list_source(knows_none))?;
    match handover::targets(peer).await {
        Ok(news) => Some(news),
        Err(error) => {
            let error = format!("{error:#}");
            spdlog::warn!("could not take the target list", kv: { peer: = peer, error: = error });
            None
        }
    }
}

/// Takes in news of the targets; `whole` says that they are all that there is.
fn take_targets(gateway: &GatewayState, missing: &mut Missing, news: &ChangeBatch, whole: bool) {
    let now = gateway.clock.now();
    if whole {
        drop_absent(gateway, missing, now, news);
    }
    for change in &news.changes {
        put_target(gateway, missing, now, change.clone());
    }
    for id in missing.due(now) {
        remove(gateway, &id);
    }
    gateway.pool.evict(|key| gateway.is_listed(key));
}

/// A list, whole the first time, then its changes.
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

/// Targets that the whole list no longer holds are gone.
fn drop_absent(gateway: &GatewayState, missing: &mut Missing, now: Micros, news: &ChangeBatch) {
    let listed: HashSet<&str> = news
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::Target(id, _) => Some(id.as_ref()),
            _ => None,
        })
        .collect();
    let known: Vec<Arc<str>> = gateway.with_targets(|targets| targets.ids().cloned().collect());
    for id in known.iter().filter(|id| !listed.contains(id.as_ref())) {
        gone(gateway, missing, now, id);
    }
}

fn put_target(gateway: &GatewayState, missing: &mut Missing, now: Micros, change: Change) {
    match change {
        Change::Target(id, entry) => {
            missing.back(&id);
            let (leaving, service) = (entry.draining, entry.service.clone());
            let done = gateway.with_targets(|targets| targets.put(&id, entry));
            if done != targets::Change::Same {
                spdlog::info!(
                    "target listed", kv: {
                    target: = id.as_ref(), service: = service.as_ref(),
                    leaving: = leaving, change:? = done }
                );
            }
        }
        Change::Unreadable(id) => {
            spdlog::warn!("could not read a target's entry", kv: { target: = id.as_ref() });
            remove(gateway, &id);
        }
        Change::Removed(id) => gone(gateway, missing, now, &id),
        Change::Config(_) => {}
    }
}

fn gone(gateway: &GatewayState, missing: &mut Missing, now: Micros, id: &str) {
    if missing.may_come_back(now) {
        missing.wait(id);
    } else {
        remove(gateway, id);
    }
}

fn remove(gateway: &GatewayState, id: &str) {
    if gateway.with_targets(|targets| targets.remove(id)) == targets::Change::Left {
        spdlog::info!("target gone", kv: { target: = id });
    }
}

/// Entries that went missing around an outage of the list, when targets could not renew them.
#[derive(Debug, Default)]
pub struct Missing {
    until: Micros,
    ids: HashMap<Box<str>, Micros>,
}

impl Missing {
    /// The list can be read again after an outage.
    pub fn outage_over(&mut self, now: Micros) {
        self.until = now + COME_BACK;
    }

    /// Whether an entry that is missing now may come back by itself.
    pub fn may_come_back(&self, now: Micros) -> bool {
        now < self.until
    }

    /// An entry is missing.
    pub fn wait(&mut self, id: &str) {
        self.ids.insert(id.into(), self.until);
    }

    /// An entry is there.
    pub fn back(&mut self, id: &str) {
        self.ids.remove(id);
    }

    /// Entries that did not come back in time.
    pub fn due(&mut self, now: Micros) -> Vec<Box<str>> {
        let due = |until: &Micros| now >= *until;
        let over: Vec<Box<str>> = self
            .ids
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(id, _)| id.clone())
            .collect();
        self.ids.retain(|_, until| !due(until));
        over
    }
}

/// Whether something that the gateway depends on answers; each change is logged once.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    lost: Option<Micros>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Dependency { name, lost: None }
    }

    /// It answered. Returns how long it had not.
    fn answered(&mut self, now: Micros) -> Micros {
        let Some(since) = self.lost.take() else {
            return Micros::ZERO;
        };
        let out = now.saturating_sub(since);
        spdlog::info!("dependency regained", kv: { name: = self.name, out_ms: = out.as_ms() });
        out
    }

    fn failed(&mut self, now: Micros, error: &ReadError) {
        if self.lost.is_none() {
            self.lost = Some(now);
            spdlog::warn!("dependency lost", kv: { name: = self.name, error: = error });
        }
    }
}

#[cfg(test)]
mod tests;
