//! Which entries of the platform's list of targets are in force at a gateway, merged entry by entry
//! from what it reads and what it copies from other gateways.
//!
//! Load pattern: releases and drains replace targets all the time, while single gateways are cut off
//! from the platform, frozen or restarted, and the platform itself is unavailable now and then. A
//! target that the platform has said to be gone must not come back from an older copy, and targets
//! whose entries lapsed in an outage of the platform must not be dropped.
//!
//! What is known of an entry is a [`Fact`] with the offset of the platform's record that it comes
//! from. The greater offset wins; at the same offset, a removal outweighs the entry that it removes.
//! A view is complete up to an offset: whatever is older and not in it is gone. So facts merge in any
//! order to the same result.
//!
//! After an outage of the platform a missing entry is kept for [`OUTAGE_GRACE`]. An outage that other
//! gateways did not see is none.
//!
//! Performs no I/O.

pub mod availability;

use std::collections::HashMap;

use crate::gateway::list_view::availability::{Availability, Confirmed, Outage};
use crate::units::Micros;

/// How long after an outage a missing entry is kept. Targets write their entries again within two
/// seconds of its end. A longer time would keep a removed target in use for more than the 3,000 ms
/// that a drain may take, as the end of an outage is noticed up to 0.85 s late.
pub const OUTAGE_GRACE: Micros = Micros::from_secs(2);
/// How long a removal is remembered. Longer than a frozen gateway's copy stays in use.
const REMOVAL_TTL: Micros = Micros::from_secs(60);
/// Maximum number of removals that are remembered; the oldest records are forgotten first.
const MAX_REMOVALS: usize = 4_096;

/// What is known of a target's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Offset of the platform's record that it comes from.
    pub offset: u64,
    /// Whether the entry is in force.
    pub state: EntryState,
}

/// Whether an entry is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// It is listed.
    Listed,
    /// It went missing around an outage of the platform, and is kept until this time.
    Missing(Micros),
    /// It was removed; learned at this time.
    Removed(Micros),
}

impl Fact {
    /// Sort key of facts on the same entry: the greater one wins.
    fn rank(&self) -> (u64, u8) {
        let state = match self.state {
            EntryState::Listed => 0,
            EntryState::Missing(_) => 1,
            EntryState::Removed(_) => 2,
        };
        (self.offset, state)
    }
}

/// Where a change of the list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Read from the platform: newer than all that was read before.
    Platform,
    /// Copied from another gateway.
    Copy,
}

/// What to do with a target after a change of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Use the entry.
    Put,
    /// Keep the present entry for now; its state has changed.
    Keep,
    /// Remove the target.
    Remove,
    /// Nothing: the change is older than what is known.
    Ignore,
}

/// The merged view of one gateway.
#[derive(Debug, Default)]
pub struct ListView {
    complete_to: u64,
    facts: HashMap<Box<str>, Fact>,
    availability: Availability,
}

impl ListView {
    /// Offset in the platform's list up to which the view is complete; 0 before it was first read.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Records that the view is complete up to this offset.
    pub fn complete(&mut self, offset: u64) {
        self.complete_to = self.complete_to.max(offset);
    }

    /// What is known of an entry.
    pub fn fact(&self, id: &str) -> Option<Fact> {
        self.facts.get(id).copied()
    }

    /// Whether an entry is kept although it is missing.
    pub fn has_missing(&self) -> bool {
        let mut facts = self.facts.values();
        facts.any(|fact| matches!(fact.state, EntryState::Missing(_)))
    }

    /// All remembered removals with their offsets.
    pub fn removals(&self) -> impl Iterator<Item = (&str, u64)> {
        let facts = self.facts.iter();
        facts.filter_map(|(id, fact)| match fact.state {
            EntryState::Removed(_) => Some((id.as_ref(), fact.offset)),
            _ => None,
        })
    }

    /// The present span of time in which the list was confirmed.
    pub fn confirmed(&self) -> Option<Confirmed> {
        self.availability.confirmed()
    }

    /// Whether entries that go missing now are kept, because of an outage.
    pub fn is_in_grace(&self, now: Micros) -> bool {
        self.grace_end(now).is_some()
    }

    /// Records that the platform confirmed the list at `at`. Has to come before what was read then.
    /// Returns the outage that this ends.
    pub fn confirm(&mut self, at: Micros) -> Option<Outage> {
        let ended = match self.confirmed() {
            // Entries that were never confirmed were copied while the platform was away.
            None if !self.facts.is_empty() => self.availability.confirm_after_outage(at),
            _ => self.availability.confirm(at),
        };
        if let Some(outage) = ended {
            self.limit_missing(|until| until.max(outage.end + OUTAGE_GRACE));
        }
        ended
    }

    /// Merges an entry that is listed.
    pub fn list(&mut self, id: &str, offset: u64, origin: Origin) -> Effect {
        let fact = Fact {
            offset,
            state: EntryState::Listed,
        };
        self.take(id, fact, origin, Effect::Put)
    }

    /// Merges an entry that another gateway keeps for `left` although it is missing. A gateway that
    /// saw no outage itself does not keep it.
    pub fn keep(&mut self, now: Micros, id: &str, offset: u64, left: Micros) -> Effect {
        let is_known = self.facts.contains_key(id);
        if is_known && self.availability.is_current(now) && !self.is_in_grace(now) {
            return self.copy_removal(now, id, offset);
        }
        let fact = Fact {
            offset,
            state: EntryState::Missing(now + left.min(OUTAGE_GRACE)),
        };
        self.take(id, fact, Origin::Copy, Effect::Put)
    }

    /// Merges a removal that the platform has recorded at `offset`. Around an outage the entry is
    /// kept for now.
    pub fn remove(&mut self, now: Micros, id: &str, offset: u64) -> Effect {
        let state = match self.grace_end(now) {
            Some(end) => EntryState::Missing(end),
            None => EntryState::Removed(now),
        };
        self.replace_known(id, Fact { offset, state })
    }

    /// Merges a removal that another gateway has applied.
    pub fn copy_removal(&mut self, now: Micros, id: &str, offset: u64) -> Effect {
        let is_listed = |fact: Fact| fact.state == EntryState::Listed;
        if offset < self.complete_to && self.fact(id).is_some_and(is_listed) {
            // The view already holds this removal, and a newer entry.
            return Effect::Ignore;
        }
        self.drop_now(now, id, offset)
    }

    /// Removes an entry whose record at `offset` cannot be read, whatever happened before.
    pub fn drop_now(&mut self, now: Micros, id: &str, offset: u64) -> Effect {
        let state = EntryState::Removed(now);
        self.replace_known(id, Fact { offset, state })
    }

    /// Merges that a list which is complete up to `offset` does not have this entry.
    pub fn remove_unlisted(&mut self, now: Micros, id: &str, offset: u64) -> Effect {
        let known = self.fact(id).map_or(0, |fact| fact.offset);
        if known >= offset {
            return Effect::Ignore;
        }
        self.remove(now, id, offset.saturating_sub(1))
    }

    /// Applies what other gateways report of their lists, and returns the missing entries that are no
    /// longer kept. Has to follow the merging of what was read or copied last.
    pub fn expire_missing(
        &mut self,
        now: Micros,
        others: impl Iterator<Item = Confirmed>,
    ) -> Vec<Box<str>> {
        let before = self.availability.outage();
        self.availability.compare(now, others);
        if before != self.availability.outage() {
            let outage = self.availability.outage();
            let end = outage.map_or(Micros::ZERO, |outage| outage.end + OUTAGE_GRACE);
            self.limit_missing(|until| until.min(end));
        }
        // An entry that is back is known only from a list that was confirmed since.
        let confirmed = self.confirmed().map_or(Micros::ZERO, |span| span.last);
        let expired = self.facts.iter_mut().filter_map(|(id, fact)| {
            let due = matches!(fact.state, EntryState::Missing(until) if until <= confirmed);
            due.then(|| {
                fact.state = EntryState::Removed(now);
                id.clone()
            })
        });
        let expired = expired.collect();
        self.forget_removals(now);
        expired
    }

    /// End of the time in which a missing entry is kept; `None` outside of it.
    fn grace_end(&self, now: Micros) -> Option<Micros> {
        let end = self.availability.outage()?.end + OUTAGE_GRACE;
        (now < end).then_some(end)
    }

    /// Changes the times until which missing entries are kept.
    fn limit_missing(&mut self, limit: impl Fn(Micros) -> Micros) {
        for fact in self.facts.values_mut() {
            if let EntryState::Missing(until) = &mut fact.state {
                *until = limit(*until);
            }
        }
    }

    /// Takes over a fact if it is newer than what is known.
    fn take(&mut self, id: &str, fact: Fact, origin: Origin, effect: Effect) -> Effect {
        // The view already holds what older records say, so what it lacks is gone.
        let is_old = origin == Origin::Copy && fact.offset < self.complete_to;
        match self.facts.get_mut(id) {
            _ if is_old => Effect::Ignore,
            Some(known) if known.rank() >= fact.rank() => Effect::Ignore,
            Some(known) => {
                *known = fact;
                effect
            }
            None => {
                self.facts.insert(id.into(), fact);
                effect
            }
        }
    }

    /// Replaces what is known of an entry by a newer fact that it is missing or gone.
    fn replace_known(&mut self, id: &str, fact: Fact) -> Effect {
        let Some(known) = self.facts.get_mut(id) else {
            return Effect::Ignore;
        };
        if known.rank() >= fact.rank() {
            return Effect::Ignore;
        }
        if let EntryState::Removed(_) = known.state {
            known.offset = fact.offset;
            return Effect::Ignore;
        }
        *known = fact;
        match fact.state {
            EntryState::Removed(_) => Effect::Remove,
            _ => Effect::Keep,
        }
    }

    fn forget_removals(&mut self, now: Micros) {
        self.facts.retain(|_, fact| match fact.state {
            EntryState::Removed(at) => now.saturating_sub(at) < REMOVAL_TTL,
            _ => true,
        });
        let mut offsets: Vec<u64> = self.removals().map(|(_, offset)| offset).collect();
        let Some(excess) = offsets.len().checked_sub(MAX_REMOVALS + 1) else {
            return;
        };
        let (_, limit, _) = offsets.select_nth_unstable(excess);
        let limit = *limit;
        self.facts
            .retain(|_, fact| fact.offset > limit || !matches!(fact.state, EntryState::Removed(_)));
    }
}

#[cfg(test)]
mod tests;
