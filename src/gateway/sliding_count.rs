//! Counts events in a sliding window.
//!
//! Performs no I/O.

use std::collections::VecDeque;

use crate::units::Micros;

/// Length of one bucket of the window.
const BUCKET: Micros = Micros::from_ms(100);

/// Number of events in the last `WINDOW_MS` milliseconds, to the next 100 ms above.
#[derive(Clone, Debug, Default)]
pub struct SlidingCount<const WINDOW_MS: u64> {
    /// Index of each bucket and its number of events, oldest first.
    buckets: VecDeque<(u64, u32)>,
    sum: u32,
}

impl<const WINDOW_MS: u64> SlidingCount<WINDOW_MS> {
    /// Counts an event.
    pub fn add(&mut self, now: Micros) {
        let index = self.expire(now);
        match self.buckets.back_mut() {
            Some((last, count)) if *last == index => *count += 1,
            _ => self.buckets.push_back((index, 1)),
        }
        self.sum += 1;
    }

    /// Returns the number of events in the window that ends now.
    pub fn sum(&mut self, now: Micros) -> u32 {
        self.expire(now);
        self.sum
    }

    /// Drops the buckets that have left the window, and returns the index of the current one.
    fn expire(&mut self, now: Micros) -> u64 {
        let index = now.0 / BUCKET.0;
        let length = Micros::from_ms(WINDOW_MS).0 / BUCKET.0;
        while let Some(&(first, count)) = self.buckets.front() {
            if first + length >= index {
                break;
            }
            self.buckets.pop_front();
            self.sum -= count;
        }
        index
    }
}

#[cfg(test)]
mod tests;
