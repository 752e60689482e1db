//! Retry budgets.
//!
//! The operator limits the retries of all gateways together. Each gateway keeps to its own part
//! without coordination: the ratio applied to its own first attempts, plus an equal part of the
//! slack.

use std::collections::VecDeque;

use crate::units::Micros;

/// Fraction of the ratio that is used; the rest covers requests that are counted elsewhere.
const RATIO_USED: f64 = 0.8;
/// Number of gateways among which the slack is divided at least: a gateway that has just started
/// knows few others.
const MIN_GATEWAYS: usize = 16;
/// Length of one bucket of the sliding window.
const BUCKET: Micros = Micros::from_ms(250);

/// The operator's limits for all gateways together.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    first_attempts: u64,
    retries: u64,
}

/// Retry budget of one service at this gateway.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn record_first(&mut self, now: Micros, limits: &RetryLimits) {
        self.current(now, limits).first_attempts += 1;
    }

    /// Takes one retry; returns `false` if none is left. `gateways` is the number of all known
    /// gateways.
    pub fn try_take(&mut self, now: Micros, limits: &RetryLimits, gateways: usize) -> bool {
        self.current(now, limits);
        let first_attempts: u64 = self
            .buckets
            .iter()
            .map(|bucket| bucket.first_attempts)
            .sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = limits.slack / gateways.max(MIN_GATEWAYS) as f64;
        let limit = first_attempts as f64 * limits.ratio * RATIO_USED + slack;
        let available = (retries + 1) as f64 <= limit;
        if available {
            self.current(now, limits).retries += 1;
        }
        available
    }

    /// Returns the bucket of `now`, after dropping those older than the window.
    fn current(&mut self, now: Micros, limits: &RetryLimits) -> &mut Bucket {
        let index = now.0 / BUCKET.0;
        let window = limits.window.0 / BUCKET.0;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + window < index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index != index)
        {
            let (first_attempts, retries) = (0, 0);
            self.buckets.push_back(Bucket {
                index,
                first_attempts,
                retries,
            });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}

#[cfg(test)]
mod tests;
