//! When a reader of the rules stream appends the current version anew.
//!
//! Every reader may; each waits a different time, and one that reads another's renewal starts its
//! wait again, so that few append.

use crate::units::Micros;

/// How often a short text is appended anew, unless its records are seen to expire sooner.
pub const RENEW_PERIOD: Micros = Micros::from_secs(300);
/// Bytes a second that renewals of a long text may add to the log. Bounds what a late reader must
/// read, and what every reader reads again.
pub const RENEW_BYTES_PER_S: u64 = 10;
/// Shortest time between renewals.
pub const MIN_PERIOD: Micros = Micros::from_secs(2);
/// Longest time over which readers spread a renewal that all of them want.
pub const RENEW_SPREAD: Micros = Micros::from_secs(8);
/// How long the end of the stream is watched for a renewal before the history is started anew.
pub const RESTART_WAIT: Micros = Micros::from_secs(20);

/// Renewals within the time that records were last seen to last.
const RENEWALS_PER_RETENTION: u64 = 3;

/// Times of one reader.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often a short text is appended anew.
    pub period: Micros,
    /// This reader's part of [`RENEW_SPREAD`].
    pub jitter: Micros,
    /// How long to wait before the history is started anew.
    pub wait: Micros,
}

impl Timing {
    /// The usual times, with a random part of [`RENEW_SPREAD`].
    pub fn random() -> Self {
        Timing {
            period: RENEW_PERIOD,
            jitter: Micros(rand::random_range(0..RENEW_SPREAD.0)),
            wait: RESTART_WAIT,
        }
    }
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Append the current version anew.
    Renew,
    /// Start the history anew from the version in force.
    Restart,
}

/// Decides when a renewal is due.
#[derive(Debug)]
pub struct Schedule {
    timing: Timing,
    /// Longest period, as learnt from records that expired.
    limit: Micros,
    /// The newest offset that a renewal tells the version of.
    covered: u64,
    /// Whether the log was seen to hold that renewal.
    held: bool,
    renewed: Micros,
    /// Since when a renewal is wanted at once.
    wanted: Option<Micros>,
    /// Since when the end of the stream does not tell the version in force.
    unconfirmed: Option<Micros>,
}

impl Schedule {
    /// A schedule that has seen no renewal.
    pub fn new(timing: Timing) -> Self {
        Schedule {
            timing,
            limit: Micros::MAX,
            covered: 0,
            held: false,
            renewed: Micros::ZERO,
            wanted: None,
            unconfirmed: None,
        }
    }

    /// A renewal was read.
    pub fn renewed(&mut self, as_of: u64, now: Micros) {
        self.covered = self.covered.max(as_of);
        self.renewed = now;
        self.wanted = None;
    }

    /// The stream was begun anew: no renewal is in it.
    pub fn begun_anew(&mut self) {
        self.covered = 0;
        self.held = false;
    }

    /// This reader is about to append.
    pub fn appended(&mut self, now: Micros) {
        self.renewed = now;
        self.wanted = None;
        self.unconfirmed = self.unconfirmed.map(|_| now);
    }

    /// The log was read and holds the records from `first` on.
    pub fn read(&mut self, first: u64, now: Micros) {
        if first <= self.covered {
            self.held = true;
            return;
        }
        if std::mem::take(&mut self.held) {
            let lasted = Micros((now - self.renewed).0 / RENEWALS_PER_RETENTION);
            self.limit = self.limit.min(lasted.max(MIN_PERIOD));
        }
        self.wanted(now);
    }

    /// A renewal is wanted at once.
    pub fn wanted(&mut self, now: Micros) {
        self.wanted.get_or_insert(now);
    }

    /// Whether the end of the stream was read and does not tell the version in force.
    pub fn unconfirmed(&mut self, waits: bool, now: Micros) {
        if waits {
            self.unconfirmed.get_or_insert(now);
        } else {
            self.unconfirmed = None;
        }
    }

    /// What is due now, for a text of this many bytes.
    pub fn due(&self, now: Micros, bytes: usize) -> Option<Due> {
        if let Some(since) = self.unconfirmed {
            let due = now >= since + self.timing.wait + self.timing.jitter;
            return due.then_some(Due::Restart);
        }
        let periodic = now >= self.renewed + self.period(bytes) + self.timing.jitter;
        let wanted = self.wanted.is_some_and(|since| {
            let spread = since + self.timing.jitter;
            now >= spread.max(self.renewed + MIN_PERIOD)
        });
        (periodic || wanted).then_some(Due::Renew)
    }

    fn period(&self, bytes: usize) -> Micros {
        let affordable = Micros::from_secs(bytes as u64 / RENEW_BYTES_PER_S);
        affordable.max(self.timing.period).min(self.limit)
    }
}
