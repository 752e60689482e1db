//! The waiting requests of one client account for one service: short before long.
//!
//! Requests are put into classes by expected slot time. The class with the least service so far
//! goes first, so short work passes long work and long work keeps its part: none starves, whatever
//! the load. What an account gains by a wrong hint it takes from its own other requests.

use std::collections::{HashMap, VecDeque};

use crate::ids::JobKey;
use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Classes of expected slot time.
const CLASSES: usize = 4;
/// Expected slot time up to which a request is of the shortest class.
const SHORTEST: Micros = Micros::from_ms(500);
/// How many times longer than the last a class reaches.
const CLASS_FACTOR: u64 = 8;

/// A class in order of arrival.
#[derive(Debug, Default)]
struct Class {
    jobs: VecDeque<JobKey>,
    served: Micros,
}

/// A queue of requests in classes.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [Class; CLASSES],
    /// Requests that were declined; they go first.
    head: VecDeque<JobKey>,
    /// Class and expected slot time of each request.
    waiting: HashMap<JobKey, (usize, Micros)>,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.head.len() + self.classes.iter().map(|c| c.jobs.len()).sum::<usize>()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request with its expected slot time.
    pub fn push(&mut self, job: JobKey, expected: Micros) {
        let at = class(expected);
        if self.classes[at].jobs.is_empty() {
            self.lift(at);
        }
        self.classes[at].jobs.push_back(job);
        self.waiting.insert(job, (at, expected));
    }

    /// Puts a request back at the head, as one that was declined.
    pub fn push_front(&mut self, job: JobKey) {
        self.head.push_front(job);
    }

    /// Whether a request of the shortest class waits.
    pub fn has_short(&self) -> bool {
        !self.classes[0].jobs.is_empty()
    }

    /// Takes the oldest request of the shortest class.
    pub fn pop_short(&mut self) -> Option<JobKey> {
        self.pop_from(0)
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<JobKey> {
        if let Some(job) = self.head.pop_front() {
            return Some(job);
        }
        let classes = self.classes.iter().enumerate();
        let (at, _) = classes
            .filter(|(_, c)| !c.jobs.is_empty())
            .min_by_key(|(_, c)| c.served)?;
        self.pop_from(at)
    }

    fn pop_from(&mut self, at: usize) -> Option<JobKey> {
        let class = &mut self.classes[at];
        let job = class.jobs.pop_front()?;
        let (_, expected) = self.waiting.remove(&job)?;
        class.served += expected;
        Some(job)
    }

    /// Removes a request wherever it stands. Returns whether it was there.
    pub fn remove(&mut self, job: JobKey) -> bool {
        if let Some((at, _)) = self.waiting.remove(&job) {
            self.classes[at].jobs.retain(|&j| j != job);
            return true;
        }
        let len = self.head.len();
        self.head.retain(|&j| j != job);
        self.head.len() < len
    }

    /// A class that comes back from idle gets no credit for it.
    fn lift(&mut self, at: usize) {
        let busy = self.classes.iter().filter(|c| !c.jobs.is_empty());
        if let Some(least) = busy.map(|c| c.served).min() {
            let class = &mut self.classes[at];
            class.served = class.served.max(least);
        }
    }
}

/// The class of an expected slot time.
fn class(expected: Micros) -> usize {
    let mut limit = SHORTEST;
    for at in 0..CLASSES - 1 {
        if expected <= limit {
            return at;
        }
        limit = Micros(limit.0 * CLASS_FACTOR);
    }
    CLASSES - 1
}
