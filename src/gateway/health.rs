//! Which targets get no work for a while because they failed.
//!
//! Answers a target that is dark, or fails what it gets: after a few failures in a row it is left
//! alone, longer each time, and then tried with what comes next.

use crate::gateway::targets::{Load, LoadReport};
use crate::units::Micros;

/// Failures in a row after which a target gets no work for a while.
const MAX_FAILURES: u32 = 3;
/// The first pause.
const PAUSE: Micros = Micros::from_ms(400);
/// The longest pause is the first one, doubled this often.
const MAX_DOUBLINGS: u32 = 3;
/// Part of the old value that a new measurement leaves.
const SMOOTHING: f64 = 0.8;
/// Time in which a measured slowness comes to count for half; hosts are slow for some half a second
/// at a time.
const SLOW_LIFE: Micros = Micros::from_ms(400);
/// Bounds of the measured slowness.
const SLOWNESS: (f64, f64) = (0.5, 8.0);
/// Largest number of callers that one of the own requests stands for.
const MAX_CROWD: f64 = 64.0;

impl Load {
    /// Requests of all callers that are with the target, as far as is known.
    pub fn total_active(&self) -> f64 {
        match self.peer_load {
            Some(others) => f64::from(self.active + others.active),
            None => f64::from(self.active) * self.load_ratio,
        }
    }

    /// Prompt tokens that the target has to read for all callers, as far as is known.
    pub fn total_prefill(&self) -> f64 {
        match self.peer_load {
            Some(others) => (self.prefill_tokens + others.prefill_tokens) as f64,
            None => self.prefill_tokens as f64 * self.load_ratio,
        }
    }

    /// How slow the target is taken to be now. What was measured counts for less as time goes on,
    /// so that a target that was slow, and got no work for it, is tried again.
    pub fn slowness_at(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.measured_at).0 as f64;
        1.0 + (self.slowness - 1.0) * (-age / SLOW_LIFE.0 as f64).exp2()
    }

    /// The target answered what it got.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The target failed. `reached` is false when it is not at its address.
    pub fn record_failure(&mut self, now: Micros, reached: bool) {
        self.failures += 1;
        let most = if reached { MAX_FAILURES } else { 1 };
        if self.failures >= most {
            let doublings = (self.failures - most).min(MAX_DOUBLINGS);
            self.closed_until = now + Micros(PAUSE.0 << doublings);
        }
    }

    /// A first event came after `took`, and was expected after `expected`.
    pub fn record_latency(&mut self, now: Micros, took: Micros, expected: Micros) {
        let slow = self.slowness_at(now);
        let plain = expected.0 as f64 / slow;
        let (least, most) = SLOWNESS;
        let ratio = (took.0 as f64 / plain.max(1.0)).clamp(least, most);
        self.slowness = slow * SMOOTHING + ratio * (1.0 - SMOOTHING);
        self.measured_at = now;
    }

    /// The target told its load in an answer.
    pub fn apply_report(&mut self, report: LoadReport) {
        let all = f64::from(report.running + report.waiting);
        let own = f64::from(self.active.max(1));
        let crowd = (all / own).clamp(1.0, MAX_CROWD);
        self.load_ratio = self.load_ratio * SMOOTHING + crowd * (1.0 - SMOOTHING);
    }
}

#[cfg(test)]
mod tests;
