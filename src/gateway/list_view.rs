//! Which entries of the platform's list of targets are in force at a gateway, merged entry by entry
//! from what it reads and what it copies from other gateways.
//!
//! Load pattern: releases and drains replace targets all the time, while single gateways are cut off
//! from the platform, frozen or restarted, and the platform itself is unavailable now and then. A
//! target that the platform has said to be gone must not come back from an older copy, and targets
//! whose entries lapsed in an outage of the platform must not be dropped.
//!
//! What is known of an entry is a [`Fact`] with the position of the platform's record that it comes
//! from. The newer position wins; at the same position, a removal outweighs the entry that it removes.
//! A view is complete up to a position: whatever is older and not in it is gone. So facts merge in any
//! order to the same result.
//!
//! When the platform comes back from an older copy, a new era begins, whose records win. Until the
//! targets have written their entries again, its list lacks some and has others in an older state. So
//! entries that it lacks are kept for [`OUTAGE_GRACE`], and until it is read anew, some seconds later, a
//! record that may be from the copy takes nothing back that was known before, see
//! [`ListView::is_unproven`].
//!
//! After an outage of the platform a missing entry is kept for [`OUTAGE_GRACE`]. An outage that other
//! gateways did not see is none.
//!
//! Performs no I/O.

pub mod availability;
mod restore;

use std::collections::HashMap;

use crate::gateway::list_view::availability::{Availability, Confirmed, Outage};
use crate::gateway::list_view::restore::Restore;
use crate::gateway::position::{Era, Position};
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
    /// Position of the platform's record that it comes from.
    pub position: Position,
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
    fn rank(&self) -> ((Era, u64), u8) {
        let state = match self.state {
            EntryState::Listed => 0,
            EntryState::Missing(_) => 1,
            EntryState::Removed(_) => 2,
        };
        (self.position.rank(), state)
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
    complete_to: Position,
    /// The last restore; `None` once the list has been read anew after it.
    restore: Option<Restore>,
    facts: HashMap<Box<str>, Fact>,
    availability: Availability,
}

impl ListView {
    /// Position in the platform's list up to which the view is complete; the default before it was
    /// first read.
    pub fn complete_to(&self) -> Position {
        self.complete_to
    }

    /// Records that the view is complete up to this position.
    pub fn complete(&mut self, position: Position) {
        self.complete_to = self.complete_to.newer(position);
    }

    /// Has to come before what was read or copied in `era` is merged. A later era than the view's
    /// begins now. Records from the offset `proven_from` on were certainly written in `era`. Returns
    /// `false` if `era` is earlier than the view's, so that nothing may be merged.
    pub fn enter_era(&mut self, now: Micros, era: Era, proven_from: u64) -> bool {
        let known = self.complete_to.era;
        if era > known {
            self.complete_to = Position::new(era, 0);
            self.restore = Some(Restore {
                at: now,
                keeps_missing: !self.facts.is_empty(),
                proven_from,
            });
            self.limit_missing(|until| until.max(now + OUTAGE_GRACE));
        } else if let Some(restore) = &mut self.restore
            && era == known
        {
            restore.proven_from = restore.proven_from.min(proven_from);
        }
        era >= known
    }

    /// Offset from which on records of this era count whatever was known before.
    pub fn proven_from(&self) -> u64 {
        self.restore.map_or(0, |restore| restore.proven_from)
    }

    /// Whether the record at `position` may be from the copy that the list was restored from, and all
    /// that is known of the entry from before the restore.
    pub fn is_unproven(&self, id: &str, position: Position) -> bool {
        let era = self.complete_to.era;
        let is_known_before = self.fact(id).is_some_and(|fact| fact.position.era < era);
        is_known_before && position.offset < self.proven_from()
    }

    /// Whether the whole list has to be read anew, since all its records count now.
    pub fn must_read_anew(&self, now: Micros) -> bool {
        self.restore
            .is_some_and(|restore| !restore.is_settling(now))
    }

    /// Records that the whole list was read from the platform and merged.
    pub fn record_whole(&mut self, now: Micros) {
        self.restore = self.restore.filter(|restore| restore.is_settling(now));
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

    /// All remembered removals with their positions.
    pub fn removals(&self) -> impl Iterator<Item = (&str, Position)> {
        let facts = self.facts.iter();
        facts.filter_map(|(id, fact)| match fact.state {
            EntryState::Removed(_) => Some((id.as_ref(), fact.position)),
            _ => None,
        })
    }

    /// The present span of time in which the list was confirmed.
    pub fn confirmed(&self) -> Option<Confirmed> {
        self.availability.confirmed()
    }

    /// Whether the list was confirmed so recently that no outage can have begun since.
    pub fn is_current(&self, now: Micros) -> bool {
        self.availability.is_current(now)
    }

    /// Whether entries that go missing now are kept, because of an outage or a restore.
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
    pub fn list(&mut self, id: &str, position: Position, origin: Origin) -> Effect {
        let fact = Fact {
            position,
            state: EntryState::Listed,
        };
        self.take(id, fact, origin, Effect::Put)
    }

    /// Merges an entry that another gateway keeps for `left` although it is missing. A gateway that
    /// saw no outage itself does not keep it, nor does one that knows of its removal from before a
    /// restore: that an entry is missing proves nothing newer.
    pub fn keep(&mut self, now: Micros, id: &str, position: Position, left: Micros) -> Effect {
        let is_known = self.facts.contains_key(id);
        let era = self.complete_to.era;
        let was_removed =
            |fact: Fact| fact.position.era < era && matches!(fact.state, EntryState::Removed(_));
        if self.fact(id).is_some_and(was_removed) {
            return Effect::Ignore;
        }
        if is_known && self.availability.is_current(now) && !self.is_in_grace(now) {
            return self.copy_removal(now, id, position);
        }
        let fact = Fact {
            position,
            state: EntryState::Missing(now + left.min(OUTAGE_GRACE)),
        };
        self.take(id, fact, Origin::Copy, Effect::Put)
    }

    /// Merges a removal that the platform has recorded at `position`. Around an outage the entry is
    /// kept for now.
    pub fn remove(&mut self, now: Micros, id: &str, position: Position) -> Effect {
        let state = match self.grace_end(now) {
            Some(end) => EntryState::Missing(end),
            None => EntryState::Removed(now),
        };
        self.replace_known(id, Fact { position, state })
    }

    /// Merges a removal that another gateway has applied.
    pub fn copy_removal(&mut self, now: Micros, id: &str, position: Position) -> Effect {
        let is_listed = |fact: Fact| fact.state == EntryState::Listed;
        if self.complete_to.supersedes(position) && self.fact(id).is_some_and(is_listed) {
            // The view already holds this removal, and a newer entry.
            return Effect::Ignore;
        }
        self.drop_now(now, id, position)
    }

    /// Removes an entry whose record at `position` cannot be read, whatever happened before.
    pub fn drop_now(&mut self, now: Micros, id: &str, position: Position) -> Effect {
        let state = EntryState::Removed(now);
        self.replace_known(id, Fact { position, state })
    }

    /// Merges that a list which is complete up to `end` does not have this entry.
    pub fn remove_unlisted(&mut self, now: Micros, id: &str, end: Position) -> Effect {
        let known = self.fact(id).map(|fact| fact.position);
        let known = known.unwrap_or_default();
        if !end.supersedes(known) {
            return Effect::Ignore;
        }
        let is_missing = |fact: Fact| matches!(fact.state, EntryState::Missing(_));
        if self.fact(id).is_some_and(is_missing) {
            // It is kept until its time is up.
            return Effect::Ignore;
        }
        // An empty list has no record to be older than.
        self.remove(now, id, end.previous().unwrap_or(known))
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
            let end = self.grace();
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
        let end = self.grace();
        (now < end).then_some(end)
    }

    /// End of the last time in which missing entries were kept; zero if there was none.
    fn grace(&self) -> Micros {
        let outage = self.availability.outage().map(|outage| outage.end);
        let restore = self.restore.filter(|restore| restore.keeps_missing);
        let restore = restore.map(|restore| restore.at);
        let start = outage.max(restore);
        start.map_or(Micros::ZERO, |start| start + OUTAGE_GRACE)
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
        let era = self.complete_to.era;
        let is_carried = |known: Fact| known.position.era < era;
        // The view already holds what older records say, so what it lacks is gone.
        let is_old = origin == Origin::Copy
            && self.complete_to.supersedes(fact.position)
            && !self.fact(id).is_some_and(is_carried);
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
            known.position = fact.position;
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
        let ranks = self.removals().map(|(_, position)| position.rank());
        let mut ranks: Vec<(Era, u64)> = ranks.collect();
        let Some(excess) = ranks.len().checked_sub(MAX_REMOVALS + 1) else {
            return;
        };
        let (_, limit, _) = ranks.select_nth_unstable(excess);
        let limit = *limit;
        self.facts.retain(|_, fact| {
            fact.position.rank() > limit || !matches!(fact.state, EntryState::Removed(_))
        });
    }
}

#[cfg(test)]
mod tests;
