//! Health of targets: pauses after failures, measured slowness, and load estimates.
//!
//! A target that cannot be reached or fails its requests is paused after a few consecutive
//! failures. The pause grows with each further failure; afterwards the next request probes the
//! target.

use crate::gateway::targets::{Load, LoadReport};
use crate::units::Micros;

/// Consecutive failures after which a target is paused.
const MAX_FAILURES: u32 = 3;
/// Length of the first pause.
const MIN_PAUSE: Micros = Micros::from_ms(400);
/// Maximum number of times the pause doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Weight of the old value in exponential moving averages.
const SMOOTHING: f64 = 0.8;
/// Half-life of a measured slowness; hosts are slow for about half a second at a time.
const SLOWNESS_HALF_LIFE: Micros = Micros::from_ms(400);
/// Minimum and maximum of the measured slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);
/// Upper bound of the ratio of all requests at a target to those of this gateway.
const MAX_LOAD_RATIO: f64 = 64.0;

impl Load {
    /// Returns the estimated number of requests of all gateways in flight at the target.
    pub fn total_active(&self) -> f64 {
        match self.peer_load {
            Some(others) => f64::from(self.active + others.active),
            None => f64::from(self.active) * self.load_ratio,
        }
    }

    /// Returns the estimated prompt tokens that the target has to prefill for all gateways.
    pub fn total_prefill(&self) -> f64 {
        match self.peer_load {
            Some(others) => (self.prefill_tokens + others.prefill_tokens) as f64,
            None => self.prefill_tokens as f64 * self.load_ratio,
        }
    }

    /// Returns the estimated slowness of the target, where 1 is normal. The measured value decays
    /// towards 1, so that a target that got no requests because it was slow is tried again.
    pub fn slowness_at(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.measured_at).0 as f64;
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_HALF_LIFE.0 as f64).exp2()
    }

    /// Records that the target answered, which ends a series of failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and pauses the target after several of them. `reached` is `false` if the
    /// target does not answer at its address; it is then paused at once.
    pub fn record_failure(&mut self, now: Micros, reached: bool) {
        self.failures += 1;
        let limit = if reached { MAX_FAILURES } else { 1 };
        if self.failures >= limit {
            let doublings = (self.failures - limit).min(MAX_DOUBLINGS);
            self.paused_until = now + Micros(MIN_PAUSE.0 << doublings);
        }
    }

    /// Updates the slowness from the time `took` to a first event that was expected after
    /// `expected`.
    pub fn record_latency(&mut self, now: Micros, took: Micros, expected: Micros) {
        let slow = self.slowness_at(now);
        let unslowed = expected.0 as f64 / slow;
        let (min, max) = SLOWNESS_RANGE;
        let ratio = (took.0 as f64 / unslowed.max(1.0)).clamp(min, max);
        self.slowness = slow * SMOOTHING + ratio * (1.0 - SMOOTHING);
        self.measured_at = now;
    }

    /// Updates the load estimate from a report in an answer's headers.
    pub fn apply_report(&mut self, report: LoadReport) {
        let all = f64::from(report.running) + f64::from(report.waiting);
        let own = f64::from(self.active.max(1));
        let load_ratio = (all / own).clamp(1.0, MAX_LOAD_RATIO);
        self.load_ratio = self.load_ratio * SMOOTHING + load_ratio * (1.0 - SMOOTHING);
    }
}

#[cfg(test)]
mod tests;
