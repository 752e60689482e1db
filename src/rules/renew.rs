//! Schedule of renewals. A renewal is a copy of the current rules version, appended again before
//! the log's retention drops the old record.
//!
//! Every reader of the rules stream may append a renewal. Each delays its own by a random jitter,
//! and restarts its period when it reads a renewal of another reader, so that few readers append.

use crate::units::Micros;

/// Renewal period for a short text. The period is reduced if records are seen to expire sooner.
pub const RENEW_PERIOD: Micros = Micros::from_secs(300);
/// Maximum rate at which renewals of a long text grow the log, in bytes per second. Bounds how much
/// a starting reader has to read, and how much every reader reads repeatedly.
pub const RENEW_BYTES_PER_S: u64 = 10;
/// Minimum time between renewals.
pub const MIN_PERIOD: Micros = Micros::from_secs(2);
/// Maximum jitter, which spreads the renewals of readers for which one is due at the same time.
pub const RENEW_SPREAD: Micros = Micros::from_secs(8);
/// How long a reader at the end of the stream waits for a renewal before it restarts the history.
pub const RESTART_WAIT: Micros = Micros::from_secs(20);

/// Number of renewals within the observed retention time of the log.
const RENEWALS_PER_RETENTION: u64 = 3;

/// Timing parameters of one reader.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Renewal period for a short text.
    pub period: Micros,
    /// This reader's jitter, less than [`RENEW_SPREAD`].
    pub jitter: Micros,
    /// How long to wait for a renewal before the history is restarted.
    pub restart_wait: Micros,
}

impl Timing {
    /// Creates the default parameters with a random jitter.
    pub fn random() -> Self {
        Timing {
            period: RENEW_PERIOD,
            jitter: Micros(rand::random_range(0..RENEW_SPREAD.0)),
            restart_wait: RESTART_WAIT,
        }
    }
}

/// Kind of renewal that is due to be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueAction {
    /// A renewal of the current version.
    Renew,
    /// A renewal that restarts the history from the active version.
    Restart,
}

/// Decides when a renewal is due.
#[derive(Debug)]
pub struct Schedule {
    timing: Timing,
    /// Maximum renewal period, derived from the observed retention time of the log.
    max_period: Micros,
    /// Highest [`super::record::Renewal::as_of`] of the renewals that were read.
    covered_offset: u64,
    /// Whether a read has shown that the log still contains that renewal.
    renewal_seen: bool,
    last_renewal: Micros,
    /// Time at which a renewal was requested without waiting for the period; `None` if none was.
    requested_since: Option<Micros>,
    /// Time since which the end of the stream has not confirmed the active version; `None` if it
    /// does or the end is not known.
    unconfirmed_since: Option<Micros>,
}

impl Schedule {
    /// Creates a schedule without any renewals.
    pub fn new(timing: Timing) -> Self {
        Schedule {
            timing,
            max_period: Micros::MAX,
            covered_offset: 0,
            renewal_seen: false,
            last_renewal: Micros::ZERO,
            requested_since: None,
            unconfirmed_since: None,
        }
    }

    /// Records that a renewal was read.
    pub fn record_renewal(&mut self, as_of: u64, now: Micros) {
        self.covered_offset = self.covered_offset.max(as_of);
        self.last_renewal = now;
        self.requested_since = None;
    }

    /// Forgets the renewals that were read, because the stream was recreated without them.
    pub fn reset(&mut self) {
        self.covered_offset = 0;
        self.renewal_seen = false;
    }

    /// Records that this reader is about to append a renewal.
    pub fn record_append(&mut self, now: Micros) {
        self.last_renewal = now;
        self.requested_since = None;
        self.unconfirmed_since = self.unconfirmed_since.map(|_| now);
    }

    /// Records that the log was read and that `first` is its oldest offset.
    pub fn record_read(&mut self, first: u64, now: Micros) {
        if first <= self.covered_offset {
            self.renewal_seen = true;
            return;
        }
        if std::mem::take(&mut self.renewal_seen) {
            let period = Micros((now - self.last_renewal).0 / RENEWALS_PER_RETENTION);
            self.max_period = self.max_period.min(period.max(MIN_PERIOD));
        }
        self.request(now);
    }

    /// Requests a renewal without waiting for the period.
    pub fn request(&mut self, now: Micros) {
        self.requested_since.get_or_insert(now);
    }

    /// Sets whether the end of the stream was read without confirming the active version.
    pub fn set_unconfirmed(&mut self, unconfirmed: bool, now: Micros) {
        if unconfirmed {
            self.unconfirmed_since.get_or_insert(now);
        } else {
            self.unconfirmed_since = None;
        }
    }

    /// Returns the renewal that is due now for a text of `bytes` bytes, or `None` if none is due.
    pub fn due(&self, now: Micros, bytes: usize) -> Option<DueAction> {
        if let Some(since) = self.unconfirmed_since {
            let due = now >= since + self.timing.restart_wait + self.timing.jitter;
            return due.then_some(DueAction::Restart);
        }
        let periodic = now >= self.last_renewal + self.period(bytes) + self.timing.jitter;
        let requested = self.requested_since.is_some_and(|since| {
            let spread = since + self.timing.jitter;
            now >= spread.max(self.last_renewal + MIN_PERIOD)
        });
        (periodic || requested).then_some(DueAction::Renew)
    }

    fn period(&self, bytes: usize) -> Micros {
        let affordable = Micros::from_secs(bytes as u64 / RENEW_BYTES_PER_S);
        affordable.max(self.timing.period).min(self.max_period)
    }
}
