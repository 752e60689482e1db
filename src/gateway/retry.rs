//! What to do after a try that brought no usable answer.
//!
//! Pure. A refusal that says "not run" must be true, so what is known of every try decides.

use crate::gateway::config::RouteClass;
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;

/// Why a try brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made; nothing was sent.
    Unreached,
    /// The target says that it did not run the request.
    Declined,
    /// Another target has the address now, and did not run the request.
    Moved,
    /// The connection ended, or what came was no answer to the request.
    Broken,
    /// The target ran it and answered with a failure of its own.
    Failed,
    /// Nothing came in time.
    Silent,
}

impl Failure {
    /// Whether the target has surely not run the request, and never will.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Failure::Unreached | Failure::Declined | Failure::Moved
        )
    }
}

/// What is known of a request's tries so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounts {
    /// Tries that may have been run.
    pub run: u32,
    /// Tries that surely were not.
    pub declined: u32,
}

/// Most tries of a request that were not run.
const MAX_DECLINED: u32 = 3;
/// A target is given up after this many times the expected time.
const SILENCE_FACTOR: u64 = 4;

impl AttemptCounts {
    /// Notes how a try ended.
    pub fn record(&mut self, failure: Failure) {
        if failure.not_run() {
            self.declined += 1;
        } else {
            self.run += 1;
        }
    }

    /// Whether another target may be tried, budgets aside. `attempts` is the most targets that may
    /// run the request.
    pub fn may_retry(&self, kind: RouteClass, attempts: u32) -> bool {
        let harmless = self.run == 0 || kind.is_retryable();
        harmless && self.run < attempts.max(1) && self.declined < MAX_DECLINED
    }

    /// How long the next try may be silent. A request that may run again elsewhere does not wait for
    /// one target until its end: `expected` is when an answer should begin, `aim` when its operator
    /// wants it.
    pub fn response_timeout(
        &self,
        kind: RouteClass,
        attempts: u32,
        expected: Micros,
        aim: Micros,
    ) -> Option<Micros> {
        let last = self.run + 1 >= attempts;
        if last || !kind.is_retryable() {
            return None;
        }
        let usual = Micros(expected.0.saturating_mul(SILENCE_FACTOR));
        Some(usual.max(aim + aim))
    }

    /// The answer to a request that is given up after `failure`.
    pub fn problem(&self, failure: Failure) -> Problem {
        let reason = match failure {
            Failure::Unreached | Failure::Declined | Failure::Moved => Reason::NoCapacity,
            Failure::Broken | Failure::Failed => Reason::TargetFailed,
            Failure::Silent => Reason::OutcomeUnknown,
        };
        self.refusal(reason)
    }

    /// A refusal that is true for all tries.
    pub fn refusal(&self, reason: Reason) -> Problem {
        match (self.execution(), reason) {
            (Execution::NotRun, _) => Problem::not_run(503, reason),
            (Execution::Unknown, Reason::DeadlinePassed | Reason::OutcomeUnknown) => {
                Problem::unknown(504, reason)
            }
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
