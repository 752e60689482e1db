//! An agent's offers of free slots to entries, and its admission of dispatches.
//!
//! An agent is the process beside a target that runs dispatched requests; an entry is a router
//! process that dispatches them. The agent sends each offer to one entry at a time. An entry
//! without waiting requests parks the offer, and the agent then sends it to the next entry as well.
//!
//! Does no I/O: the caller passes in time and events, and sends the returned messages.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::ids::{EntryKey, OfferId};
use crate::units::Micros;
use crate::wire::Backlog;

/// Factor for the age of an entry's last report: the reported level is reduced by the age times
/// this.
const AGE_WEIGHT: u64 = 20;

/// A message for the agent to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Offers a slot to an entry.
    Offer(EntryKey, OfferId),
    /// Withdraws an offer from an entry.
    Withdraw(EntryKey, OfferId),
}

/// Messages to send, in order.
pub type Steps = SmallVec<[Step; 8]>;

/// Whether a dispatch is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The dispatch occupies a slot and is started.
    Accept,
    /// The dispatch was not started, because no slot is free or the agent is draining.
    Decline,
}

#[derive(Debug, Default)]
struct Offer {
    /// The entry that the offer was sent to and that has not answered; `None` if there is no such
    /// entry.
    asked: Option<EntryKey>,
    /// Entries that have parked the offer, sorted.
    parked: SmallVec<[EntryKey; 4]>,
}

impl Offer {
    fn park(&mut self, entry: EntryKey) {
        if let Err(at) = self.parked.binary_search(&entry) {
            self.parked.insert(at, entry);
        }
    }
}

/// An entry's last reported backlog, and when it was reported.
#[derive(Clone, Copy, Debug, Default)]
struct EntryState {
    backlog: Backlog,
    updated: Micros,
}

impl EntryState {
    /// Sort key; a lower one precedes. It orders by the least level that the entry reported,
    /// reduced by the weighted age of the report. Adding the weighted timestamp of the report
    /// instead gives the same order at any time.
    fn rank(&self) -> Micros {
        Micros(self.backlog.least.0 + self.updated.0.saturating_mul(AGE_WEIGHT))
    }
}

/// Slots of an agent, its outstanding offers, and the backlogs of its entries.
#[derive(Debug)]
pub struct SlotOffers {
    slots: u16,
    busy: u16,
    draining: bool,
    next: u64,
    offers: BTreeMap<OfferId, Offer>,
    entries: BTreeMap<EntryKey, EntryState>,
}

impl SlotOffers {
    /// Creates the state of an agent with this many slots and no entries.
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

    /// Handles a new connection to an entry.
    pub fn connected(&mut self, now: Micros, entry: EntryKey) -> Steps {
        self.entries.insert(
            entry,
            EntryState {
                backlog: Backlog::default(),
                updated: now,
            },
        );
        self.make_offers()
    }

    /// Handles the loss of the connection to an entry.
    pub fn disconnected(&mut self, entry: EntryKey) -> Steps {
        self.entries.remove(&entry);
        for offer in self.offers.values_mut() {
            offer.parked.retain(|e| *e != entry);
            if offer.asked == Some(entry) {
                offer.asked = None;
            }
        }
        self.make_offers()
    }

    /// Stores an entry's reported backlog.
    pub fn update_backlog(&mut self, now: Micros, entry: EntryKey, backlog: Backlog) {
        if let Some(state) = self.entries.get_mut(&entry) {
            *state = EntryState {
                backlog,
                updated: now,
            };
        }
    }

    /// Handles an entry's reply that no request waits for the offer and that it has parked it.
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
        self.make_offers()
    }

    /// Admits or declines a request that an entry dispatched for an offer.
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
        steps.extend(self.withdraw_excess());
        steps.extend(self.make_offers());
        (Verdict::Accept, steps)
    }

    /// Changes the number of slots. Requests that already run on removed slots are not stopped.
    pub fn set_slots(&mut self, slots: u16) -> Steps {
        self.slots = slots;
        let mut steps = self.withdraw_excess();
        steps.extend(self.make_offers());
        steps
    }

    /// Frees the slot of a finished request.
    pub fn finished(&mut self) -> Steps {
        self.busy = self.busy.saturating_sub(1);
        self.make_offers()
    }

    /// Starts draining: withdraws all offers, and makes no new ones.
    pub fn drain(&mut self) -> Steps {
        self.draining = true;
        let mut steps = Steps::new();
        for (id, held) in std::mem::take(&mut self.offers) {
            let holders = held.parked.into_iter().chain(held.asked);
            steps.extend(holders.map(|e| Step::Withdraw(e, id)));
        }
        steps
    }

    /// Number of occupied slots.
    pub fn busy(&self) -> u16 {
        self.busy
    }

    /// Number of slots, the limit for concurrent requests.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    fn free(&self) -> usize {
        (self.slots - self.busy.min(self.slots)) as usize
    }

    /// Withdraws offers in excess of the free slots.
    fn withdraw_excess(&mut self) -> Steps {
        let mut steps = Steps::new();
        while self.offers.len() > self.free() {
            let (id, held) = self.offers.pop_last().expect("more offers than free slots");
            let holders = held.parked.into_iter().chain(held.asked);
            steps.extend(holders.map(|e| Step::Withdraw(e, id)));
        }
        steps
    }

    /// Creates an offer for each free slot without one, and sends each offer to one entry at a
    /// time.
    fn make_offers(&mut self) -> Steps {
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
                .min_by_key(|(e, s)| (s.backlog.waiting == 0, s.rank(), s.updated, **e));
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
