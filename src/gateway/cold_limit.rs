//! Keeps to the rate of requests that a cold target can take from all gateways together.
//!
//! Load pattern: a target, or all targets of a zone, start again under full load. For some seconds
//! each of them can take a few requests a second from the whole fleet; one that gets far more
//! crashes. Up to hundreds of gateways send to it as soon as it answers, and most of them have not
//! heard that it was away.
//!
//! - How long a target is cold is known from its answer on a new connection, from its list entry,
//!   and from other gateways. The statement that is known to be made last counts. A target that was
//!   lost and is reached again counts as cold until a statement says otherwise.
//! - The gateways take turns at a cold target ([`turns`]). Little is saved up, and the turns do not
//!   depend on what the gateways hear of each other.
//! - The limit ends with the cold time, without a further message.
//!
//! Performs no I/O.

pub mod turns;

use crate::gateway::cold_limit::turns::{Turns, TurnsInput};
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

/// How long a target is cold, as sent between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// Remaining cold time; zero if the target is not cold.
    pub remaining: Micros,
    /// Time since the statement was made, at most.
    pub age: Micros,
}

/// How long a target is cold, on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdNotice {
    /// End of the cold time.
    pub until: Micros,
    /// Earliest time at which the statement can have been made.
    pub as_of: Micros,
}

impl ColdNotice {
    /// Converts a report that was received at `now`.
    pub fn received(now: Micros, report: ColdReport) -> Self {
        ColdNotice {
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

/// The cold time of one target, as this gateway knows it, and this gateway's turns at it.
#[derive(Clone, Debug, Default)]
pub struct ColdLimit {
    notice: Option<ColdNotice>,
    /// Time at which the target was last found unreachable; `None` if it was reached since.
    lost_at: Option<Micros>,
    /// Time of the target's last answer to this gateway.
    answered_at: Option<Micros>,
    /// Whether the service is known to have no rule, so that nothing is limited.
    unlimited: bool,
    asks: bool,
    turns: Turns,
    was_cold: bool,
    /// Time at which the target last counted as cold.
    cold_at: Option<Micros>,
    /// Whether nothing has been learned since the target was replaced.
    new_run: bool,
}

impl ColdLimit {
    /// Records a statement from another process. The end that it gives may be too late by up to
    /// [`ENTRY_DELAY`], the time that it may have been on its way. If it exceeds the known end of the
    /// same run by no more than that, the known end stays.
    pub fn learn(&mut self, now: Micros, notice: ColdNotice) {
        if self.notice.is_some_and(|known| known.as_of >= notice.as_of) {
            return;
        }
        let is_old = now.saturating_sub(notice.as_of) >= ENTRY_DELAY;
        let new_run = std::mem::take(&mut self.new_run);
        let late = |known: &ColdNotice| {
            let excess = notice.until.saturating_sub(known.until);
            is_old && !new_run && excess > Micros::ZERO && excess <= ENTRY_DELAY
        };
        let until = match self.notice.filter(late) {
            Some(known) => known.until,
            None => notice.until,
        };
        self.notice = Some(ColdNotice { until, ..notice });
        self.lost_at = self.lost_at.filter(|lost| *lost >= notice.as_of);
    }

    /// Records how long the target itself said just now that it is cold.
    pub fn told(&mut self, now: Micros, remaining: Micros) {
        let until = now + remaining.min(MAX_SPAN);
        self.notice = Some(ColdNotice { until, as_of: now });
        self.answered_at = Some(now);
        self.lost_at = None;
        self.new_run = false;
    }

    /// Assumes that the target is cold for `span` from now on.
    pub fn assume(&mut self, now: Micros, span: Micros) {
        self.notice = Some(ColdNotice {
            until: now + span,
            as_of: now,
        });
        self.new_run = false;
    }

    /// Records that the target cannot be reached.
    pub fn lost(&mut self, now: Micros) {
        self.lost_at = Some(now);
    }

    /// Records that the target has closed connections of late. While it is known to be cold, it is
    /// known that it has started again.
    pub fn closed(&mut self, now: Micros) {
        let told = self.notice.is_some_and(|notice| now < notice.until);
        if !told && self.lost_at.is_none() {
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

    /// Takes over what was known of the target before it was replaced.
    pub fn replaces(&mut self, before: &ColdLimit) {
        self.notice = before.notice;
        self.lost_at = before.lost_at;
        self.new_run = true;
    }

    /// Whether the target counts as cold. One that is lost does if it cannot be asked on the
    /// connection that finds it again.
    pub fn is_cold(&self, now: Micros) -> bool {
        let told = self.notice.is_some_and(|notice| now < notice.until);
        let is_lost = self.lost_at.is_some() && !self.asks;
        !self.unlimited && (told || is_lost)
    }

    /// The last statement; `None` if there is none.
    pub fn notice(&self) -> Option<ColdNotice> {
        self.notice
    }

    /// What this gateway tells others of the target; `None` if that is nothing.
    pub fn report(&self, now: Micros) -> Option<ColdNotice> {
        let was_cold = |at: Micros| now.saturating_sub(at) < REPORT_TIME;
        let was_cold = self.cold_at.is_some_and(was_cold);
        let tells = |notice: &ColdNotice| now < notice.until || was_cold;
        self.notice
            .filter(|notice| !self.unlimited && tells(notice))
    }

    /// Plans this gateway's turns. `rule` is that of the target's service, if it has one. Returns
    /// whether the target counts as cold from now on, if that has changed.
    pub fn plan(
        &mut self,
        now: Micros,
        rule: Option<&ColdRule>,
        input: &TurnsInput<'_>,
    ) -> Option<bool> {
        self.unlimited = rule.is_none();
        self.asks = rule.is_some_and(|rule| rule.asks);
        let is_cold = self.is_cold(now);
        if is_cold {
            self.cold_at = Some(now);
        }
        match rule.filter(|_| is_cold) {
            Some(rule) => self.turns.plan(now, rule.rate, input),
            None => self.turns = Turns::default(),
        }
        let changed = is_cold != self.was_cold;
        self.was_cold = is_cold;
        changed.then_some(is_cold)
    }

    /// Whether this gateway may send a request to the target.
    pub fn has_room(&self, now: Micros) -> bool {
        !self.is_cold(now) || self.turns.is_open(now)
    }

    /// Takes the room for one request; returns `false` if there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        !self.is_cold(now) || self.turns.take(now)
    }

    /// Time until this gateway has room, at most that for which turns are planned: other gateways
    /// have turns in the meantime. `None` if the target is not cold.
    pub fn time_to_room(&self, now: Micros) -> Option<Micros> {
        if !self.is_cold(now) {
            return None;
        }
        let until = self.notice.map(|notice| notice.until.saturating_sub(now));
        let end = until.filter(|until| *until > Micros::ZERO);
        let turn = self.turns.time_to_next(now).unwrap_or(turns::HORIZON);
        Some(end.map_or(turn, |end| end.min(turn)))
    }
}

#[cfg(test)]
mod tests;
