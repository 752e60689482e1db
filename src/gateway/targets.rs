//! What is believed of the targets: who they are, how loaded they seem, and what prompts they keep.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use slab::Slab;

use crate::gateway::peers::TargetLoad;
use crate::gateway::prompts::PrefixCache;
use crate::units::Micros;

/// A target in the process's arena. `run` tells one use of the place from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetKey {
    place: u32,
    run: u32,
}

/// Names a target alike in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetTag(pub u32);

/// What the platform's list says of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Service that it runs.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub draining: bool,
    /// When it started, in milliseconds since the Unix epoch, if it says so.
    pub started_at: Option<u64>,
}

/// How loaded a target says it is, from an answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes on its host now; 100 is usual.
    pub slowness: u32,
}

/// What this process knows of a target's load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests of this process that are with it.
    pub active: u32,
    /// Prompt tokens of these that it has to read before their first event.
    pub prefill_tokens: u64,
    /// Requests of all callers for each of this process's own, at least 1.
    pub load_ratio: f64,
    /// What other gateways told of theirs; `None` while none is heard.
    pub peer_load: Option<TargetLoad>,
    /// Time to a first event when last measured, against what was expected; 1 is as expected.
    pub slowness: f64,
    /// When that was.
    pub measured_at: Micros,
    /// Failures in a row.
    pub failures: u32,
    /// No work goes there until then.
    pub closed_until: Micros,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its id in the platform's list.
    pub id: Arc<str>,
    /// Stands for its id.
    pub tag: TargetTag,
    /// What the list says of it.
    pub entry: Entry,
    /// How loaded it seems.
    pub load: Load,
    /// Prompt parts that it is believed to keep.
    pub cache: PrefixCache,
}

/// What a change of the list did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target came, or started anew.
    New,
    /// Its entry says something else.
    Changed,
    /// It is leaving, or has gone.
    Left,
    /// Nothing that matters.
    Same,
}

/// All targets of the list.
#[derive(Debug, Default)]
pub struct Targets {
    arena: Slab<(u32, Target)>,
    ids: HashMap<Arc<str>, TargetKey>,
    services: HashMap<Arc<str>, Vec<TargetKey>>,
    runs: u32,
}

impl Targets {
    /// A target that may have gone.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        let (run, target) = self.arena.get(key.place as usize)?;
        (*run == key.run).then_some(target)
    }

    /// As [`Targets::get`], to change it.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        let (run, target) = self.arena.get_mut(key.place as usize)?;
        (*run == key.run).then_some(target)
    }

    /// The targets of a service, the leaving ones included.
    pub fn of_service(&self, service: &str) -> &[TargetKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Every target's id.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.ids.keys()
    }

    /// Every target.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.arena.iter().map(|(_, (_, target))| target)
    }

    /// Every target, to change it.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.arena.iter_mut().map(|(_, (_, target))| target)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Takes in what the list says of a target.
    pub fn put(&mut self, id: &str, entry: Entry) -> Change {
        let Some(&key) = self.ids.get(id) else {
            self.insert(id, entry);
            return Change::New;
        };
        let known = &self.get(key).expect("ids name live targets").entry;
        let anew = known.started_at != entry.started_at
            || known.addr != entry.addr
            || known.service != entry.service;
        if anew {
            self.remove(id);
            self.insert(id, entry);
            return Change::New;
        }
        if *known == entry {
            return Change::Same;
        }
        let left = entry.draining && !known.draining;
        self.get_mut(key).expect("ids name live targets").entry = entry;
        if left { Change::Left } else { Change::Changed }
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &str) -> Change {
        let Some(key) = self.ids.remove(id) else {
            return Change::Same;
        };
        let (_, target) = self.arena.remove(key.place as usize);
        if let Some(keys) = self.services.get_mut(&target.entry.service) {
            keys.retain(|&k| k != key);
        }
        Change::Left
    }

    fn insert(&mut self, id: &str, entry: Entry) {
        self.runs += 1;
        let id: Arc<str> = id.into();
        let service = entry.service.clone();
        let load = Load {
            load_ratio: 1.0,
            slowness: 1.0,
            ..Load::default()
        };
        let target = Target {
            id: id.clone(),
            tag: TargetTag(xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32),
            entry,
            load,
            cache: PrefixCache::default(),
        };
        let place = self.arena.insert((self.runs, target));
        let key = TargetKey {
            place: u32::try_from(place).expect("the list is bounded"),
            run: self.runs,
        };
        self.ids.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }
}

#[cfg(test)]
mod tests;
