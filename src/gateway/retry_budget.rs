//! How many requests may be sent once more.
//!
//! All entries together may send only so many requests beyond the first sending of each. An entry
//! keeps to its own part, which holds without hearing from any other: the ratio of what it sends
//! itself, and a fixed part of the allowance.

use std::collections::VecDeque;

use crate::units::Micros;

/// Part of the ratio that is used; the rest covers what is counted elsewhere.
const RATIO_USED: f64 = 0.8;
/// Entries among which the allowance is divided.
const PARTS: f64 = 16.0;
/// The window is counted in steps of this length.
const STEP: Micros = Micros::from_ms(250);

/// What the operator allows of all entries together.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    step: u64,
    firsts: u64,
    repeats: u64,
}

/// The budget of one service at one entry.
#[derive(Debug, Default)]
pub struct RetryBudget {
    counts: VecDeque<Count>,
}

impl RetryBudget {
    /// A request is sent for the first time.
    pub fn record_first(&mut self, now: Micros, limits: &RetryLimits) {
        self.current(now, limits).firsts += 1;
    }

    /// Takes one repeat; `false` when there is none left.
    pub fn try_take(&mut self, now: Micros, limits: &RetryLimits) -> bool {
        self.current(now, limits);
        let firsts: u64 = self.counts.iter().map(|c| c.firsts).sum();
        let repeats: u64 = self.counts.iter().map(|c| c.repeats).sum();
        let most = firsts as f64 * limits.ratio * RATIO_USED + limits.slack / PARTS;
        let may = (repeats + 1) as f64 <= most;
        if may {
            self.current(now, limits).repeats += 1;
        }
        may
    }

    /// The count of this moment's step; older ones than the window are dropped.
    fn current(&mut self, now: Micros, limits: &RetryLimits) -> &mut Count {
        let step = now.0 / STEP.0;
        let steps = limits.window.0 / STEP.0;
        while self.counts.front().is_some_and(|c| c.step + steps < step) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|c| c.step != step) {
            let (firsts, repeats) = (0, 0);
            self.counts.push_back(Count {
                step,
                firsts,
                repeats,
            });
        }
        self.counts.back_mut().expect("a count was just pushed")
    }
}

#[cfg(test)]
mod tests;
