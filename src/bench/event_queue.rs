//! Priority queue of events, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::units::Micros;

/// A heap of events. Events with the same time are returned in insertion order.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, Payload<T>)>>,
    next_seq: u64,
}

/// Event payload that compares equal to every other, so that it does not affect the heap order.
#[derive(Debug)]
struct Payload<T>(T);

impl<T> PartialEq for Payload<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<T> Eq for Payload<T> {}

impl<T> PartialOrd for Payload<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Payload<T> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next_seq: 0,
        }
    }
}

impl<T> EventQueue<T> {
    pub fn push(&mut self, at: Micros, event: T) {
        self.heap.push(Reverse((at, self.next_seq, Payload(event))));
        self.next_seq += 1;
    }

    /// Removes the earliest event and returns it with its time, or `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        let Reverse((at, _, Payload(event))) = self.heap.pop()?;
        Some((at, event))
    }
}
