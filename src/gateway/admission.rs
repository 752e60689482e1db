//! Admission control: refuses requests that cannot be served in time.
//!
//! The first event is the first server-sent event of a streamed response, or the whole of a
//! response that is not streamed. Under overload, a request whose first event would miss its
//! latency objective only delays the requests behind it. It is refused at once, with a
//! `Retry-After` that gives the time until capacity is expected, so that a retry can still be on
//! time.
//!
//! Performs no I/O.

use std::time::Duration;

use crate::gateway::fair_share::ShareStatus;
use crate::gateway::selection::Choice;
use crate::problem::{Problem, Reason};
use crate::units::Micros;

/// Minimum `Retry-After` of a refusal, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// `Retry-After` if there is no target, before jitter.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum `Retry-After` if all targets have used up the limits that they name, before jitter.
const MAX_ROOM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum jitter that is added to `Retry-After`, as a fraction of it, so that clients do not all
/// retry at the same time.
const RETRY_JITTER: f64 = 0.5;
/// Maximum jitter that is added to `Retry-After`, so that a long pause is not prolonged by much.
const MAX_JITTER: Duration = Duration::from_secs(10);
/// Maximum queueing time, as a fraction of the latency objective, for a request that goes to a
/// model inference engine and is expected to miss the objective.
const MAX_LATE_WAIT: f64 = 0.25;
/// Maximum queueing time, as a fraction of the latency objective, for a request of an account that
/// has reached its fair share.
const MAX_WAIT_AT_FAIR_SHARE: f64 = 0.2;
/// Maximum mean prefill backlog per engine, as a fraction of the latency objective, for a request
/// of an account that has reached its fair share.
const MAX_BACKLOG_AT_FAIR_SHARE: f64 = 0.12;
/// `Retry-After` for an account that has reached its fair share, before jitter, as a fraction of the
/// latency objective: a retry can still be on time.
const RETRY_AFTER_AT_FAIR_SHARE: f64 = 0.25;
/// Assumed network round trip to the target.
const ROUND_TRIP: Micros = Micros::from_ms(30);

/// Inputs of the admission decision for one request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext {
    /// Target selected for the request; `None` if the service has none left to try.
    pub choice: Option<Choice>,
    /// Time until there is room at this gateway within the limits that targets name, or at a cold
    /// target; `None` if no target is limited, or there is a choice.
    pub room_interval: Option<Micros>,
    /// Time until the first target takes requests, if all have asked for a pause; `None` otherwise, or
    /// if there is a choice.
    pub pause: Option<Micros>,
    /// Time since the request arrived.
    pub elapsed: Micros,
    /// Time left until the request's deadline.
    pub remaining: Micros,
    /// The route's objective for the time to the first event.
    pub latency_objective: Micros,
    /// Whether the request is for a model inference engine.
    pub is_engine: bool,
    /// Fair-share status of the client account.
    pub share: ShareStatus,
    /// Mean prefill backlog per engine of the service, as the time needed to work it off.
    pub backlog: Micros,
}

/// Admits a request to its target or refuses it. `random`, from 0 to 1, scales the jitter of
/// `Retry-After`.
///
/// # Errors
/// Returns a 429 problem with `Retry-After` if the client account has reached its fair share while
/// the selected target or the engines are busy. Returns a 503 problem with `Retry-After` if
/// - there is no target that may be sent requests, or none with room within the limit that it names,
/// - the response is not expected to start before the deadline, or
/// - a request to an engine would miss its latency objective and would have to wait long for other
///   requests.
pub fn admit(context: &AdmissionContext, random: f64) -> Result<Choice, Problem> {
    let Some(choice) = context.choice else {
        return Err(refuse(Reason::NoCapacity, wait_for_target(context), random));
    };
    let needed = choice.expected + ROUND_TRIP;
    if needed > context.remaining {
        // The deadline has not passed yet, but the response is expected only after it.
        return Err(refuse(Reason::DeadlinePassed, MIN_RETRY_AFTER, random));
    }
    let busy = choice.wait > fraction(context.latency_objective, MAX_WAIT_AT_FAIR_SHARE)
        || context.backlog > fraction(context.latency_objective, MAX_BACKLOG_AT_FAIR_SHARE);
    if context.share == ShareStatus::ReachedShare && busy {
        let wait = fraction(context.latency_objective, RETRY_AFTER_AT_FAIR_SHARE);
        let wait = jittered(Duration::from(wait).max(MIN_RETRY_AFTER), random);
        return Err(Problem::not_run(429, Reason::ShareReached).retry_after(wait));
    }
    let late = (context.elapsed + needed).saturating_sub(context.latency_objective);
    // A request that is late because of its own size is admitted: a retry would take as long.
    let long_wait = choice.wait > fraction(context.latency_objective, MAX_LATE_WAIT);
    if context.is_engine && late > Micros::ZERO && long_wait {
        return Err(refuse(Reason::NoCapacity, late.into(), random));
    }
    Ok(choice)
}

/// Sets `Retry-After` on a problem with status 503, the status of requests that were not run. It is
/// short, or `pause`, the time until the first target takes requests if all have asked for a pause.
/// Other problems are left unchanged.
pub fn with_retry_after(problem: Problem, pause: Option<Micros>, random: f64) -> Problem {
    let wait = pause.map_or(MIN_RETRY_AFTER, Duration::from);
    match problem.status {
        503 => problem.retry_after(jittered(wait.max(MIN_RETRY_AFTER), random)),
        _ => problem,
    }
}

/// Time until a target is expected to take a request that found none.
fn wait_for_target(context: &AdmissionContext) -> Duration {
    if let Some(pause) = context.pause {
        return pause.into();
    }
    let room = context.room_interval.map(Duration::from);
    room.map_or(NO_TARGET_RETRY_AFTER, |room| room.min(MAX_ROOM_RETRY_AFTER))
}

fn fraction(duration: Micros, factor: f64) -> Micros {
    Micros((duration.0 as f64 * factor) as u64)
}

fn refuse(reason: Reason, wait: Duration, random: f64) -> Problem {
    Problem::not_run(503, reason).retry_after(jittered(wait.max(MIN_RETRY_AFTER), random))
}

fn jittered(wait: Duration, random: f64) -> Duration {
    wait + wait.mul_f64(RETRY_JITTER).min(MAX_JITTER).mul_f64(random)
}

#[cfg(test)]
mod tests;
