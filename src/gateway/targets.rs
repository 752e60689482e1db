//! The known targets: their list entries, estimated load and presumably cached prompt parts.

pub mod journal;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::FxBuildHasher;
use slab::Slab;

use crate::gateway::cold_limit::{ColdLimit, ColdPeriod, ColdReport};
use crate::gateway::evidence::CrashTag;
use crate::gateway::list_view::ListView;
use crate::gateway::notices::{Notice, NoticeBook, Notices, RunTag};
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::peers::totals::TargetLoad;
use crate::gateway::prompts::{PrefixCache, mix};
use crate::gateway::target_limit::TargetLimit;
use crate::gateway::targets::journal::Journal;
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

/// Time after the start of this process in which targets are listed that have run for long.
const SETTLING_TIME: Micros = Micros::from_secs(3);
/// How long a target is remembered that was removed, from the time at which it could no longer be used.
const DEPARTURE_TTL: Micros = Micros::from_secs(10);
/// Maximum number of removed targets that are remembered.
const MAX_DEPARTURES: usize = 256;
/// Change of the end of a cold time from which other gateways copy it.
const MIN_COLD_CHANGE: Micros = Micros::from_ms(250);

/// Key of a target in [`Targets`]. `generation` tells apart the targets that have used the same
/// slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetKey {
    slot: u32,
    generation: u32,
}

/// Hash of a target's id, the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetTag(pub u32);

/// A target's entry in the list of the platform, the operator's infrastructure service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Service that the target provides.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and must get no new requests.
    pub draining: bool,
    /// Version of its software; `None` if its entry has none that can be read.
    pub version: Option<Arc<str>>,
    /// Start time in milliseconds since the Unix epoch, if the target reports it.
    pub started_at: Option<u64>,
    /// How long it is cold; `None` if it does not say. Of a listed target, [`Target::cold`] keeps
    /// count of it.
    pub cold: Option<ColdReport>,
}

/// A run of a target that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRun {
    /// Id in the platform's list.
    pub id: Arc<str>,
    /// Version of its software; `None` if that is not known.
    pub version: Option<Arc<str>>,
}

impl TargetRun {
    /// Tag of the version of its software; `None` if that is not known.
    pub fn version_tag(&self) -> Option<VersionTag> {
        self.version.as_deref().map(VersionTag::of)
    }

    /// Version of its software, for logs.
    pub fn version_name(&self) -> &str {
        self.version.as_deref().unwrap_or("unknown")
    }
}

/// The load that a target reports in a response header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// How long work takes on its host now, in percent: 100 is the usual time.
    pub slowness: u32,
}

/// This process's estimate of a target's load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Number of requests of this process in flight at the target.
    pub active: u32,
    /// Prompt tokens of these requests that the target must process before their first event.
    pub prefill_tokens: u64,
    /// Prompt tokens that requests of this process have other targets fetch from this one now.
    pub outgoing_tokens: u64,
    /// Ratio of the target's total requests to this process's own, at least 1.
    pub load_ratio: f64,
    /// Load from other gateways; `None` while no peer reports any.
    pub peer_load: Option<TargetLoad>,
    /// Ratio of the measured to the expected time to a first event; 1 is as expected.
    pub slowness: f64,
    /// Time at which `slowness` was measured.
    pub measured_at: Micros,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Time until which the target gets no requests, unless no other target is available.
    pub paused_until: Micros,
}

/// Whether a target could be used when [`Targets::refresh_availability`] looked last, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Whether it could be used; `None` before the first look.
    available: Option<bool>,
    /// Time of the last change; `None` if it has not changed since this process started.
    changed: Option<Micros>,
}

impl Availability {
    /// Time since which the target can be used, if it can be used now; `None` if that is as long as
    /// this process knows.
    pub fn available_since(self, now: Micros) -> Option<Micros> {
        match self.available {
            Some(true) => self.changed,
            // It has been listed, or become usable, since the last look.
            Some(false) => Some(now),
            None => (now >= SETTLING_TIME).then_some(now),
        }
    }

    /// Time since which the target could not be used when it was looked at last; zero if that is as
    /// long as this process knows. `None` if it could be used, and has failed or was excluded since.
    pub fn lost_at(self) -> Option<Micros> {
        let is_lost = self.available == Some(false);
        is_lost.then(|| self.changed.unwrap_or_default())
    }

    fn refresh(&mut self, now: Micros, available: bool) {
        if self.available == Some(available) {
            return;
        }
        let is_start = self.available.is_none() && now < SETTLING_TIME;
        self.available = Some(available);
        self.changed = (!is_start).then_some(now);
    }
}

/// A target that has been removed from the list.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Hash of its id.
    pub tag: TargetTag,
    /// Time since which it could not be used; `None` if it was removed since the last look.
    pub at: Option<Micros>,
    service: Arc<str>,
}

/// A listed target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id in the platform's list.
    pub id: Arc<str>,
    /// Hash of the id.
    pub tag: TargetTag,
    /// Entry in the list.
    pub entry: Entry,
    /// Tag of its availability zone.
    pub zone: ZoneTag,
    /// Tag of the version of its software; `None` if that is not known.
    pub version: Option<VersionTag>,
    /// Estimated load.
    pub load: Load,
    /// Prompt parts that it presumably has cached.
    pub cache: PrefixCache,
    /// The limit that it names on the requests of all gateways together.
    pub limit: TargetLimit,
    /// Since when it can be used, or cannot.
    pub availability: Availability,
    /// The limit on requests while it is cold.
    pub cold: ColdLimit,
    /// What it announced in its answers. Kept in step with the [`NoticeBook`].
    pub notices: Notices,
    run: RunTag,
}

impl Target {
    /// Tag of the crash that ends this run of the target.
    pub fn crash_tag(&self) -> CrashTag {
        let run = u64::from(self.tag.0) << 32 ^ self.entry.started_at.unwrap_or_default();
        CrashTag(mix(run) as u32)
    }

    /// Whether it may be asked for reservations. Each one is a request, which a target that is cold or
    /// names a limit should not get.
    pub fn takes_reservations(&self, now: Micros) -> bool {
        self.limit.rate(now).is_none() && !self.cold.is_cold(now)
    }

    /// Whether it has room for a request of this gateway, within the limit that it names and the one
    /// of its cold time.
    pub fn has_room(&self, now: Micros) -> bool {
        self.limit.has_room() && self.cold.has_room(now)
    }
}

/// The effect of a list change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target is new, or has restarted.
    New,
    /// Its entry has changed.
    Changed,
    /// It is draining, or has been removed.
    Left,
    /// Nothing has changed.
    Same,
}

/// All listed targets, indexed by id and service.
#[derive(Debug, Default)]
pub struct Targets {
    arena: Slab<(u32, Target)>,
    ids: HashMap<Arc<str>, TargetKey>,
    services: HashMap<Arc<str>, Vec<TargetKey>>,
    runs: HashMap<RunTag, TargetKey, FxBuildHasher>,
    generation: u32,
    journal: Journal,
    view: ListView,
    /// Targets that were removed of late, oldest first.
    departures: VecDeque<Departure>,
    notices: NoticeBook,
}

impl Targets {
    /// Looks up a target, which may have been removed since.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        let (generation, target) = self.arena.get(key.slot as usize)?;
        (*generation == key.generation).then_some(target)
    }

    /// Mutable variant of [`Targets::get`].
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        let (generation, target) = self.arena.get_mut(key.slot as usize)?;
        (*generation == key.generation).then_some(target)
    }

    /// Looks up a target by its id.
    pub fn by_id(&self, id: &str) -> Option<&Target> {
        self.get(*self.ids.get(id)?)
    }

    /// The last changes to this list.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Records that what is known of a target's entry has changed, though the entry is the same.
    pub fn touch(&mut self, id: &str) {
        self.journal.record(&id.into());
    }

    /// Records that the offsets of all entries may have changed.
    pub fn touch_all(&mut self) {
        self.journal.reset();
    }

    /// Which entries are in force.
    pub fn view(&self) -> &ListView {
        &self.view
    }

    /// Mutable variant of [`Targets::view`].
    pub fn view_mut(&mut self) -> &mut ListView {
        &mut self.view
    }

    /// The targets of a service, including draining ones.
    pub fn of_service(&self, service: &str) -> &[TargetKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the ids of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ids.keys()
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.arena.iter().map(|(_, (_, target))| target)
    }

    /// Iterates over all targets mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.arena.iter_mut().map(|(_, (_, target))| target)
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Adds a target or updates its entry. One that has restarted, or has another address or
    /// service, is replaced, because its load and cache start empty.
    pub fn put(&mut self, id: &str, entry: Entry) -> Change {
        let change = self.update(id, entry);
        if change != Change::Same {
            self.journal.record(&id.into());
        }
        change
    }

    /// Records what a target's entry said at `now` of its cold time. Other gateways copy it if that
    /// changes the end of the cold time by more than `MIN_COLD_CHANGE`.
    pub fn record_cold(&mut self, now: Micros, id: &str, report: ColdReport) {
        let key = self.ids.get(id).copied();
        let Some(target) = key.and_then(|key| self.get_mut(key)) else {
            return;
        };
        let end = |target: &Target| target.cold.period().map_or(now, |cold| cold.until.max(now));
        let before = end(target);
        target.cold.merge(now, ColdPeriod::from_report(now, report));
        let after = end(target);
        if after.saturating_sub(before) + before.saturating_sub(after) > MIN_COLD_CHANGE {
            self.journal.record(&id.into());
        }
    }

    fn update(&mut self, id: &str, mut entry: Entry) -> Change {
        entry.cold = None;
        let Some(&key) = self.ids.get(id) else {
            self.insert(id, entry);
            return Change::New;
        };
        let known = &self.get(key).expect("ids name live targets").entry;
        let replaced = known.started_at != entry.started_at
            || known.addr != entry.addr
            || known.service != entry.service
            || known.version != entry.version;
        if replaced {
            let before = self.get(key).map(|target| target.cold.clone());
            self.take(id);
            self.insert(id, entry);
            let key = self.ids[id];
            if let (Some(target), Some(before)) = (self.get_mut(key), before) {
                target.cold.inherit(&before);
            }
            return Change::New;
        }
        if *known == entry {
            return Change::Same;
        }
        let drains = entry.draining && !known.draining;
        let target = self.get_mut(key).expect("ids name live targets");
        target.zone = ZoneTag::of(&entry.zone);
        target.entry = entry;
        if drains {
            Change::Left
        } else {
            Change::Changed
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &str) -> Change {
        let change = self.take(id);
        if change != Change::Same {
            self.journal.record(&id.into());
        }
        change
    }

    fn take(&mut self, id: &str) -> Change {
        let Some(key) = self.ids.remove(id) else {
            return Change::Same;
        };
        let (_, target) = self.arena.remove(key.slot as usize);
        self.record_departure(&target);
        self.runs.remove(&target.run);
        if let Some(keys) = self.services.get_mut(&target.entry.service) {
            keys.retain(|&k| k != key);
        }
        Change::Left
    }

    /// The targets of a service that were removed of late.
    pub fn departures<'a>(&'a self, service: &'a str) -> impl Iterator<Item = Departure> + 'a {
        let of_service = self
            .departures
            .iter()
            .filter(move |left| &*left.service == service);
        of_service.cloned()
    }

    /// Looks at which targets can be used, and forgets old departures.
    pub fn refresh_availability(&mut self, now: Micros, is_available: impl Fn(&Target) -> bool) {
        for (_, (_, target)) in &mut self.arena {
            let available = is_available(target);
            target.availability.refresh(now, available);
        }
        for left in &mut self.departures {
            left.at.get_or_insert(now);
        }
        let is_old = |left: &Departure| {
            let at = left.at.unwrap_or(now);
            now.saturating_sub(at) >= DEPARTURE_TTL
        };
        self.departures.retain(|left| !is_old(left));
    }

    fn record_departure(&mut self, target: &Target) {
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(Departure {
            tag: target.tag,
            at: target.availability.lost_at(),
            service: target.entry.service.clone(),
        });
    }

    /// Records a notice of the run of a target that `entry` describes, which may not be listed any
    /// more. Returns whether the run begins to leave, or to pause.
    pub fn record_notice(
        &mut self,
        now: Micros,
        id: &Arc<str>,
        entry: &Entry,
        notice: Notice,
    ) -> bool {
        let begins = self.notices.record(now, id, entry, notice);
        if let Some(&key) = self.ids.get(id) {
            let target = self.get(key).expect("ids name live targets");
            let notices = self.notices.of(id, &target.entry);
            self.get_mut(key).expect("ids name live targets").notices = notices;
        }
        begins
    }

    /// The listed runs that are leaving.
    pub fn leaving_runs(&self) -> impl Iterator<Item = RunTag> + '_ {
        let leaving = self.iter().filter(|t| t.notices.is_leaving_for_good());
        leaving.map(|target| target.run)
    }

    /// Records the listed ones of these runs as leaving. Returns the ids of the targets of which
    /// this was not known.
    pub fn merge_leaving(
        &mut self,
        now: Micros,
        runs: impl Iterator<Item = RunTag>,
    ) -> Vec<Arc<str>> {
        let mut learned = Vec::new();
        for run in runs {
            let target = self.runs.get(&run).and_then(|&key| self.get(key));
            let Some(target) = target.filter(|t| !t.notices.is_leaving_for_good()) else {
                continue;
            };
            let (id, entry) = (target.id.clone(), target.entry.clone());
            self.record_notice(now, &id, &entry, Notice::Leaving);
            learned.push(id);
        }
        learned
    }

    fn insert(&mut self, id: &str, entry: Entry) {
        self.generation += 1;
        let id: Arc<str> = id.into();
        let service = entry.service.clone();
        let load = Load {
            load_ratio: 1.0,
            slowness: 1.0,
            ..Load::default()
        };
        let run = RunTag::of(&id, &entry);
        let target = Target {
            id: id.clone(),
            tag: TargetTag(xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32),
            zone: ZoneTag::of(&entry.zone),
            version: entry.version.as_deref().map(VersionTag::of),
            notices: self.notices.of(&id, &entry),
            run,
            entry,
            load,
            cache: PrefixCache::default(),
            limit: TargetLimit::default(),
            availability: Availability::default(),
            cold: ColdLimit::default(),
        };
        let slot = self.arena.insert((self.generation, target));
        let key = TargetKey {
            slot: u32::try_from(slot).expect("the list is bounded"),
            generation: self.generation,
        };
        self.ids.insert(id, key);
        self.runs.insert(run, key);
        self.services.entry(service).or_default().push(key);
    }
}

#[cfg(test)]
mod tests;
