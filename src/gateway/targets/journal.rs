//! Journal of the changes to a list of targets, so that another gateway can copy only what has
//! changed since its last copy.

use std::collections::VecDeque;
use std::sync::Arc;

/// Number of changes that are kept.
const MAX_CHANGES: usize = 1_024;

/// The last changes to a list of targets, by number. Numbers start at 1 in each process.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    last: u64,
    ids: VecDeque<Arc<str>>,
}

impl Journal {
    /// Number of the last change; 0 before the first one.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Records a change to the target with this id.
    pub fn record(&mut self, id: &Arc<str>) {
        self.last += 1;
        self.ids.push_back(id.clone());
        if self.ids.len() > MAX_CHANGES {
            self.ids.pop_front();
        }
    }

    /// Forgets the changes, so that all copies made before have to be replaced by complete ones.
    pub fn reset(&mut self) {
        self.last += 1;
        self.ids.clear();
    }

    /// Returns the ids of the targets that have changed since the change numbered `seen`, oldest
    /// change first, possibly repeated. `None` if some of the changes are no longer kept, or if
    /// there is no change of that number.
    pub fn since(&self, seen: u64) -> Option<impl Iterator<Item = &Arc<str>>> {
        let missed = usize::try_from(self.last.checked_sub(seen)?).ok()?;
        let skipped = self.ids.len().checked_sub(missed)?;
        Some(self.ids.iter().skip(skipped))
    }
}

#[cfg(test)]
mod tests;
