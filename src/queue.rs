//! Queue of one client account's requests for one service, which favours short requests.
//!
//! Requests are put into classes by expected slot time, the time for which a request occupies one
//! of a target's slots. The next request comes from the class that has received the least slot
//! time, so short requests overtake long ones, while every class keeps an equal share and none
//! starves under any load. An account that sends wrong cost hints delays only its own other
//! requests.

use std::collections::{HashMap, VecDeque};

use crate::ids::JobKey;
use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Number of classes of expected slot time.
const CLASSES: usize = 4;
/// Maximum expected slot time of a request in the shortest class.
const SHORTEST_LIMIT: Micros = Micros::from_ms(500);
/// Ratio between the maximum slot times of successive classes.
const CLASS_FACTOR: u64 = 8;

/// Requests of one class, in order of arrival.
#[derive(Debug, Default)]
struct Class {
    jobs: VecDeque<JobKey>,
    /// Sum of the expected slot times of the requests taken from this class.
    served: Micros,
}

/// Queue of requests in classes.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [Class; CLASSES],
    /// Requests that an agent declined; they are taken first.
    requeued: VecDeque<JobKey>,
    /// Class and expected slot time of each request in `classes`.
    waiting: HashMap<JobKey, (usize, Micros)>,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requeued.len() + self.classes.iter().map(|c| c.jobs.len()).sum::<usize>()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request with its expected slot time.
    pub fn push(&mut self, job: JobKey, expected: Micros) {
        let at = class_of(expected);
        if self.classes[at].jobs.is_empty() {
            self.raise_served(at);
        }
        self.classes[at].jobs.push_back(job);
        self.waiting.insert(job, (at, expected));
    }

    /// Puts a declined request back at the head of the queue.
    pub fn push_front(&mut self, job: JobKey) {
        self.requeued.push_front(job);
    }

    /// Whether a request of the shortest class waits.
    pub fn has_short(&self) -> bool {
        !self.classes[0].jobs.is_empty()
    }

    /// Takes the oldest request of the shortest class; `None` if there is none.
    pub fn pop_short(&mut self) -> Option<JobKey> {
        self.pop_from(0)
    }

    /// Takes the next request: a declined one, else the oldest of the class that has received the
    /// least slot time. Returns `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<JobKey> {
        if let Some(job) = self.requeued.pop_front() {
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

    /// Removes a request from anywhere in the queue. Returns whether it was found.
    pub fn remove(&mut self, job: JobKey) -> bool {
        if let Some((at, _)) = self.waiting.remove(&job) {
            self.classes[at].jobs.retain(|&j| j != job);
            return true;
        }
        let len = self.requeued.len();
        self.requeued.retain(|&j| j != job);
        self.requeued.len() < len
    }

    /// Raises the `served` of an empty class to the least one of the backlogged classes, so that a
    /// class earns no credit while it is empty.
    fn raise_served(&mut self, at: usize) {
        let backlogged = self.classes.iter().filter(|c| !c.jobs.is_empty());
        if let Some(least) = backlogged.map(|c| c.served).min() {
            let class = &mut self.classes[at];
            class.served = class.served.max(least);
        }
    }
}

/// Index of the class for an expected slot time.
fn class_of(expected: Micros) -> usize {
    let mut limit = SHORTEST_LIMIT;
    for at in 0..CLASSES - 1 {
        if expected <= limit {
            return at;
        }
        limit = Micros(limit.0 * CLASS_FACTOR);
    }
    CLASSES - 1
}
