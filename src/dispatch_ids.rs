//! An entry's dispatch ids: gives them out in order and knows which are still open.

use std::collections::BTreeSet;

use crate::ids::{BootId, DispatchId};

/// Dispatch ids of one run of an entry.
#[derive(Debug)]
pub struct DispatchIds {
    boot: BootId,
    next: u64,
    open: BTreeSet<u64>,
}

impl DispatchIds {
    /// No dispatches yet.
    pub fn new(boot: BootId) -> Self {
        DispatchIds {
            boot,
            next: 1,
            open: BTreeSet::new(),
        }
    }

    /// A new id, which is open.
    pub fn allocate(&mut self) -> DispatchId {
        let seq = self.next;
        self.next += 1;
        self.open.insert(seq);
        DispatchId {
            boot: self.boot,
            seq,
        }
    }

    /// The entry will not ask about this dispatch any more.
    pub fn close(&mut self, id: DispatchId) {
        if id.boot == self.boot {
            self.open.remove(&id.seq);
        }
    }

    /// No open dispatch has a lower `seq`. Sent along so that agents can let go of records.
    pub fn floor(&self) -> u64 {
        self.open.first().copied().unwrap_or(self.next)
    }
}
