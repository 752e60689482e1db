//! When the platform's list could be read, and which outages of it were real.
//!
//! Performs no I/O.

use crate::units::Micros;

/// Longest time between two confirmations of the list without an outage between them. A gateway
/// whose reader dies reads for itself within this time, and entries do not lapse in less.
pub const MAX_GAP: Micros = Micros::from_ms(1_500);
/// Minimum length of an outage in which entries may have lapsed.
const MIN_OUTAGE: Micros = Micros::from_ms(900);
/// Time after the end of an outage from which the reports of other gateways count. Earlier ones may
/// be left from before the outage, as this process may have been frozen.
const REPORT_DELAY: Micros = Micros::from_ms(250);

/// The time span in which a gateway's list was confirmed by the platform without an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// Time of the first confirmation.
    pub since: Micros,
    /// Time of the last confirmation.
    pub last: Micros,
}

/// A time in which this gateway's list was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Time of the last confirmation before it.
    pub start: Micros,
    /// Time at which the platform could be read again, as far as known.
    pub end: Micros,
}

/// Tracks the confirmations of one gateway's list, whether it reads the list or copies it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    confirmed: Option<Confirmed>,
    outage: Option<Outage>,
}

impl Availability {
    /// The present span of confirmations; `None` before the first one.
    pub fn confirmed(&self) -> Option<Confirmed> {
        self.confirmed
    }

    /// The last outage, unless it turned out to be one of this gateway's link only.
    pub fn outage(&self) -> Option<Outage> {
        self.outage
    }

    /// Records that the first confirmation, at `at`, ends an outage that began before this process.
    pub fn confirm_after_outage(&mut self, at: Micros) -> Option<Outage> {
        let start = Micros::ZERO;
        self.confirmed = Some(Confirmed {
            since: at,
            last: at,
        });
        self.outage = Some(Outage { start, end: at });
        self.outage
    }

    /// Whether the list was confirmed so recently that no outage can have begun since.
    pub fn is_current(&self, now: Micros) -> bool {
        let confirmed = self.confirmed;
        confirmed.is_some_and(|span| now.saturating_sub(span.last) <= MAX_GAP)
    }

    /// Records that the platform confirmed the list at `at`. Returns the outage that this ends.
    pub fn confirm(&mut self, at: Micros) -> Option<Outage> {
        let Some(confirmed) = &mut self.confirmed else {
            self.confirmed = Some(Confirmed {
                since: at,
                last: at,
            });
            return None;
        };
        let start = confirmed.last;
        confirmed.last = start.max(at);
        if at.saturating_sub(start) <= MAX_GAP {
            return None;
        }
        confirmed.since = at;
        self.outage = Some(Outage { start, end: at });
        self.outage
    }

    /// Corrects the last outage by what other gateways report of their lists. The platform was
    /// available from the earliest time since which any of them was confirmed without an outage.
    pub fn compare(&mut self, now: Micros, others: impl Iterator<Item = Confirmed>) {
        let Some(outage) = &mut self.outage else {
            return;
        };
        if now < outage.end + REPORT_DELAY {
            return;
        }
        // A span that ended before the outage tells nothing of it.
        let current = others.filter(|other| other.last + MAX_GAP >= outage.end);
        let since = current.map(|other| other.since).min();
        outage.end = outage.end.min(since.unwrap_or(outage.end));
        if outage.end.saturating_sub(outage.start) < MIN_OUTAGE {
            self.outage = None;
        }
    }
}
