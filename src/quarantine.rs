//! Requests that crashed their targets, by digest of service, method, path and body.
//!
//! Pure. The digest leaves the client account out: the same request crashes a target whoever
//! sends it. Records travel between entries; taking them in is commutative and idempotent.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::claim::Digest;
use crate::units::Micros;

/// Crashes after which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// How long a crash counts.
pub const CRASH_TTL: Micros = Micros::from_secs(600);
/// How long an entry's trial of a request keeps other entries from trying it.
pub const TRIAL_TTL: Micros = Micros::from_secs(30);
/// Most sightings of one digest and kind that are remembered.
pub const MAX_EVENTS: usize = 8;
/// Most digests that are remembered.
pub const MAX_DIGESTS: usize = 4_096;

/// What was seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventKind {
    /// It crashed a target.
    Crash,
    /// It is being tried after its first crash.
    Trial,
}

impl EventKind {
    /// How long a sighting counts.
    const fn hold(self) -> Micros {
        match self {
            EventKind::Crash => CRASH_TTL,
            EventKind::Trial => TRIAL_TTL,
        }
    }
}

/// One sighting, as it travels between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEvent {
    /// The request.
    pub digest: Digest,
    /// Tells sightings apart; random.
    pub id: u64,
    /// What was seen.
    pub kind: EventKind,
    /// How long ago.
    pub age: Micros,
}

/// Whether a request may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has crashed nothing.
    Free,
    /// It crashed one target: this is the one further try. Call [`Quarantine::end_trial`] after.
    Trial,
    /// It is refused; to come back after this long.
    Refused(Micros),
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    id: u64,
    kind: EventKind,
    until: Micros,
}

impl Seen {
    /// Kept beyond its end, so that a peer's later estimate cannot bring it back.
    fn kept(&self, now: Micros) -> bool {
        self.until + self.kind.hold() > now
    }
}

/// The requests that crashed targets of late.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    seen: HashMap<Digest, SmallVec<[Seen; 4]>>,
}

impl Quarantine {
    /// Nothing has crashed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Whether the request may be dispatched. `id` is a new random number for its trial.
    pub fn admit(&mut self, now: Micros, digest: Digest, id: u64) -> Admission {
        let Some(seen) = self.seen.get(&digest) else {
            return Admission::Free;
        };
        let left = |kind: EventKind| {
            let live = seen.iter().filter(move |s| s.kind == kind);
            live.map(|s| s.until - now).filter(|l| *l > Micros::ZERO)
        };
        let crashes = left(EventKind::Crash).count();
        if crashes >= MAX_CRASHES {
            let first = left(EventKind::Crash).min().unwrap_or_default();
            return Admission::Refused(first);
        }
        if crashes == 0 {
            return Admission::Free;
        }
        if let Some(wait) = left(EventKind::Trial).max() {
            return Admission::Refused(wait);
        }
        self.note(now + TRIAL_TTL, digest, id, EventKind::Trial);
        Admission::Trial
    }

    /// A trial of this entry ended without a crash, or was not run.
    pub fn end_trial(&mut self, now: Micros, digest: Digest, id: u64) {
        let seen = self.seen.get_mut(&digest).into_iter().flatten();
        for trial in seen.filter(|s| s.id == id) {
            trial.until = trial.until.min(now);
        }
    }

    /// The request crashed a target. `id` is a new random number.
    pub fn record_crash(&mut self, now: Micros, digest: Digest, id: u64) {
        self.note(now + CRASH_TTL, digest, id, EventKind::Crash);
    }

    /// How long each crash of a request still counts.
    pub fn crashes(&self, now: Micros, digest: Digest) -> impl Iterator<Item = Micros> + Clone {
        let seen = self.seen.get(&digest).into_iter().flatten();
        let live = seen.filter(move |s| s.kind == EventKind::Crash && s.until > now);
        live.map(move |s| s.until - now)
    }

    /// The request was answered: nothing that was seen of it counts any more.
    pub fn clear(&mut self, now: Micros, digest: Digest) {
        for seen in self.seen.get_mut(&digest).into_iter().flatten() {
            seen.until = seen.until.min(now);
        }
    }

    /// Takes a peer's sighting in.
    pub fn merge(&mut self, now: Micros, sighting: &QuarantineEvent) {
        let left = sighting.kind.hold() - sighting.age;
        if left > Micros::ZERO {
            self.note(now + left, sighting.digest, sighting.id, sighting.kind);
        }
    }

    /// The sightings that still count, for peers.
    pub fn events(&self, now: Micros) -> impl Iterator<Item = QuarantineEvent> {
        let all = self.seen.iter();
        let pairs = all.flat_map(|(&digest, seen)| seen.iter().map(move |s| (digest, *s)));
        let live = pairs.filter(move |(_, s)| s.until > now);
        live.map(move |(digest, s)| QuarantineEvent {
            digest,
            id: s.id,
            kind: s.kind,
            age: s.kind.hold() - (s.until - now),
        })
    }

    /// Lets go of what no longer counts. Call every few seconds.
    pub fn expire(&mut self, now: Micros) {
        self.seen.retain(|_, seen| {
            seen.retain(|s| s.kept(now));
            !seen.is_empty()
        });
    }

    /// Keeps the earliest end of a sighting, and of each kind those that end first: both are
    /// minima, so the order in which sightings come does not matter.
    fn note(&mut self, until: Micros, digest: Digest, id: u64, kind: EventKind) {
        if self.seen.len() >= MAX_DIGESTS && !self.seen.contains_key(&digest) {
            self.make_room();
        }
        let seen = self.seen.entry(digest).or_default();
        match seen.iter_mut().find(|s| s.id == id) {
            Some(held) => held.until = held.until.min(until),
            None => seen.push(Seen { id, kind, until }),
        }
        seen.sort_by_key(|s| (s.until, s.id));
        let mut room = MAX_EVENTS;
        seen.retain(|s| {
            let keep = s.kind != kind || room > 0;
            room -= usize::from(s.kind == kind && keep);
            keep
        });
    }

    /// Drops the digest whose last sighting ends first.
    fn make_room(&mut self) {
        let last = |seen: &SmallVec<[Seen; 4]>| seen.iter().map(|s| s.until).max();
        let oldest = self.seen.iter().min_by_key(|(d, s)| (last(s), **d));
        if let Some((&digest, _)) = oldest {
            self.seen.remove(&digest);
        }
    }
}

#[cfg(test)]
mod tests;
