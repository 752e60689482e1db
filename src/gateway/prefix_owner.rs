//! The targets that a prompt's shared prefix is assigned to, and how likely the first of them has it
//! cached.
//!
//! Rendezvous hashing assigns each prefix the same targets at all gateways, without messages. The
//! load pattern: many prefixes, each requested once in some seconds by any of the gateways, so that
//! one gateway cannot know what the others have had cached. When targets leave, fail or are
//! evacuated, their prefixes move to others that have not cached them; gateways that took them for
//! cached would all send there, and each such prompt would delay those behind it for as long as its
//! prefix takes to read. So a prefix that was assigned anew counts as cached with a probability that
//! grows with the time since.
//!
//! Performs no I/O.

use smallvec::SmallVec;

use crate::gateway::prompts::mix;
use crate::gateway::targets::{Availability, Departure, TargetKey, TargetTag};
use crate::units::Micros;

/// Number of targets that a prefix is assigned to, in the order of preference.
pub const OWNERS: usize = 2;
/// Time after which half of the prefixes that were assigned anew have been requested and cached.
const HALF_LIFE: Micros = Micros::from_secs(2);

/// Probability that the second owner has cached a prefix because the first one was busy.
const OVERFLOW_CACHED: f64 = 0.25;

/// Cost of caching a prefix at its owners, in the order of preference, as a factor of the cost at any
/// other target. All gateways fall back to the second one when the first is busy.
const COPY_COST: [f64; OWNERS] = [0.0, 0.5];

/// The part of a target in the assignment of a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerShare {
    /// Probability that the prefix is not cached there, unless this gateway knows better.
    pub uncached: f64,
    /// Cost of caching the prefix there, as a factor of the cost at a target that is no owner.
    pub copy_cost: f64,
}

/// A target as seen by the assignment of prefixes.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the target.
    pub key: TargetKey,
    /// Hash of its id.
    pub tag: TargetTag,
    /// Whether the request can be sent there; if not, the prefix moves to another target.
    pub is_usable: bool,
    /// Since when it could be used, or could not.
    pub availability: Availability,
}

/// The assignment of one prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Owners {
    ranked: SmallVec<[(u64, TargetKey); OWNERS]>,
    /// Probability that the first owner has not cached the prefix.
    pub uncached: f64,
    /// Whether the prefix was assigned to the second owner before the first one became usable.
    is_returned: bool,
}

impl Owners {
    /// Assigns the prefix with this hash. `departures` are targets that are no longer listed. The
    /// caches of all targets were empty at `emptied`, `None` if they have been in use for long.
    pub fn assign(
        now: Micros,
        prefix: u64,
        candidates: impl Iterator<Item = Candidate>,
        departures: impl Iterator<Item = Departure>,
        emptied: Option<Micros>,
    ) -> Self {
        let mut owners = Owners::default();
        let mut first = Availability::default();
        let mut lost: SmallVec<[(u64, Micros); 8]> = SmallVec::new();
        for candidate in candidates {
            let weight = weight(prefix, candidate.tag);
            if !candidate.is_usable {
                lost.push((weight, candidate.availability.lost_at().unwrap_or(now)));
            } else if owners.insert(weight, candidate.key) == 0 {
                first = candidate.availability;
            }
        }
        lost.extend(departures.map(|left| (weight(prefix, left.tag), left.at.unwrap_or(now))));
        let Some(&(best, _)) = owners.ranked.first() else {
            return owners;
        };
        let moved = lost.iter().filter(|(weight, _)| *weight > best);
        let moved = moved.map(|&(_, at)| at).max();
        let assigned = moved.max(first.available_since(now)).max(emptied);
        owners.uncached = assigned.map_or(0.0, |at| uncached_after(now.saturating_sub(at)));
        owners.is_returned = assigned.is_some() && assigned == first.available_since(now);
        owners
    }

    /// The owners, each with the probability that it has cached the prefix.
    pub fn holders(&self) -> impl Iterator<Item = (TargetKey, f64)> + '_ {
        let second = match self.is_returned {
            true => self.uncached.max(OVERFLOW_CACHED),
            false => OVERFLOW_CACHED,
        };
        let keys = self.ranked.iter().map(|&(_, key)| key);
        keys.zip([1.0 - self.uncached, second])
    }

    /// The part of a target in the assignment.
    pub fn share(&self, key: TargetKey) -> OwnerShare {
        let rank = self.ranked.iter().position(|&(_, other)| other == key);
        OwnerShare {
            uncached: if rank == Some(0) { self.uncached } else { 1.0 },
            copy_cost: rank.map_or(1.0, |rank| COPY_COST[rank]),
        }
    }

    /// Inserts a target by its weight. Returns its position.
    fn insert(&mut self, weight: u64, key: TargetKey) -> usize {
        let at = self.ranked.partition_point(|&(other, _)| other > weight);
        if at < OWNERS {
            self.ranked.insert(at, (weight, key));
            self.ranked.truncate(OWNERS);
        }
        at
    }
}

/// Probability that a prefix has not been cached this long after it was assigned.
fn uncached_after(age: Micros) -> f64 {
    (-(age.0 as f64) / HALF_LIFE.0 as f64).exp2()
}

/// Rank of a target for a prefix: the usable target with the greatest one is its first owner.
pub fn weight(prefix: u64, tag: TargetTag) -> u64 {
    mix(prefix ^ mix(u64::from(tag.0)))
}

#[cfg(test)]
mod tests;
