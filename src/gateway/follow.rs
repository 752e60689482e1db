//! Keeps copies of the configuration and of the list of targets, and applies their changes. They come
//! from the platform, the operator's infrastructure service, or from another gateway that has read
//! them there; [`super::source`] decides which.

mod apply;
mod dependency;
mod follower;
mod list;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::directory::{Change, ChangeBatch, Directory, ListError, Topic};
use crate::gateway::follow::dependency::Dependency;
use crate::gateway::follow::follower::{Follower, await_reports, config_copy, list_copy};
use crate::gateway::follow::list::TargetList;
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::position::Position;
use crate::gateway::restrictions::evacuations::{self, Evacuations};
use crate::gateway::source::Source;
use crate::gateway::state::GatewayState;
use crate::units::Micros;

/// Maximum time that a read of the configuration waits for a change. Short, so that a connection on
/// which no more responses arrive is detected soon.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Pause between reads of the target list.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after the start, in which the gateway hears from others.
const START_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the gateway's configuration up to date with the platform's. Never returns.
pub async fn follow_config<D: Directory>(directory: D, gateway: Arc<GatewayState>) {
    let mut next = None;
    let mut evacuations = Evacuations::default();
    let mut dependency = Dependency::new("configuration");
    let mut follower = Follower::new(&gateway, CONFIG_WAIT.into());
    tokio::time::sleep(START_PAUSE).await;
    loop {
        let confirmed_at = gateway.with_copies(|copies| copies.config_at);
        match follower.choose(&gateway, confirmed_at, config_copy) {
            Source::Platform => {
                let read = read(&directory, &gateway, Topic::Config, next, CONFIG_WAIT).await;
                if let Ok(read) = &read {
                    evacuations = apply_evacuations(&gateway, &evacuations, read);
                }
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

/// Applies the result of a read of the configuration. Returns the position of the next read.
fn apply_config_read(
    gateway: &GatewayState,
    dependency: &mut Dependency,
    read: Result<ListRead, ListError>,
    next: Option<Position>,
) -> Option<Position> {
    let now = gateway.clock.now();
    match read {
        Ok(ListRead { batch, .. }) => {
            dependency.record_success(now);
            dependency.record_era(batch.next);
            gateway.with_copies(|copies| copies.config_at = Some(now));
            for change in batch.changes {
                apply_config_change(gateway, change);
            }
            Some(batch.next)
        }
        Err(ListError::Expired) => None,
        Err(error) => {
            dependency.record_failure(now, &error);
            gateway.with_copies(|copies| copies.config_at = None);
            next
        }
    }
}

/// Applies the evacuations that were read to the set as of the position that was read from. Returns
/// the set as of the end of the read.
fn apply_evacuations(gateway: &GatewayState, before: &Evacuations, read: &ListRead) -> Evacuations {
    let batch = &read.batch;
    let mut set = match (read.from, batch.partial) {
        (Some(_), _) => before.clone(),
        (None, false) => Evacuations::default(),
        // What a list without its end does not show may still hold.
        (None, true) => gateway.evacuations(),
    };
    set.as_of = batch.next;
    for change in &batch.changes {
        match change {
            Change::ZoneEvacuated(zone) => {
                let tag = ZoneTag::of(zone);
                if !gateway.evacuations().contains(tag) && !before.is_in_excess(tag) {
                    spdlog::info!("evacuation read", kv: { zone: = zone.as_ref() });
                }
                set.add(tag);
            }
            Change::ZoneRestored(zone) => set.remove(ZoneTag::of(zone)),
            _ => {}
        }
    }
    evacuations::log_excess(before, &set);
    gateway.merge_evacuations(set.clone());
    set
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
        Change::Unreadable(key, _) => {
            spdlog::error!("could not decode a configuration", kv: { key: = key.as_ref() });
        }
        Change::Target(..) | Change::Missing(..) | Change::Removed(..) => {}
        // Already applied.
        Change::ZoneEvacuated(_) | Change::ZoneRestored(_) => {}
    }
}

/// Keeps the gateway's targets up to date with the platform's list, or with the copy of another
/// gateway. Never returns.
pub async fn follow_targets<D: Directory>(directory: D, gateway: Arc<GatewayState>) {
    let mut follower = Follower::new(&gateway, Micros::ZERO);
    let mut list = TargetList::default();
    tokio::time::sleep(START_PAUSE).await;
    loop {
        let confirmed_at = gateway.with_copies(|copies| copies.list.confirmed_at);
        match follower.choose(&gateway, confirmed_at, list_copy) {
            Source::Platform => {
                let pause = match list.read(&directory, &gateway).await {
                    true => TARGETS_PAUSE,
                    false => follower.pause_after_failure(&gateway),
                };
                list.expire_missing(&gateway);
                tokio::time::sleep(list.read_pause(&gateway, pause)).await;
            }
            Source::Peer(peer) => {
                list.copy_from(&gateway, peer).await;
                list.expire_missing(&gateway);
                await_reports(&gateway).await;
            }
            Source::Wait => {
                list.expire_missing(&gateway);
                await_reports(&gateway).await;
            }
        }
    }
}

/// What was read of a list.
#[derive(Debug)]
struct ListRead {
    /// Position that the changes follow; `None` if they are the complete list.
    from: Option<Position>,
    batch: ChangeBatch,
}

/// Reads the changes since `next`. Reads the complete list if `next` is `None`, or if the list was
/// restored since, as changes may then be missing.
async fn read<D: Directory>(
    directory: &D,
    gateway: &GatewayState,
    topic: Topic,
    next: Option<Position>,
    wait: Duration,
) -> Result<ListRead, ListError> {
    if let Some(from) = next.filter(|from| from.era >= gateway.list_era()) {
        let batch = directory.changes(topic, from, wait).await?;
        if batch.next.era == from.era && from.era >= gateway.list_era() {
            let from = Some(from);
            return Ok(ListRead { from, batch });
        }
    }
    let batch = directory.list(topic).await?;
    match batch.next.era < gateway.list_era() {
        true => Err(ListError::Superseded),
        false => Ok(ListRead { from: None, batch }),
    }
}
