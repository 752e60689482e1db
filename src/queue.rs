//! The waiting requests of one client account for one service.

use std::collections::VecDeque;

use crate::ids::JobKey;

/// A bounded queue: a flood fills its own and nobody else's.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: VecDeque<JobKey>,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Adds a request at the end.
    pub fn push(&mut self, job: JobKey) {
        self.jobs.push_back(job);
    }

    /// Puts a request back at the head, as one that was declined.
    pub fn push_front(&mut self, job: JobKey) {
        self.jobs.push_front(job);
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<JobKey> {
        self.jobs.pop_front()
    }

    /// Removes a request wherever it stands. Returns whether it was there.
    pub fn remove(&mut self, job: JobKey) -> bool {
        let found = self.jobs.iter().position(|&j| j == job);
        found.and_then(|at| self.jobs.remove(at)).is_some()
    }
}
