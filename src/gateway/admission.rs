//! When a request is refused at once instead of sent.
//!
//! Answers load beyond what the targets can serve in time: a request whose first event would come
//! after its aim would only delay those behind it. It is told when room is expected, so that it can
//! come back while it still can be on time.
//!
//! Pure.

use std::time::Duration;

use crate::gateway::fair_share::ShareStatus;
use crate::gateway::selection::Choice;
use crate::problem::{Problem, Reason};
use crate::units::Micros;

/// Shortest wait that a refused caller is asked for.
const LEAST_RETRY: Duration = Duration::from_millis(100);
/// Callers come back spread over this part of the wait, on top of it.
const SPREAD: f64 = 0.5;
/// Part of the aim up to which a wait for others is no reason to refuse.
const SHORT_WAIT: f64 = 0.25;
/// Part of the aim up to which an account that has its fair share may add to a wait.
const SATED_WAIT: f64 = 0.2;
/// Part of the aim up to which such an account may add to what all engines have to read.
const SATED_PRESSURE: f64 = 0.12;
/// When an account that has its fair share is asked to come back.
const SATED_RETRY: Duration = Duration::from_millis(800);
/// What the way to the target and back is taken to need.
const MARGIN: Micros = Micros::from_ms(30);

/// What is known of a request when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext {
    /// Where it would go.
    pub choice: Option<Choice>,
    /// How long it has been here.
    pub elapsed: Micros,
    /// How long its caller will wait from now.
    pub remaining: Micros,
    /// Time to its first event that its operator aims at.
    pub latency_objective: Micros,
    /// Whether it goes to an engine.
    pub is_engine: bool,
    /// Where its client account stands beside the others.
    pub share: ShareStatus,
    /// How long all engines of the service together have to read, on average.
    pub backlog: Micros,
}

/// The target that a request goes to. `random` is from 0 to 1 and spreads callers.
///
/// # Errors
/// A refusal with the time after which to come back.
pub fn admit(context: &AdmissionContext, random: f64) -> Result<Choice, Problem> {
    let Some(choice) = context.choice else {
        return Err(later(Reason::NoCapacity, LEAST_RETRY * 2, random));
    };
    let needed = choice.expected + MARGIN;
    if needed > context.remaining {
        return Err(later(Reason::DeadlinePassed, LEAST_RETRY, random));
    }
    let busy = choice.wait > part(context.latency_objective, SATED_WAIT)
        || context.backlog > part(context.latency_objective, SATED_PRESSURE);
    if context.share == ShareStatus::Sated && busy {
        return Err(later(Reason::NoCapacity, SATED_RETRY, random));
    }
    let late = (context.elapsed + needed).saturating_sub(context.latency_objective);
    // What takes long by itself is served all the same: coming back would not make it shorter.
    let waits = choice.wait > part(context.latency_objective, SHORT_WAIT);
    if context.is_engine && late > Micros::ZERO && waits {
        return Err(later(Reason::NoCapacity, late.into(), random));
    }
    Ok(choice)
}

/// Adds when to come back to a refusal that was not run.
pub fn with_retry_after(problem: Problem, random: f64) -> Problem {
    match problem.status {
        503 => problem.retry_after(spread(LEAST_RETRY, random)),
        _ => problem,
    }
}

/// A part of a span.
fn part(span: Micros, share: f64) -> Micros {
    Micros((span.0 as f64 * share) as u64)
}

fn later(reason: Reason, wait: Duration, random: f64) -> Problem {
    Problem::not_run(503, reason).retry_after(spread(wait.max(LEAST_RETRY), random))
}

fn spread(wait: Duration, random: f64) -> Duration {
    wait.mul_f64(1.0 + SPREAD * random)
}

#[cfg(test)]
mod tests;
