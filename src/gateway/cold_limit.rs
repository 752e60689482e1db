//! Keeps to the rate of requests that a cold target can take from all gateways together.
//!
//! Load pattern: a target, or all targets of a zone, start again under full load. For some seconds
//! each of them can take a few requests a second from the whole fleet; one that gets far more
//! crashes. Up to hundreds of gateways send to it as soon as it answers, and most of them have not
//! heard that it was away.
//!
//! - How long a target is cold is known from its answer on a new connection, from its list entry,
//!   and from other gateways. The most recent statement counts. A target that was lost and is reached
//!   again counts as cold until a statement says otherwise.
//! - Time is divided into slots, each of which is granted to one gateway ([`grants`]). Grants expire
//!   soon, and do not depend on what the gateways hear of each other.
//! - The limit ends with the cold time, without a further message.
//!
//! A [`ColdReport`] is a statement as sent between processes, a [`ColdPeriod`] the same on this
//! process's clock, and a [`ColdLimit`] what a gateway keeps for one target.
//!
//! Performs no I/O.

pub mod grants;

use crate::gateway::cold_limit::grants::{GrantInput, Grants};
use crate::units::Micros;

/// Maximum time from the writing of a list entry to its arrival at a gateway: the pause between two
/// reads, and a copy from another gateway. An entry that arrives at a later time than this after an
/// event was written after it.
pub const ENTRY_DELAY: Micros = Micros::from_ms(1_800);
/// Cold time that is assumed if the configuration gives none.
pub const DEFAULT_SPAN: Micros = Micros::from_secs(3);
/// Longest cold time that is believed. Odd figures must not limit a target for hours.
pub const MAX_SPAN: Micros = Micros::from_secs(60);
/// Time for which the last statement is reported to other gateways.
const REPORT_TIME: Micros = Micros::from_secs(3);

/// What the configuration says of the cold targets of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which a target is cold after its start.
    pub span: Micros,
    /// Requests a second that a cold target can take from all gateways together.
    pub rate: f64,
    /// Whether targets are asked on new connections how long they are cold. A target that was lost
    /// needs no assumption then.
    pub asks: bool,
}

/// A statement on how long a target is cold, as sent between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// Remaining cold time; zero if the target is not cold.
    pub remaining: Micros,
    /// Time since the statement was made, at most.
    pub age: Micros,
}

/// A statement on how long a target is cold, on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// End of the cold time.
    pub until: Micros,
    /// Earliest time at which the statement can have been made.
    pub as_of: Micros,
}

impl ColdPeriod {
    /// Converts a report that is received at `now`.
    pub fn from_report(now: Micros, report: ColdReport) -> Self {
        ColdPeriod {
            until: now + report.remaining.min(MAX_SPAN),
            as_of: now.saturating_sub(report.age),
        }
    }

    /// Converts to a report that is sent at `now`.
    pub fn to_report(self, now: Micros) -> ColdReport {
        ColdReport {
            remaining: self.until.saturating_sub(now),
            age: now.saturating_sub(self.as_of),
        }
    }

    /// Returns the one of two statements that was made later.
    pub fn newer(a: Option<Self>, b: Option<Self>) -> Option<Self> {
        match (a, b) {
            (Some(a), Some(b)) if b.as_of > a.as_of => Some(b),
            (None, b) => b,
            (a, _) => a,
        }
    }
}

/// The cold time of one target, as this gateway knows it, and the slots granted to this gateway.
#[derive(Clone, Debug, Default)]
pub struct ColdLimit {
    /// The most recent statement.
    period: Option<ColdPeriod>,
    /// Time at which the target was last found unreachable; `None` if it was reached since.
    lost_at: Option<Micros>,
    /// Time of the target's last answer to this gateway.
    answered_at: Option<Micros>,
    /// Whether the service is known to have no rule, so that nothing is limited.
    unlimited: bool,
    /// Whether the target is asked on new connections, as [`ColdRule::asks`] says.
    asks: bool,
    grants: Grants,
    /// Whether the target counted as cold when grants were last planned.
    was_cold: bool,
    /// Time at which the target last counted as cold.
    cold_at: Option<Micros>,
    /// Whether there has been no statement since the target was replaced.
    new_run: bool,
}

impl ColdLimit {
    /// Merges a statement from another process. The end that it gives may be too late by up to
    /// [`ENTRY_DELAY`], the time that it may have been on its way. If it exceeds the known end of the
    /// same run by no more than that, the known end stays.
    pub fn merge(&mut self, now: Micros, period: ColdPeriod) {
        if self.period.is_some_and(|known| known.as_of >= period.as_of) {
            return;
        }
        let is_old = now.saturating_sub(period.as_of) >= ENTRY_DELAY;
        let new_run = std::mem::take(&mut self.new_run);
        let is_late = |known: &ColdPeriod| {
            let excess = period.until.saturating_sub(known.until);
            is_old && !new_run && excess > Micros::ZERO && excess <= ENTRY_DELAY
        };
        let until = match self.period.filter(is_late) {
            Some(known) => known.until,
            None => period.until,
        };
        self.period = Some(ColdPeriod { until, ..period });
        self.lost_at = self.lost_at.filter(|lost| *lost >= period.as_of);
    }

    /// Records the remaining cold time that the target has just reported itself.
    pub fn reported(&mut self, now: Micros, remaining: Micros) {
        let until = now + remaining.min(MAX_SPAN);
        self.period = Some(ColdPeriod { until, as_of: now });
        self.answered_at = Some(now);
        self.lost_at = None;
        self.new_run = false;
    }

    /// Assumes that the target is cold for `span` from now on.
    pub fn assume(&mut self, now: Micros, span: Micros) {
        self.period = Some(ColdPeriod {
            until: now + span,
            as_of: now,
        });
        self.new_run = false;
    }

    /// Records that the target cannot be reached.
    pub fn lost(&mut self, now: Micros) {
        self.lost_at = Some(now);
    }

    /// Records that the target has recently closed connections, as it does when it ends: it counts as
    /// lost unless it is known to be cold, since it has started again then.
    pub fn closed(&mut self, now: Micros) {
        if !self.is_in_period(now) && self.lost_at.is_none() {
            self.lost_at = Some(now);
        }
    }

    /// Records that the target was reached. If it was lost, it counts as cold for `span`.
    pub fn reached(&mut self, now: Micros, span: Micros) {
        if self.lost_at.take().is_some() {
            self.assume(now, span);
        }
    }

    /// Records an answer of the target.
    pub fn answered(&mut self, now: Micros) {
        self.answered_at = Some(now);
    }

    /// Time of the target's last answer.
    pub fn last_answer(&self) -> Option<Micros> {
        self.answered_at
    }

    /// Copies what was known of the target before it was replaced by a new run.
    pub fn inherit(&mut self, before: &ColdLimit) {
        self.period = before.period;
        self.lost_at = before.lost_at;
        self.new_run = true;
    }

    /// Whether the target counts as cold. A lost target does, unless it is asked how long it is cold on
    /// the connection that reaches it again.
    pub fn is_cold(&self, now: Micros) -> bool {
        let is_lost = self.lost_at.is_some() && !self.asks;
        !self.unlimited && (self.is_in_period(now) || is_lost)
    }

    /// Whether the target is cold by the most recent statement.
    fn is_in_period(&self, now: Micros) -> bool {
        self.period.is_some_and(|period| now < period.until)
    }

    /// The most recent statement; `None` if there is none.
    pub fn period(&self) -> Option<ColdPeriod> {
        self.period
    }

    /// The statement to send to other gateways: the most recent one while the target is cold, and for a
    /// few seconds afterwards, so that they learn of an earlier end. `None` if none is to be sent.
    pub fn period_to_send(&self, now: Micros) -> Option<ColdPeriod> {
        let is_recent = |at: Micros| now.saturating_sub(at) < REPORT_TIME;
        let was_cold = self.cold_at.is_some_and(is_recent);
        let is_due = self.is_in_period(now) || was_cold;
        self.period.filter(|_| !self.unlimited && is_due)
    }

    /// Plans the slots granted to this gateway. `rule` is that of the target's service, if it has one.
    /// Returns whether the target counts as cold from now on, if that has changed.
    pub fn plan(
        &mut self,
        now: Micros,
        rule: Option<&ColdRule>,
        input: &GrantInput<'_>,
    ) -> Option<bool> {
        self.unlimited = rule.is_none();
        self.asks = rule.is_some_and(|rule| rule.asks);
        let is_cold = self.is_cold(now);
        if is_cold {
            self.cold_at = Some(now);
        }
        match rule.filter(|_| is_cold) {
            Some(rule) => self.grants.plan(now, rule.rate, input),
            None => self.grants = Grants::default(),
        }
        let changed = is_cold != self.was_cold;
        self.was_cold = is_cold;
        changed.then_some(is_cold)
    }

    /// Whether this gateway may send a request to the target.
    pub fn has_room(&self, now: Micros) -> bool {
        !self.is_cold(now) || self.grants.is_open(now)
    }

    /// Takes the room for one request. Returns `false` if there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        !self.is_cold(now) || self.grants.take(now)
    }

    /// Time until this gateway has room, at most [`grants::HORIZON`], since other gateways may have room
    /// earlier. `None` if the target is not cold.
    pub fn time_to_room(&self, now: Micros) -> Option<Micros> {
        if !self.is_cold(now) {
            return None;
        }
        let remaining = self.period.map(|period| period.until.saturating_sub(now));
        let end = remaining.filter(|remaining| *remaining > Micros::ZERO);
        let grant = self.grants.time_to_next(now).unwrap_or(grants::HORIZON);
        Some(end.map_or(grant, |end| end.min(grant)))
    }
}

#[cfg(test)]
mod tests;
