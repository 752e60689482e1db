//! Allocates an entry's dispatch ids in ascending order and tracks which are open, that is, may
//! still be queried by the entry.

use std::collections::BTreeSet;

use crate::ids::{BootId, DispatchId};

/// Dispatch ids of one process instance of an entry.
#[derive(Debug)]
pub struct DispatchIds {
    boot: BootId,
    next: u64,
    open: BTreeSet<u64>,
}

impl DispatchIds {
    /// Creates an allocator with no open dispatches.
    pub fn new(boot: BootId) -> Self {
        DispatchIds {
            boot,
            next: 1,
            open: BTreeSet::new(),
        }
    }

    /// Allocates the next id, which stays open until [`DispatchIds::close`].
    pub fn allocate(&mut self) -> DispatchId {
        let seq = self.next;
        self.next += 1;
        self.open.insert(seq);
        DispatchId {
            boot: self.boot,
            seq,
        }
    }

    /// Closes a dispatch that the entry will not query again.
    pub fn close(&mut self, id: DispatchId) {
        if id.boot == self.boot {
            self.open.remove(&id.seq);
        }
    }

    /// The lowest `seq` that is open, or the next one to be allocated if none is open. Agents drop
    /// their records of dispatches below it.
    pub fn floor(&self) -> u64 {
        self.open.first().copied().unwrap_or(self.next)
    }
}
