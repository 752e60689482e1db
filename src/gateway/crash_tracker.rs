//! Requests that crash the targets that run them.
//!
//! Answers a request that comes again and again and takes a target down each time. A connection
//! that breaks off is no crash by itself: targets reset connections for other reasons too. It
//! counts as one when the target cannot be reached soon after. Requests that were only beside the
//! culprit are cleared by their next answer.
//!
//! Pure.

use std::collections::VecDeque;

use crate::claim::Digest;
use crate::gateway::targets::TargetKey;
use crate::quarantine::{Quarantine, QuarantineEvent};
use crate::units::Micros;

/// Crashes after which a request is refused.
pub const MAX_CRASHES: usize = 3;
/// A target that cannot be reached within this time after a connection broke off has crashed.
const CRASH_SPAN: Micros = Micros::from_secs(2);
/// Most broken connections that are remembered.
const MAX_BROKEN: usize = 512;

/// A request whose connection broke off.
#[derive(Clone, Copy, Debug)]
struct Broken {
    at: Micros,
    target: TargetKey,
    digest: Digest,
}

/// The requests that seem to crash targets.
#[derive(Debug, Default)]
pub struct CrashTracker {
    broken: VecDeque<Broken>,
    crashes: Quarantine,
}

impl CrashTracker {
    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// A request's connection to a target broke off after the request was sent.
    pub fn record_broken(&mut self, now: Micros, target: TargetKey, digest: Digest) {
        self.expire(now);
        if self.broken.len() == MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken {
            at: now,
            target,
            digest,
        });
    }

    /// A target cannot be reached: what broke off there just now has met a crash. `id` gives a new
    /// random number for each.
    pub fn record_unreachable(
        &mut self,
        now: Micros,
        target: TargetKey,
        mut id: impl FnMut() -> u64,
    ) {
        self.expire(now);
        let mut met: Vec<Digest> = Vec::new();
        self.broken.retain(|broken| {
            let here = broken.target == target;
            if here && !met.contains(&broken.digest) {
                met.push(broken.digest);
            }
            !here
        });
        for digest in met {
            self.crashes.record_crash(now, digest, id());
        }
    }

    /// A request was answered: it need not crash its target.
    pub fn clear(&mut self, now: Micros, digest: Digest) {
        self.crashes.clear(now, digest);
    }

    /// When a request that has crashed too many targets may come back; `None`: it may be sent.
    pub fn quarantined_until(&self, now: Micros, digest: Digest) -> Option<Micros> {
        let crashes = self.crashes.crashes(now, digest);
        if crashes.clone().count() < MAX_CRASHES {
            return None;
        }
        crashes.min()
    }

    /// Takes in what another gateway saw.
    pub fn merge(&mut self, now: Micros, sightings: &[QuarantineEvent]) {
        for sighting in sightings {
            self.crashes.merge(now, sighting);
        }
    }

    /// The crashes that count, for other gateways; the latest first.
    pub fn events(&mut self, now: Micros) -> Vec<QuarantineEvent> {
        self.crashes.expire(now);
        let mut all: Vec<QuarantineEvent> = self.crashes.events(now).collect();
        all.sort_by_key(|sighting| sighting.age);
        all
    }

    fn expire(&mut self, now: Micros) {
        let old = |broken: &Broken| now.saturating_sub(broken.at) > CRASH_SPAN;
        while self.broken.front().is_some_and(old) {
            self.broken.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
