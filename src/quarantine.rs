//! Quarantine of requests that crashed their targets, by digest of service, method, path and body.
//!
//! Does no I/O. The digest does not include the client account, because a request crashes a target
//! regardless of who sends it. Entries (router processes) exchange their quarantine events; merging
//! them is commutative and idempotent.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::claim::Digest;
use crate::units::Micros;

/// Number of crashes of a request after which it is refused.
pub const MAX_CRASHES: usize = 2;
/// Time for which a crash counts against its request.
pub const CRASH_TTL: Micros = Micros::from_secs(600);
/// Time for which a trial by one entry blocks trials of the same request by others.
pub const TRIAL_TTL: Micros = Micros::from_secs(30);
/// Maximum number of events kept for one digest and kind.
pub const MAX_EVENTS: usize = 8;
/// Maximum number of digests kept.
pub const MAX_DIGESTS: usize = 4_096;

/// Kind of a quarantine event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventKind {
    /// The request crashed a target.
    Crash,
    /// The request is run once more after its first crash.
    Trial,
}

impl EventKind {
    /// Time for which an event of this kind counts.
    const fn ttl(self) -> Micros {
        match self {
            EventKind::Crash => CRASH_TTL,
            EventKind::Trial => TRIAL_TTL,
        }
    }
}

/// A quarantine event as exchanged between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEvent {
    /// Digest of the request.
    pub digest: Digest,
    /// Random id of the event.
    pub id: u64,
    /// Kind of the event.
    pub kind: EventKind,
    /// Time since the event.
    pub age: Micros,
}

/// Whether a request may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has no crash that still counts.
    Free,
    /// The request crashed one target and may run once as a trial. Call [`Quarantine::end_trial`]
    /// when the trial ends.
    Trial,
    /// The request is refused; the caller may retry it after this time.
    Refused(Micros),
}

#[derive(Clone, Copy, Debug)]
struct StoredEvent {
    id: u64,
    kind: EventKind,
    expires_at: Micros,
}

impl StoredEvent {
    /// Whether to keep the event. It is kept for another [`EventKind::ttl`] after it expires,
    /// because a peer may estimate a later expiry and would otherwise add the event again.
    fn is_retained(&self, now: Micros) -> bool {
        self.expires_at + self.kind.ttl() > now
    }
}

/// Recent quarantine events by request digest.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    events: HashMap<Digest, SmallVec<[StoredEvent; 4]>>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Decides whether a request may be dispatched. `id` is a new random number that identifies a
    /// trial, if one is started.
    pub fn admit(&mut self, now: Micros, digest: Digest, id: u64) -> Admission {
        let Some(stored) = self.events.get(&digest) else {
            return Admission::Free;
        };
        let remaining = |kind: EventKind| {
            let active = stored.iter().filter(move |s| s.kind == kind);
            active
                .map(|s| s.expires_at - now)
                .filter(|r| *r > Micros::ZERO)
        };
        let crashes = remaining(EventKind::Crash).count();
        if crashes >= MAX_CRASHES {
            let first = remaining(EventKind::Crash).min().unwrap_or_default();
            return Admission::Refused(first);
        }
        if crashes == 0 {
            return Admission::Free;
        }
        if let Some(retry_after) = remaining(EventKind::Trial).max() {
            return Admission::Refused(retry_after);
        }
        self.insert(now + TRIAL_TTL, digest, id, EventKind::Trial);
        Admission::Trial
    }

    /// Ends a trial of this entry that caused no crash or was not run.
    pub fn end_trial(&mut self, now: Micros, digest: Digest, id: u64) {
        let stored = self.events.get_mut(&digest).into_iter().flatten();
        for trial in stored.filter(|s| s.id == id) {
            trial.expires_at = trial.expires_at.min(now);
        }
    }

    /// Records that a request crashed a target. `id` is a new random number.
    pub fn record_crash(&mut self, now: Micros, digest: Digest, id: u64) {
        self.insert(now + CRASH_TTL, digest, id, EventKind::Crash);
    }

    /// Returns the remaining time of each crash of a request that still counts.
    pub fn crashes(&self, now: Micros, digest: Digest) -> impl Iterator<Item = Micros> + Clone {
        let stored = self.events.get(&digest).into_iter().flatten();
        let active = stored.filter(move |s| s.kind == EventKind::Crash && s.expires_at > now);
        active.map(move |s| s.expires_at - now)
    }

    /// Expires all events of a request, because a target has answered it.
    pub fn clear(&mut self, now: Micros, digest: Digest) {
        for stored in self.events.get_mut(&digest).into_iter().flatten() {
            stored.expires_at = stored.expires_at.min(now);
        }
    }

    /// Merges an event from another entry.
    pub fn merge(&mut self, now: Micros, event: &QuarantineEvent) {
        let remaining = event.kind.ttl() - event.age;
        if remaining > Micros::ZERO {
            self.insert(now + remaining, event.digest, event.id, event.kind);
        }
    }

    /// Returns the events that still count, to be sent to other entries.
    pub fn events(&self, now: Micros) -> impl Iterator<Item = QuarantineEvent> {
        let all = self.events.iter();
        let pairs = all.flat_map(|(&digest, stored)| stored.iter().map(move |s| (digest, *s)));
        let active = pairs.filter(move |(_, s)| s.expires_at > now);
        active.map(move |(digest, s)| QuarantineEvent {
            digest,
            id: s.id,
            kind: s.kind,
            age: s.kind.ttl() - (s.expires_at - now),
        })
    }

    /// Drops events whose retention has ended. Call every few seconds.
    pub fn expire(&mut self, now: Micros) {
        self.events.retain(|_, stored| {
            stored.retain(|s| s.is_retained(now));
            !stored.is_empty()
        });
    }

    /// Inserts an event. Keeps the earliest expiry reported for each event id, and the events of
    /// each kind that expire first. Both are minima, so the result does not depend on the order of
    /// insertion.
    fn insert(&mut self, expires_at: Micros, digest: Digest, id: u64, kind: EventKind) {
        if self.events.len() >= MAX_DIGESTS && !self.events.contains_key(&digest) {
            self.evict_oldest();
        }
        let stored = self.events.entry(digest).or_default();
        match stored.iter_mut().find(|s| s.id == id) {
            Some(known) => known.expires_at = known.expires_at.min(expires_at),
            None => stored.push(StoredEvent {
                id,
                kind,
                expires_at,
            }),
        }
        stored.sort_by_key(|s| (s.expires_at, s.id));
        let mut room = MAX_EVENTS;
        stored.retain(|s| {
            let keep = s.kind != kind || room > 0;
            room -= usize::from(s.kind == kind && keep);
            keep
        });
    }

    /// Evicts the digest whose last event expires first.
    fn evict_oldest(&mut self) {
        let last = |stored: &SmallVec<[StoredEvent; 4]>| stored.iter().map(|s| s.expires_at).max();
        let oldest = self.events.iter().min_by_key(|(d, s)| (last(s), **d));
        if let Some((&digest, _)) = oldest {
            self.events.remove(&digest);
        }
    }
}

#[cfg(test)]
mod tests;
