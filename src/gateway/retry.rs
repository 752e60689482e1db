//! Retry rules: what to do after an attempt without a usable answer.
//!
//! A refusal that says "not run" must be true, so it depends on the outcomes of all attempts.
//! Performs no I/O.

use crate::gateway::config::RouteClass;
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;

/// The reason that an attempt yielded no usable answer.
///
/// The names of the values are written to the log field `failure`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established; nothing was sent.
    Unreached,
    /// The request was not sent after all, because its deadline had passed, its target, route or API
    /// key had been removed meanwhile, its target is not in an allowed region, or its target has no
    /// room left within its limit.
    Withdrawn,
    /// The request was not sent after all, because its target turned out to be cold and this gateway
    /// has no room there now.
    Cold,
    /// The target reports that it did not run the request.
    Declined,
    /// Another target now uses the address and did not run the request.
    Moved,
    /// The connection broke off, or the response did not match the request.
    Broken,
    /// The target ran the request and answered with an error.
    Failed,
    /// The target did not answer in time.
    Silent,
}

impl Failure {
    /// Returns whether it is certain that the target has not run the request and never will.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Failure::Unreached
                | Failure::Withdrawn
                | Failure::Cold
                | Failure::Declined
                | Failure::Moved
        )
    }
}

/// Outcomes of a request's attempts so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounts {
    /// Number of attempts that a target may have run.
    pub run: u32,
    /// Number of attempts that certainly were not run.
    pub declined: u32,
    /// Number of attempts at targets that turned out to be cold.
    pub cold: u32,
    /// Whether the last attempt was one of these.
    pub was_cold: bool,
}

/// Number of attempts that were not run after which a request is not retried.
const MAX_DECLINED: u32 = 3;
/// Number of cold targets that a request may find. When a whole zone comes back, the first requests
/// after that find several; each costs a round trip and puts no load on the target.
const MAX_COLD: u32 = 8;
/// An attempt times out after this multiple of the expected response time.
const TIMEOUT_FACTOR: u64 = 4;

impl AttemptCounts {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, failure: Failure) {
        self.was_cold = failure == Failure::Cold;
        if self.was_cold {
            self.cold += 1;
        } else if failure.not_run() {
            self.declined += 1;
        } else {
            self.run += 1;
        }
    }

    /// Returns whether the request may be sent to another target, without regard to retry budgets.
    /// `max_attempts` is the maximum number of attempts, not counting those that certainly were not
    /// run.
    pub fn may_retry(&self, class: RouteClass, max_attempts: u32) -> bool {
        let safe = self.run == 0 || class.is_retryable();
        let found = self.declined < MAX_DECLINED && self.cold < MAX_COLD;
        safe && self.run < max_attempts.max(1) && found
    }

    /// Returns the response timeout of the next attempt, so that a request that may still be
    /// retried does not wait for one target until its deadline. `None` if it may wait until then.
    /// `expected` is the expected time to the start of the answer, `objective` the route's latency
    /// objective.
    pub fn response_timeout(
        &self,
        class: RouteClass,
        max_attempts: u32,
        expected: Micros,
        objective: Micros,
    ) -> Option<Micros> {
        let last = self.run + 1 >= max_attempts;
        if last || !class.is_retryable() {
            return None;
        }
        let timeout = Micros(expected.0.saturating_mul(TIMEOUT_FACTOR));
        Some(timeout.max(objective + objective))
    }

    /// Returns the error response for a request whose last attempt ended with `failure`.
    pub fn problem(&self, failure: Failure) -> Problem {
        let reason = match failure {
            Failure::Unreached
            | Failure::Withdrawn
            | Failure::Cold
            | Failure::Declined
            | Failure::Moved => Reason::NoCapacity,
            Failure::Broken | Failure::Failed => Reason::TargetFailed,
            Failure::Silent => Reason::OutcomeUnknown,
        };
        self.refusal(reason)
    }

    /// Returns the error response with this reason. It says that the request was not run only if
    /// this is certain for all attempts.
    pub fn refusal(&self, reason: Reason) -> Problem {
        match (self.execution(), reason) {
            (Execution::NotRun, _) => Problem::not_run(503, reason),
            (
                Execution::Unknown,
                Reason::DeadlinePassed | Reason::OutcomeUnknown | Reason::Draining,
            ) => Problem::unknown(504, reason),
            (Execution::Unknown, _) => Problem::unknown(502, reason),
        }
    }

    fn execution(&self) -> Execution {
        if self.run == 0 {
            Execution::NotRun
        } else {
            Execution::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
