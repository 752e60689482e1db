//! Which prompts reserve room at their target, so that they are prefilled before others that wait
//! there.
//!
//! The load pattern: long and short prompts share targets, which prefill prompts in the order of
//! arrival. A short prompt behind a few long ones misses its objective, although its own prefill would
//! hardly delay them. Many gateways send to a target within the time that it takes to hear of each
//! other, so none knows the whole of its queue.
//!
//! A target admits a request with a reservation before all that wait. Only short prompts reserve: if
//! all did, they would be in the order of arrival again. What they take from long ones is bounded by
//! their length and by admission, which counts their tokens like all others.
//!
//! Performs no I/O.

use crate::units::Micros;

/// Maximum prefill time of a prompt that reserves, as a fraction of the tightest latency objective of
/// its service: the most by which it delays each prompt that it passes.
const MAX_PREFILL: f64 = 0.1;
/// Mean backlog of the service's targets from which on prompts reserve, as a fraction of the tightest
/// latency objective. Below it a reservation costs a round trip and gains nothing.
const MIN_BACKLOG: f64 = 0.02;
/// Time for which room is reserved: until the request itself arrives, on the same connection.
const MAX_TTL: Micros = Micros::from_ms(300);
/// Prompt tokens that a target may be prefilling when a request with a reservation arrives: it ends
/// the current step first.
pub const STEP_TOKENS: u64 = 4_096;

/// What decides on a reservation.
#[derive(Clone, Copy, Debug)]
pub struct ReservationContext {
    /// Longest time for which targets reserve room; `None` if they do not.
    pub max_ttl: Option<Micros>,
    /// Tightest latency objective of the routes to the service.
    pub tightest_objective: Micros,
    /// Mean prefill backlog of the service's targets.
    pub backlog: Micros,
}

impl ReservationContext {
    /// The time for which a request reserves room whose prompt takes `prefill` to prefill; `None` if it
    /// does not.
    pub fn ttl(&self, prefill: Micros) -> Option<Micros> {
        let max_ttl = self.max_ttl.filter(|ttl| *ttl > Micros::ZERO)?;
        let part = |fraction: f64| Micros((self.tightest_objective.0 as f64 * fraction) as u64);
        let is_short = prefill <= part(MAX_PREFILL);
        let is_busy = self.backlog >= part(MIN_BACKLOG);
        (is_short && is_busy).then_some(MAX_TTL.min(max_ttl))
    }
}

#[cfg(test)]
mod tests;
