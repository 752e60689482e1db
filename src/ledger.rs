//! An agent's record of dispatches: what was begun, what is barred.
//!
//! Pure. A dispatch id is begun at most once; one that was asked about before it was begun is
//! barred for good.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{BootId, DispatchId};
use crate::wire::Known;

/// State of one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Done,
    Barred,
    Forgotten,
}

/// Dispatches by the run of the entry that sent them.
#[derive(Debug, Default)]
pub struct Ledger {
    boots: HashMap<BootId, BTreeMap<u64, State>>,
}

impl Ledger {
    /// A ledger that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a dispatch begins. `false`: it was begun or barred before and must not run.
    pub fn begin(&mut self, id: DispatchId) -> bool {
        let seen = self.boots.entry(id.boot).or_default();
        if seen.contains_key(&id.seq) {
            return false;
        }
        seen.insert(id.seq, State::Running);
        true
    }

    /// Records that a dispatch's answer is complete.
    pub fn done(&mut self, id: DispatchId) {
        self.set(id, State::Done);
    }

    /// Records that the answer is no longer held.
    pub fn forget(&mut self, id: DispatchId) {
        self.set(id, State::Forgotten);
    }

    /// Says what is known of a dispatch; one never seen is barred first.
    pub fn ask(&mut self, id: DispatchId) -> Known {
        let seen = self.boots.entry(id.boot).or_default();
        match seen.entry(id.seq).or_insert(State::Barred) {
            State::Running => Known::Running,
            State::Done => Known::Done,
            State::Barred => Known::NeverSeen,
            State::Forgotten => Known::Forgotten,
        }
    }

    fn set(&mut self, id: DispatchId, state: State) {
        if let Some(held) = self
            .boots
            .get_mut(&id.boot)
            .and_then(|s| s.get_mut(&id.seq))
        {
            *held = state;
        }
    }
}
