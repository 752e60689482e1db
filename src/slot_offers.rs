//! An agent's decisions: to which entry each free slot is offered, and which dispatch is taken.
//!
//! Pure: the caller passes the time and events, and sends what is returned.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::ids::{EntryKey, OfferId};
use crate::units::Micros;
use crate::wire::Backlog;

/// Slot time by which an entry's least level counts as lower for each unit of time without news.
const AGE_WEIGHT: u64 = 20;

/// A message that the agent must send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Offer a slot to an entry.
    Offer(EntryKey, OfferId),
    /// Withdraw an offer from an entry.
    Withdraw(EntryKey, OfferId),
}

/// Messages to send, in order.
pub type Steps = SmallVec<[Step; 8]>;

/// Whether a dispatch is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It takes a slot.
    Accept,
    /// No slot is free; it was not begun.
    Decline,
}

#[derive(Debug, Default)]
struct Offer {
    /// The entry that has been asked and has not answered.
    asked: Option<EntryKey>,
    /// Entries that hold it parked, in order.
    parked: SmallVec<[EntryKey; 4]>,
}

impl Offer {
    fn park(&mut self, entry: EntryKey) {
        if let Err(at) = self.parked.binary_search(&entry) {
            self.parked.insert(at, entry);
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct View {
    backlog: Backlog,
    heard: Micros,
}

impl View {
    /// The lesser the sooner: the least level, less what news may have lowered it by since.
    fn rank(&self) -> Micros {
        Micros(self.backlog.least.0 + self.heard.0.saturating_mul(AGE_WEIGHT))
    }
}

/// Free slots, the offers that stand for them, and what is known of the entries.
#[derive(Debug)]
pub struct SlotOffers {
    slots: u16,
    busy: u16,
    draining: bool,
    next: u64,
    offers: BTreeMap<OfferId, Offer>,
    entries: BTreeMap<EntryKey, View>,
}

impl SlotOffers {
    /// An agent with this many slots and no entries yet.
    pub fn new(slots: u16) -> Self {
        SlotOffers {
            slots,
            busy: 0,
            draining: false,
            next: 1,
            offers: BTreeMap::new(),
            entries: BTreeMap::new(),
        }
    }

    /// An entry can be reached.
    pub fn connected(&mut self, now: Micros, entry: EntryKey) -> Steps {
        self.entries.insert(
            entry,
            View {
                backlog: Backlog::default(),
                heard: now,
            },
        );
        self.steps()
    }

    /// An entry can no longer be reached.
    pub fn disconnected(&mut self, entry: EntryKey) -> Steps {
        self.entries.remove(&entry);
        for offer in self.offers.values_mut() {
            offer.parked.retain(|e| *e != entry);
            if offer.asked == Some(entry) {
                offer.asked = None;
            }
        }
        self.steps()
    }

    /// An entry says what waits at it.
    pub fn update_backlog(&mut self, now: Micros, entry: EntryKey, backlog: Backlog) {
        if let Some(view) = self.entries.get_mut(&entry) {
            *view = View {
                backlog,
                heard: now,
            };
        }
    }

    /// An entry has no work for the offer and keeps it.
    pub fn parked(
        &mut self,
        now: Micros,
        entry: EntryKey,
        offer: OfferId,
        backlog: Backlog,
    ) -> Steps {
        self.update_backlog(now, entry, backlog);
        if let Some(held) = self.offers.get_mut(&offer)
            && held.asked == Some(entry)
        {
            held.asked = None;
            held.park(entry);
        }
        self.steps()
    }

    /// An entry sends a request for an offer.
    pub fn dispatched(
        &mut self,
        now: Micros,
        entry: EntryKey,
        offer: OfferId,
        backlog: Backlog,
    ) -> (Verdict, Steps) {
        self.update_backlog(now, entry, backlog);
        let mut steps = Steps::new();
        if let Some(held) = self.offers.remove(&offer) {
            let others = held
                .parked
                .into_iter()
                .chain(held.asked)
                .filter(|e| *e != entry);
            steps.extend(others.map(|e| Step::Withdraw(e, offer)));
        } else if self.busy >= self.slots || self.draining {
            return (Verdict::Decline, steps);
        }
        self.busy += 1;
        steps.extend(self.trim());
        steps.extend(self.steps());
        (Verdict::Accept, steps)
    }

    /// Changes the number of slots. Those that run a request beyond it do so to its end.
    pub fn set_slots(&mut self, slots: u16) -> Steps {
        self.slots = slots;
        let mut steps = self.trim();
        steps.extend(self.steps());
        steps
    }

    /// A slot is free again.
    pub fn finished(&mut self) -> Steps {
        self.busy = self.busy.saturating_sub(1);
        self.steps()
    }

    /// No new work is taken from now on: every offer is withdrawn.
    pub fn drain(&mut self) -> Steps {
        self.draining = true;
        let mut steps = Steps::new();
        for (id, held) in std::mem::take(&mut self.offers) {
            let holders = held.parked.into_iter().chain(held.asked);
            steps.extend(holders.map(|e| Step::Withdraw(e, id)));
        }
        steps
    }

    /// Slots that run a request.
    pub fn busy(&self) -> u16 {
        self.busy
    }

    /// Requests that may run at a time.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    fn free(&self) -> usize {
        (self.slots - self.busy.min(self.slots)) as usize
    }

    /// Withdraws the offers that no slot is free for.
    fn trim(&mut self) -> Steps {
        let mut steps = Steps::new();
        while self.offers.len() > self.free() {
            let (id, held) = self.offers.pop_last().expect("more offers than free slots");
            let holders = held.parked.into_iter().chain(held.asked);
            steps.extend(holders.map(|e| Step::Withdraw(e, id)));
        }
        steps
    }

    /// Makes the offers that are missing and asks one entry at a time for each.
    fn steps(&mut self) -> Steps {
        let mut steps = Steps::new();
        if self.draining {
            return steps;
        }
        while self.offers.len() < self.free() {
            self.offers.insert(OfferId(self.next), Offer::default());
            self.next += 1;
        }
        for (&id, held) in &mut self.offers {
            if held.asked.is_some() || held.parked.len() >= self.entries.len() {
                continue;
            }
            let best = self
                .entries
                .iter()
                .filter(|(e, _)| held.parked.binary_search(e).is_err())
                .min_by_key(|(e, v)| (v.backlog.waiting == 0, v.rank(), v.heard, **e));
            if let Some((&entry, _)) = best {
                held.asked = Some(entry);
                steps.push(Step::Offer(entry, id));
            }
        }
        steps
    }
}

#[cfg(test)]
mod tests;
