//! Events in order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::units::Micros;

/// A heap of events; those of the same moment keep the order in which they were added.
#[derive(Debug)]
pub struct Events<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, Slot<T>)>>,
    next: u64,
}

/// Keeps the payload out of the heap's order.
#[derive(Debug)]
struct Slot<T>(T);

impl<T> PartialEq for Slot<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<T> Eq for Slot<T> {}

impl<T> PartialOrd for Slot<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Slot<T> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<T> Default for Events<T> {
    fn default() -> Self {
        Events {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T> Events<T> {
    /// Adds an event.
    pub fn push(&mut self, at: Micros, event: T) {
        self.heap.push(Reverse((at, self.next, Slot(event))));
        self.next += 1;
    }

    /// Takes the earliest event, with its moment.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        let Reverse((at, _, Slot(event))) = self.heap.pop()?;
        Some((at, event))
    }
}
