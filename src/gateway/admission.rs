//! Admission control: refuses requests that cannot be served in time.
//!
//! Under overload, a request whose first event would miss its latency objective only delays the
//! requests behind it. It is refused at once, with a `Retry-After` of when capacity is expected, so
//! that a retry can still be on time.
//!
//! Performs no I/O.

use std::time::Duration;

use crate::gateway::fair_share::ShareStatus;
use crate::gateway::selection::Choice;
use crate::problem::{Problem, Reason};
use crate::units::Micros;

/// Smallest `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Jitter that is added to `Retry-After`, as a fraction of it, so that clients do not all retry at
/// the same time.
const RETRY_JITTER: f64 = 0.5;
/// Queueing time, as a fraction of the latency objective, up to which a late request is admitted.
const MAX_LATE_WAIT: f64 = 0.25;
/// Queueing time, as a fraction of the latency objective, up to which requests of an account that
/// has reached its fair share are admitted.
const MAX_REACHED_SHARE_WAIT: f64 = 0.2;
/// Mean backlog of the engines, as a fraction of the latency objective, up to which requests of
/// such an account are admitted.
const MAX_REACHED_SHARE_BACKLOG: f64 = 0.12;
/// `Retry-After` for an account that has reached its fair share.
const REACHED_SHARE_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Assumed network round trip to the target.
const ROUND_TRIP: Micros = Micros::from_ms(30);

/// Inputs of the admission decision for one request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext {
    /// Target that the request would be sent to.
    pub choice: Option<Choice>,
    /// Time since the request arrived.
    pub elapsed: Micros,
    /// Time left until the request's deadline.
    pub remaining: Micros,
    /// The route's objective for the time to the first event.
    pub latency_objective: Micros,
    /// Whether the service is an engine.
    pub is_engine: bool,
    /// Whether the client account has reached its fair share.
    pub share: ShareStatus,
    /// Mean prefill backlog per engine of the service.
    pub backlog: Micros,
}

/// Admits a request to its target or refuses it. `random` is from 0 to 1 and gives the jitter of
/// `Retry-After`.
///
/// # Errors
/// A refusal with `Retry-After`.
pub fn admit(context: &AdmissionContext, random: f64) -> Result<Choice, Problem> {
    let Some(choice) = context.choice else {
        return Err(refuse(Reason::NoCapacity, MIN_RETRY_AFTER * 2, random));
    };
    let needed = choice.expected + ROUND_TRIP;
    if needed > context.remaining {
        return Err(refuse(Reason::DeadlinePassed, MIN_RETRY_AFTER, random));
    }
    let busy = choice.wait > fraction(context.latency_objective, MAX_REACHED_SHARE_WAIT)
        || context.backlog > fraction(context.latency_objective, MAX_REACHED_SHARE_BACKLOG);
    if context.share == ShareStatus::ReachedShare && busy {
        return Err(refuse(
            Reason::NoCapacity,
            REACHED_SHARE_RETRY_AFTER,
            random,
        ));
    }
    let late = (context.elapsed + needed).saturating_sub(context.latency_objective);
    // A request that is late because of its own size is admitted: a retry would take as long.
    let waits = choice.wait > fraction(context.latency_objective, MAX_LATE_WAIT);
    if context.is_engine && late > Micros::ZERO && waits {
        return Err(refuse(Reason::NoCapacity, late.into(), random));
    }
    Ok(choice)
}

/// Adds `Retry-After` to 503 refusals, whose requests were not run.
pub fn with_retry_after(problem: Problem, random: f64) -> Problem {
    match problem.status {
        503 => problem.retry_after(jittered(MIN_RETRY_AFTER, random)),
        _ => problem,
    }
}

fn fraction(span: Micros, share: f64) -> Micros {
    Micros((span.0 as f64 * share) as u64)
}

fn refuse(reason: Reason, wait: Duration, random: f64) -> Problem {
    Problem::not_run(503, reason).retry_after(jittered(wait.max(MIN_RETRY_AFTER), random))
}

fn jittered(wait: Duration, random: f64) -> Duration {
    wait.mul_f64(1.0 + RETRY_JITTER * random)
}

#[cfg(test)]
mod tests;
