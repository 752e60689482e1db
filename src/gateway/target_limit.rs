//! Keeps to the rate that a target names for all gateways together.
//!
//! A target in need says in its answers how many requests a second it takes from the whole fleet.
//! The load pattern: there is far more demand than this rate, at a few gateways or at hundreds, so
//! that the part of one gateway may be a request a minute, and any room that several gateways
//! believe in is used by all of them at once.
//!
//! - Each gateway's part of the rate is its part of the demand for the service, which gateways
//!   report to each other. The parts add up to the whole rate, however many gateways there are.
//! - The part fills a token bucket, which starts at a random level: the gateways' turns are spread
//!   evenly in time. A token that is not used within `TOKEN_TTL` is lost, so that idle gateways
//!   do not all hold one when demand rises.
//! - What all gateways have sent of late closes the target in addition when it reaches the rate,
//!   which makes up for reports that differ from each other. While it is below the rate, the parts
//!   are larger by up to `MAX_EXCESS`, which makes up for lost tokens.
//! - The newest answer of the target that any gateway has seen gives the rate, or ends it.
//! - A gateway that hears no other one takes as its part one of the gateways that it knows.
//!
//! Performs no I/O.

use crate::gateway::cold_limit::ColdPeriod;
use crate::gateway::sliding_count::SlidingCount;
use crate::units::Micros;

/// Length of the window in which the requests of all gateways are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// [`WINDOW_MS`] in seconds.
const WINDOW_S: f64 = WINDOW_MS as f64 / 1_000.0;
/// Time for which a gateway may use a token.
const TOKEN_TTL: Micros = Micros::from_secs(2);
/// Maximum sum of the gateways' parts while the rate is not used up, as a factor of the rate. What
/// exceeds 1 makes up for lost tokens.
const MAX_EXCESS: f64 = 1.5;
/// Time without a newer answer after which a limit no longer holds.
const LIMIT_TTL: Micros = Micros::from_secs(30);
/// Time for which the end of a limit is reported to other gateways.
const END_REPORT_TIME: Micros = Micros::from_secs(5);

/// What an answer of a target said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Requests a second; `None` if it named no limit.
    pub limit: Option<f64>,
    /// Time of the answer.
    pub at: Micros,
}

impl Observation {
    /// Returns the later one of two answers.
    pub fn newer(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        match (a, b) {
            (Some(a), Some(b)) if b.at > a.at => Some(b),
            (None, b) => b,
            (a, _) => a,
        }
    }
}

/// What one or several gateways know of a target with a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitedUse {
    /// Number of requests that they sent to it in the window.
    pub sent: u32,
    /// Its newest answer.
    pub answer: Option<Observation>,
    /// The most recent statement on how long it is cold.
    pub cold_period: Option<ColdPeriod>,
}

impl LimitedUse {
    /// Adds what other gateways know.
    pub fn add(&mut self, other: &LimitedUse) {
        self.sent = self.sent.saturating_add(other.sent);
        self.answer = Observation::newer(self.answer, other.answer);
        self.cold_period = ColdPeriod::newer(self.cold_period, other.cold_period);
    }
}

/// The limit of one target, as this gateway knows it, and this gateway's part of it.
#[derive(Clone, Debug, Default)]
pub struct TargetLimit {
    /// Newest answer to this gateway. Kept only if it or an earlier one named a limit.
    own: Option<Observation>,
    others: LimitedUse,
    /// This gateway's tokens, each for one request; `None` while there is no limit.
    tokens: Option<f64>,
    refilled: Micros,
    sent: SlidingCount<WINDOW_MS>,
    /// Requests a second that this gateway's tokens allow.
    own_rate: f64,
    /// Whether all gateways together have used up the rate of late.
    closed: bool,
}

impl TargetLimit {
    /// Records the limit that an answer named, or that it named none. Returns whether that begins
    /// or ends a limit.
    pub fn observe(&mut self, now: Micros, limit: Option<f64>) -> bool {
        let before = self.own.and_then(|own| own.limit);
        if limit.is_some() || self.own.is_some() || self.others.answer.is_some() {
            self.own = Some(Observation { limit, at: now });
        }
        before.is_some() != limit.is_some()
    }

    /// Replaces what all other gateways know of the target.
    pub fn set_others(&mut self, others: LimitedUse) {
        self.others = others;
    }

    /// Returns the limit in requests a second; `None` if there is none.
    pub fn rate(&self, now: Micros) -> Option<f64> {
        let newest = Observation::newer(self.own, self.others.answer)?;
        let is_old = now.saturating_sub(newest.at) >= LIMIT_TTL;
        newest.limit.filter(|_| !is_old)
    }

    /// Returns what this gateway has to tell others of the target; `None` if that is nothing.
    pub fn report(&mut self, now: Micros) -> Option<LimitedUse> {
        let ended = |own: Observation| own.limit.is_none();
        let is_old = |own: Observation| now.saturating_sub(own.at) >= END_REPORT_TIME;
        if self.rate(now).is_none() && self.own.is_none_or(|own| !ended(own) || is_old(own)) {
            return None;
        }
        Some(LimitedUse {
            sent: self.sent.sum(now),
            answer: self.own,
            cold_period: None,
        })
    }

    /// Adds the tokens of the time since the last call. `part` is this gateway's part of the
    /// demand, from 0 to 1; `random`, from 0 to 1, is where the bucket of a new limit starts.
    pub fn refill(&mut self, now: Micros, part: f64, random: f64) {
        let Some(rate) = self.rate(now) else {
            self.tokens = None;
            self.closed = false;
            self.own_rate = 0.0;
            self.sent = SlidingCount::default();
            return;
        };
        let sent = f64::from(self.sent.sum(now).saturating_add(self.others.sent));
        self.closed = sent >= (rate * WINDOW_S).max(1.0);
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        let Some(tokens) = &mut self.tokens else {
            self.tokens = Some(random);
            return;
        };
        let excess = rate * WINDOW_S / sent.max(1.0);
        self.own_rate = rate * part * excess.clamp(1.0, MAX_EXCESS);
        *tokens += self.own_rate * elapsed;
        let most = 1.0 + self.own_rate * TOKEN_TTL.as_secs_f64();
        if *tokens > most {
            *tokens = (*tokens - 1.0).min(most);
        }
    }

    /// Whether this gateway may send a request to the target.
    pub fn has_room(&self) -> bool {
        self.tokens
            .is_none_or(|tokens| tokens >= 1.0 && !self.closed)
    }

    /// Requests a second for which this gateway gets room; `None` while there is no limit.
    pub fn own_rate(&self) -> Option<f64> {
        self.tokens.map(|_| self.own_rate)
    }

    /// Takes the room for one request; returns `false` if there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        let Some(tokens) = &mut self.tokens else {
            return true;
        };
        if *tokens < 1.0 || self.closed {
            return false;
        }
        *tokens -= 1.0;
        self.sent.add(now);
        true
    }
}

#[cfg(test)]
mod tests;
