//! An agent's table of dispatch ids, which prevents a dispatch from running twice.
//!
//! Does no I/O. A dispatch is started at most once, and one that an entry (router process) queries
//! before it has started is blocked permanently. Memory is bounded: each process instance of an
//! entry has a floor, a sequence number. Of the dispatches below it, the table keeps only the
//! records of running ones; it starts none of them, and reports those without a record as
//! [`DispatchState::Forgotten`]. A dispatch whose record was dropped is never reported as
//! [`DispatchState::NeverSeen`].

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::ids::{BootId, DispatchId};
use crate::wire::DispatchState;

/// Maximum number of entry instances with records.
pub const MAX_BOOTS: usize = 512;
/// Maximum number of records of one entry instance, not counting running dispatches.
pub const MAX_RECORDS: usize = 512;
/// Maximum number of evicted entry instances whose floor is kept.
pub const MAX_EVICTED: usize = 4_096;

/// State of the record of one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordState {
    Running,
    Done,
    Blocked,
    Forgotten,
}

/// Dispatches from one process instance of an entry.
#[derive(Clone, Debug, Default)]
struct InstanceRecords {
    /// Dispatches with lower sequence numbers are not started.
    floor: u64,
    records: BTreeMap<u64, RecordState>,
    running: usize,
    /// Number of the table's last call that used this instance, by which the least recently used
    /// one is found.
    last_used: u64,
}

impl InstanceRecords {
    fn starting_at(floor: u64) -> Self {
        InstanceRecords {
            floor,
            ..InstanceRecords::default()
        }
    }

    fn begin(&mut self, seq: u64) -> bool {
        if seq < self.floor || self.records.contains_key(&seq) {
            return false;
        }
        self.records.insert(seq, RecordState::Running);
        self.running += 1;
        true
    }

    fn query(&mut self, seq: u64) -> DispatchState {
        if seq < self.floor && !self.records.contains_key(&seq) {
            return DispatchState::Forgotten;
        }
        let state = match self.records.entry(seq).or_insert(RecordState::Blocked) {
            RecordState::Running => DispatchState::Running,
            RecordState::Done => DispatchState::Done,
            RecordState::Blocked => DispatchState::NeverSeen,
            RecordState::Forgotten => DispatchState::Forgotten,
        };
        self.evict_excess();
        state
    }

    fn set(&mut self, seq: u64, state: RecordState) {
        let Some(current) = self.records.get_mut(&seq) else {
            return;
        };
        match *current {
            RecordState::Running => self.running -= 1,
            RecordState::Done => {}
            RecordState::Blocked | RecordState::Forgotten => return,
        }
        *current = state;
        if seq < self.floor {
            self.records.remove(&seq);
        }
        self.evict_excess();
    }

    fn raise_floor(&mut self, floor: u64) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        self.records
            .retain(|&seq, state| seq >= floor || *state == RecordState::Running);
    }

    /// Raises the floor past the oldest finished records until at most [`MAX_RECORDS`] are left.
    fn evict_excess(&mut self) {
        while self.records.len() - self.running > MAX_RECORDS {
            let oldest = self
                .records
                .iter()
                .find(|(_, s)| **s != RecordState::Running);
            let (&seq, _) = oldest.expect("more records than running ones");
            self.raise_floor(seq + 1);
        }
    }

    /// Returns the lowest floor that is above every dispatch of this instance so far.
    fn next_floor(&self) -> u64 {
        let last = self.records.last_key_value().map_or(0, |(seq, _)| seq + 1);
        last.max(self.floor)
    }
}

/// Table of dispatches by the entry instance that sent them.
#[derive(Clone, Debug, Default)]
pub struct DispatchTable {
    boots: HashMap<BootId, InstanceRecords>,
    evicted: HashMap<BootId, u64>,
    evicted_order: VecDeque<BootId>,
    /// Whether the floor of an evicted instance was dropped as well.
    floors_dropped: bool,
    calls: u64,
}

impl DispatchTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of a dispatch. Returns `false` if it must not run: the agent then replies
    /// with the state from [`DispatchTable::query`], and may decline only if that is `NeverSeen`.
    #[must_use]
    pub fn begin(&mut self, id: DispatchId) -> bool {
        // The instance may have been evicted and its floor dropped. Its dispatches with lower
        // sequence numbers are older and may have run, so the floor starts at this one.
        let first = if self.floors_dropped { id.seq } else { 0 };
        match self.instance(id.boot, first) {
            Some(instance) => instance.begin(id.seq),
            None => false,
        }
    }

    /// Records that the response of a dispatch is complete.
    pub fn mark_done(&mut self, id: DispatchId) {
        self.set(id, RecordState::Done);
    }

    /// Records that the agent no longer holds the response of a dispatch.
    pub fn mark_forgotten(&mut self, id: DispatchId) {
        self.set(id, RecordState::Forgotten);
    }

    /// Returns the state of a dispatch. One that was never seen is blocked, so that it cannot start
    /// later.
    pub fn query(&mut self, id: DispatchId) -> DispatchState {
        let first = if self.floors_dropped { id.seq + 1 } else { 0 };
        match self.instance(id.boot, first) {
            Some(instance) => instance.query(id.seq),
            None => DispatchState::Forgotten,
        }
    }

    /// Drops the records below `floor`, which the entry no longer needs. It sends no dispatch below
    /// the floor again.
    pub fn raise_floor(&mut self, boot: BootId, floor: u64) {
        if let Some(instance) = self.boots.get_mut(&boot) {
            instance.raise_floor(floor);
        }
    }

    /// Number of entry instances with records.
    pub fn boots(&self) -> usize {
        self.boots.len()
    }

    /// Number of dispatch records of all entry instances.
    pub fn records(&self) -> usize {
        self.boots.values().map(|r| r.records.len()).sum()
    }

    fn set(&mut self, id: DispatchId, state: RecordState) {
        if let Some(instance) = self.boots.get_mut(&id.boot) {
            instance.set(id.seq, state);
        }
    }

    /// Returns the records of an entry instance. If it has none, they start at the floor kept from
    /// its eviction, or at `first`. Returns `None` if the table is full and every instance has
    /// running dispatches.
    fn instance(&mut self, boot: BootId, first: u64) -> Option<&mut InstanceRecords> {
        self.calls += 1;
        if !self.boots.contains_key(&boot) {
            self.make_room()?;
            let floor = self.evicted.get(&boot).copied().unwrap_or(first);
            self.boots.insert(boot, InstanceRecords::starting_at(floor));
        }
        let instance = self.boots.get_mut(&boot)?;
        instance.last_used = self.calls;
        Some(instance)
    }

    /// If the table is full, evicts the least recently used instance without running dispatches.
    fn make_room(&mut self) -> Option<()> {
        if self.boots.len() < MAX_BOOTS {
            return Some(());
        }
        let idle = self.boots.iter().filter(|(_, r)| r.running == 0);
        let (&boot, _) = idle.min_by_key(|(_, r)| r.last_used)?;
        let instance = self
            .boots
            .remove(&boot)
            .expect("the instance was just found");
        if self.evicted.insert(boot, instance.next_floor()).is_none() {
            self.evicted_order.push_back(boot);
        }
        if self.evicted_order.len() > MAX_EVICTED {
            let oldest = self
                .evicted_order
                .pop_front()
                .expect("the order is not empty");
            self.evicted.remove(&oldest);
            self.floors_dropped = true;
        }
        Some(())
    }
}

#[cfg(test)]
mod tests;
