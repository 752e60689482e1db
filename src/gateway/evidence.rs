//! What was at a target when it crashed, as gateways report it to each other.
//!
//! Load pattern: a crash ends all requests at a target, a hundred at a busy one, and several targets
//! may crash at once. Nearly all of these requests are harmless; only how often each is suspected
//! distinguishes them from the cause, and each gateway sees only a few crashes. So every suspicion has to
//! reach all gateways, however many others there are at the same time: those that have been sent least
//! often are sent first.
//!
//! A subject is whatever may cause crashes, by its hash: a prompt part, or a whole request. Merging
//! suspicions is commutative and idempotent. Performs no I/O.

use std::cmp::Reverse;
use std::collections::HashMap;

use rustc_hash::FxBuildHasher;
use smallvec::SmallVec;

use crate::units::Micros;

/// Number of crashes after which a subject is quarantined.
pub const MAX_CRASHES: usize = 3;
/// Time for which a crash counts against a subject.
pub const CRASH_TTL: Micros = Micros::from_secs(600);
/// Number of messages that carry a suspicion after a change, so that lost messages do no harm.
const SENDS_PER_CHANGE: u32 = 8;
/// One in this many suspicions of a message is kept for those sent for as long as they count.
const STANDING_SHARE: usize = 4;
/// Maximum number of subjects that are tracked.
pub const MAX_SUBJECTS: usize = 4_096;
/// Maximum number of suspicions kept for one subject.
const MAX_SUSPICIONS: usize = 32;

/// Identifies a crash in all processes: a hash of the target and its start time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashTag(pub u32);

/// A subject that is suspected in a crash, as exchanged between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Hash that identifies the subject.
    pub subject: u64,
    /// The crash.
    pub crash: CrashTag,
    /// Time of the crash.
    pub at: Micros,
    /// Time from sending the request to the crash; of several requests, the shortest.
    pub flight: Micros,
    /// Whether the subject has been cleared of this crash.
    pub cleared: bool,
}

impl Suspicion {
    /// Time at which the request was sent.
    pub fn sent(&self) -> Micros {
        self.at.saturating_sub(self.flight)
    }

    /// Whether it counts against its subject.
    pub fn counts(&self, now: Micros) -> bool {
        !self.cleared && now.saturating_sub(self.at) < CRASH_TTL
    }
}

/// The suspicions of one subject.
pub type OfSubject = SmallVec<[Suspicion; 4]>;

/// Whether these suspicions, all of one subject, suffice to quarantine it: there are enough crashes,
/// and a request was sent after the first of them. Targets that fail at the same moment say nothing
/// about what many callers send.
pub fn is_sufficient(of_subject: &[Suspicion]) -> bool {
    let Some(first) = of_subject.iter().map(|suspicion| suspicion.at).min() else {
        return false;
    };
    of_subject.len() >= MAX_CRASHES && of_subject.iter().any(|s| s.sent() > first)
}

/// Time until which [`MAX_CRASHES`] of these suspicions count; there must be as many.
pub fn expiry(of_subject: &[Suspicion]) -> Micros {
    let mut times: SmallVec<[Micros; 8]> = of_subject.iter().map(|s| s.at).collect();
    times.sort_unstable();
    times[times.len() - MAX_CRASHES] + CRASH_TTL
}

/// A suspicion, and how it has been spread.
#[derive(Clone, Copy, Debug)]
struct Stored {
    suspicion: Suspicion,
    /// Number of messages that have carried it since its last change, or since a message showed that
    /// a gateway does not know it.
    send_count: u32,
    /// Whether this gateway has seen the crash, or what clears the subject of it.
    own: bool,
}

impl Stored {
    /// Merges another suspicion of the same subject and crash: the earliest time, the shortest
    /// flight, and whether any gateway has cleared it.
    fn merge(&mut self, other: &Suspicion) {
        let known = &mut self.suspicion;
        known.at = known.at.min(other.at);
        known.flight = known.flight.min(other.flight);
        if known.cleared != other.cleared {
            known.cleared = true;
            self.send_count = 0;
        }
    }
}

/// Which suspicions a message carries.
#[derive(Clone, Copy, Debug)]
pub struct Selection {
    /// Maximum number of suspicions.
    pub count: usize,
    /// Whether to send what other gateways have seen.
    pub relays: bool,
}

/// The suspicions for a message.
#[derive(Clone, Debug, Default)]
pub struct Due {
    /// Those that it carries.
    pub suspicions: Vec<Suspicion>,
    /// Number of those that it has no room for.
    pub left_out: usize,
}

/// The suspicions of this gateway and its peers.
#[derive(Debug, Default)]
pub struct Evidence {
    subjects: HashMap<u64, SmallVec<[Stored; 2]>, FxBuildHasher>,
}

impl Evidence {
    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }

    /// Number of subjects.
    pub fn len(&self) -> usize {
        self.subjects.len()
    }

    /// Whether a subject is suspected in any crash, cleared of it or not.
    pub fn contains(&self, subject: u64) -> bool {
        self.subjects.contains_key(&subject)
    }

    /// The suspicions that count against a subject.
    pub fn of_subject(&self, now: Micros, subject: u64) -> OfSubject {
        let stored = self.subjects.get(&subject).into_iter().flatten();
        let suspicions = stored.map(|stored| stored.suspicion);
        suspicions.filter(|s| s.counts(now)).collect()
    }

    /// For each subject, the suspicions that count against it.
    pub fn by_subject(&self, now: Micros) -> impl Iterator<Item = OfSubject> {
        let keys = self.subjects.keys();
        keys.map(move |&subject| self.of_subject(now, subject))
    }

    /// Adds a suspicion, or merges it with the known one of the same subject and crash. `own` says
    /// that this gateway has seen the crash, or what clears the subject of it; `is_kept` names subjects
    /// that must not be forgotten to make room. Returns how many suspicions of the subject are known.
    pub fn insert(
        &mut self,
        now: Micros,
        new: Suspicion,
        own: bool,
        is_kept: impl Fn(u64) -> bool,
    ) -> usize {
        if now.saturating_sub(new.at) >= CRASH_TTL {
            return 0;
        }
        if self.subjects.len() >= MAX_SUBJECTS && !self.contains(new.subject) {
            self.evict(now, is_kept);
        }
        let stored = self.subjects.entry(new.subject).or_default();
        let known = stored
            .iter()
            .position(|known| known.suspicion.crash == new.crash);
        match known {
            Some(index) => {
                stored[index].merge(&new);
                stored[index].own |= own;
            }
            None if stored.len() < MAX_SUSPICIONS => stored.push(Stored {
                suspicion: new,
                send_count: 0,
                own,
            }),
            None => {}
        }
        stored.len()
    }

    /// Clears a subject of the crashes before `until`. Returns how many suspicions of it are known.
    pub fn clear(&mut self, subject: u64, until: Micros) -> usize {
        let Some(stored) = self.subjects.get_mut(&subject) else {
            return 0;
        };
        for stored in stored.iter_mut() {
            if stored.suspicion.at < until && !stored.suspicion.cleared {
                stored.suspicion.cleared = true;
                stored.send_count = 0;
                stored.own = true;
            }
        }
        stored.len()
    }

    /// Whether a suspicion of this subject in this crash is known.
    pub fn knows(&self, subject: u64, crash: CrashTag) -> bool {
        let stored = self.subjects.get(&subject).into_iter().flatten();
        stored
            .into_iter()
            .any(|stored| stored.suspicion.crash == crash)
    }

    /// Returns the suspicions to send in a message: those that have changed of late, and those that
    /// count for as long as `is_standing` holds for their subject and the number of crashes that
    /// count against it. If there are too many, the ones that have been sent least often come first,
    /// so that each is sent soon.
    pub fn to_send(
        &mut self,
        now: Micros,
        selection: Selection,
        is_standing: impl Fn(u64, usize) -> bool,
    ) -> Due {
        self.expire(now);
        let all = self.subjects.values_mut();
        let all = all.flat_map(|of_subject| {
            let counted = of_subject
                .iter()
                .filter(|s| s.suspicion.counts(now))
                .count();
            of_subject.iter_mut().map(move |stored| (counted, stored))
        });
        let (mut fresh, mut standing) = (Vec::new(), Vec::new());
        for (counted, stored) in all {
            if stored.send_count < SENDS_PER_CHANGE && (stored.own || selection.relays) {
                fresh.push((counted, stored));
            } else if stored.suspicion.counts(now) && is_standing(stored.suspicion.subject, counted)
            {
                standing.push((counted, stored));
            }
        }
        let reserved = standing.len().min(selection.count / STANDING_SHARE);
        let due = fresh.len() + standing.len();
        let mut suspicions = take_due(&mut fresh, selection.count - reserved);
        suspicions.extend(take_due(&mut standing, selection.count - suspicions.len()));
        let left_out = due - suspicions.len();
        Due {
            suspicions,
            left_out,
        }
    }

    /// Drops the subjects of which all crashes were long ago.
    fn expire(&mut self, now: Micros) {
        let is_recent = |stored: &Stored| now.saturating_sub(stored.suspicion.at) < CRASH_TTL;
        self.subjects
            .retain(|_, stored| stored.iter().any(is_recent));
    }

    /// Makes room: drops the subjects against which nothing counts, or else one of those suspected
    /// in the fewest crashes, the longest ago.
    fn evict(&mut self, now: Micros, is_kept: impl Fn(u64) -> bool) {
        let counts = |stored: &Stored| stored.suspicion.counts(now);
        self.subjects.retain(|_, stored| stored.iter().any(counts));
        if self.subjects.len() < MAX_SUBJECTS {
            return;
        }
        let weight = |stored: &[Stored]| {
            let last = stored.iter().map(|s| s.suspicion.at).max();
            (stored.iter().filter(|s| counts(s)).count(), last)
        };
        let others = self
            .subjects
            .iter()
            .filter(|(subject, _)| !is_kept(**subject));
        let least = others.min_by_key(|(subject, stored)| (weight(stored), **subject));
        if let Some((&subject, _)) = least {
            self.subjects.remove(&subject);
        }
    }
}

/// Takes up to `count` suspicions, those sent least often first; of these, the ones of subjects that
/// most crashes count against.
fn take_due(due: &mut Vec<(usize, &mut Stored)>, count: usize) -> Vec<Suspicion> {
    if due.len() > count {
        due.sort_by_key(|(counted, stored)| {
            let Suspicion { subject, crash, .. } = stored.suspicion;
            (stored.send_count, Reverse(*counted), subject, crash)
        });
        due.truncate(count);
    }
    let taken = due.iter_mut().map(|(_, stored)| {
        stored.send_count = stored.send_count.saturating_add(1);
        stored.suspicion
    });
    taken.collect()
}

#[cfg(test)]
mod tests;
