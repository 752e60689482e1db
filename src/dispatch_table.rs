//! An agent's record of dispatches: what was begun, what is barred.
//!
//! Pure. A dispatch id is begun at most once; one that was asked about before it was begun is
//! barred for good. Memory is bounded: below an entry run's floor nothing is recorded except what
//! still runs, nothing is begun, and the answer is [`DispatchState::Forgotten`]. What has been dropped is
//! never reported as [`DispatchState::NeverSeen`].

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::ids::{BootId, DispatchId};
use crate::wire::DispatchState;

/// Most entry runs with records of their own.
pub const MAX_BOOTS: usize = 512;
/// Most records of one entry run, not counting those that run.
pub const MAX_RECORDS: usize = 512;
/// Most dropped entry runs whose floor is remembered.
pub const MAX_DROPPED: usize = 4_096;

/// State of one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Done,
    Barred,
    Forgotten,
}

/// Dispatches of one run of an entry.
#[derive(Clone, Debug, Default)]
struct Run {
    /// Nothing below is begun any more.
    floor: u64,
    seen: BTreeMap<u64, State>,
    running: usize,
    /// When it was last used, in calls to the ledger.
    used: u64,
}

impl Run {
    fn starting_at(floor: u64) -> Self {
        Run {
            floor,
            ..Run::default()
        }
    }

    fn begin(&mut self, seq: u64) -> bool {
        if seq < self.floor || self.seen.contains_key(&seq) {
            return false;
        }
        self.seen.insert(seq, State::Running);
        self.running += 1;
        true
    }

    fn query(&mut self, seq: u64) -> DispatchState {
        if seq < self.floor && !self.seen.contains_key(&seq) {
            return DispatchState::Forgotten;
        }
        let known = match self.seen.entry(seq).or_insert(State::Barred) {
            State::Running => DispatchState::Running,
            State::Done => DispatchState::Done,
            State::Barred => DispatchState::NeverSeen,
            State::Forgotten => DispatchState::Forgotten,
        };
        self.shed();
        known
    }

    fn set(&mut self, seq: u64, state: State) {
        let Some(held) = self.seen.get_mut(&seq) else {
            return;
        };
        match *held {
            State::Running => self.running -= 1,
            State::Done => {}
            State::Barred | State::Forgotten => return,
        }
        *held = state;
        if seq < self.floor {
            self.seen.remove(&seq);
        }
        self.shed();
    }

    fn raise_floor(&mut self, floor: u64) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        self.seen
            .retain(|&seq, state| seq >= floor || *state == State::Running);
    }

    /// Raises the floor past the oldest records until the rest fit.
    fn shed(&mut self) {
        while self.seen.len() - self.running > MAX_RECORDS {
            let oldest = self.seen.iter().find(|(_, s)| **s != State::Running);
            let (&seq, _) = oldest.expect("more records than running ones");
            self.raise_floor(seq + 1);
        }
    }

    /// The floor that covers every dispatch of this run so far.
    fn ceiling(&self) -> u64 {
        let last = self.seen.last_key_value().map_or(0, |(seq, _)| seq + 1);
        last.max(self.floor)
    }
}

/// Dispatches by the run of the entry that sent them.
#[derive(Clone, Debug, Default)]
pub struct DispatchTable {
    boots: HashMap<BootId, Run>,
    dropped: HashMap<BootId, u64>,
    order: VecDeque<BootId>,
    /// Whether a dropped run's floor was forgotten as well.
    lossy: bool,
    calls: u64,
}

impl DispatchTable {
    /// A ledger that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a dispatch begins. `false`: it must not run, and the entry is to be sent what
    /// [`DispatchTable::query`] says of it; only `NeverSeen` may go out as a decline.
    #[must_use]
    pub fn begin(&mut self, id: DispatchId) -> bool {
        // The first dispatch seen of a run that may have been dropped: lower ones are older.
        let first = if self.lossy { id.seq } else { 0 };
        match self.run(id.boot, first) {
            Some(run) => run.begin(id.seq),
            None => false,
        }
    }

    /// Records that a dispatch's answer is complete.
    pub fn mark_done(&mut self, id: DispatchId) {
        self.set(id, State::Done);
    }

    /// Records that the answer is no longer held.
    pub fn mark_forgotten(&mut self, id: DispatchId) {
        self.set(id, State::Forgotten);
    }

    /// Says what is known of a dispatch; one never seen is barred first.
    pub fn query(&mut self, id: DispatchId) -> DispatchState {
        let first = if self.lossy { id.seq + 1 } else { 0 };
        match self.run(id.boot, first) {
            Some(run) => run.query(id.seq),
            None => DispatchState::Forgotten,
        }
    }

    /// The entry needs no record of its dispatches below `floor` and sends none of them again.
    pub fn raise_floor(&mut self, boot: BootId, floor: u64) {
        if let Some(run) = self.boots.get_mut(&boot) {
            run.raise_floor(floor);
        }
    }

    /// Entry runs with records of their own.
    pub fn boots(&self) -> usize {
        self.boots.len()
    }

    /// Records of dispatches, of all entry runs.
    pub fn records(&self) -> usize {
        self.boots.values().map(|r| r.seen.len()).sum()
    }

    fn set(&mut self, id: DispatchId, state: State) {
        if let Some(run) = self.boots.get_mut(&id.boot) {
            run.set(id.seq, state);
        }
    }

    /// The run's records; a run without any starts at its remembered floor, or at `first`.
    /// `None`: there is no room, because every run has work that runs.
    fn run(&mut self, boot: BootId, first: u64) -> Option<&mut Run> {
        self.calls += 1;
        if !self.boots.contains_key(&boot) {
            self.make_room()?;
            let floor = self.dropped.get(&boot).copied().unwrap_or(first);
            self.boots.insert(boot, Run::starting_at(floor));
        }
        let run = self.boots.get_mut(&boot)?;
        run.used = self.calls;
        Some(run)
    }

    /// Drops the idle run that was not used for longest, if all places are taken.
    fn make_room(&mut self) -> Option<()> {
        if self.boots.len() < MAX_BOOTS {
            return Some(());
        }
        let idle = self.boots.iter().filter(|(_, r)| r.running == 0);
        let (&boot, _) = idle.min_by_key(|(_, r)| r.used)?;
        let run = self.boots.remove(&boot).expect("the run was just found");
        if self.dropped.insert(boot, run.ceiling()).is_none() {
            self.order.push_back(boot);
        }
        if self.order.len() > MAX_DROPPED {
            let oldest = self.order.pop_front().expect("the order is not empty");
            self.dropped.remove(&oldest);
            self.lossy = true;
        }
        Some(())
    }
}

#[cfg(test)]
mod tests;
