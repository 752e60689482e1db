//! Follows the rules in the log and publishes the table in force, renewing what is about to
//! expire.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::history::{Counts, Follower};
use super::parse::parse;
use super::record::{Record, RulesVersion};
use super::renew::Timing;
use super::table::Table;
use crate::log::{Log, Page, RULES, ReadError};
use crate::units::{Clock, Micros};

/// Longest time that one read waits for a record.
pub const READ_WAIT: Duration = Duration::from_secs(10);
/// Longest time that one read waits while the version in force is not confirmed.
pub const SEEK_WAIT: Duration = Duration::from_secs(1);
/// Wait after the first failed read in a row.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait after a failed read.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

const OFFERS: usize = 64;

/// What the service knows, as it publishes it.
#[derive(Clone, Debug, Default)]
pub struct RulesState {
    /// The table in force; version 0 before the first.
    pub table: Arc<Table>,
    /// The version in force with its text, to serve to peers; its number is above the table's
    /// while this build cannot read its text.
    pub accepted: Option<RulesVersion>,
    /// Whether the log tells the version in force.
    pub confirmed: bool,
    /// Whether the last read of the log succeeded.
    pub reachable: bool,
    /// Reads of the log that failed.
    pub failures: u64,
    /// Records counted.
    pub counts: Counts,
}

/// A version that a peer has in force.
#[derive(Clone, Debug)]
pub struct PeerVersion {
    /// Its number.
    pub version: u64,
    /// The text of the rules file.
    pub text: Arc<str>,
}

/// A handle to the running service. The service ends when its last handle is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    state: watch::Receiver<RulesState>,
    table: watch::Receiver<Arc<Table>>,
    offers: mpsc::Sender<PeerVersion>,
}

impl Handle {
    /// The table in force, as it changes.
    pub fn table(&self) -> watch::Receiver<Arc<Table>> {
        self.table.clone()
    }

    /// All that the service knows, as it changes.
    pub fn state(&self) -> watch::Receiver<RulesState> {
        self.state.clone()
    }

    /// Passes on a version that a peer has in force. Dropped when many are waiting; peers repeat
    /// theirs.
    pub fn offer_from_peer(&self, version: u64, text: Arc<str>) {
        let _ = self.offers.try_send(PeerVersion { version, text });
    }
}

/// Starts the service on the current runtime.
pub fn spawn<L: Log>(log: L, timing: Timing) -> Handle {
    let (state_sender, state) = watch::channel(RulesState::default());
    let (table_sender, table) = watch::channel(Arc::new(Table::default()));
    let (offer_sender, offers) = mpsc::channel(OFFERS);
    let service = Service {
        log,
        clock: Clock::start(),
        follower: Follower::new(timing),
        state: state_sender,
        table: table_sender,
        offers,
        backoff: MIN_BACKOFF,
        reachable: false,
        failures: 0,
    };
    tokio::spawn(service.run());
    Handle {
        state,
        table,
        offers: offer_sender,
    }
}

struct Service<L> {
    log: L,
    clock: Clock,
    follower: Follower,
    state: watch::Sender<RulesState>,
    table: watch::Sender<Arc<Table>>,
    offers: mpsc::Receiver<PeerVersion>,
    backoff: Duration,
    reachable: bool,
    failures: u64,
}

impl<L: Log> Service<L> {
    async fn run(mut self) {
        loop {
            let pause = match self.follow().await {
                Step::Ended => return,
                Step::Failed => self.next_backoff(),
                Step::Idle => MIN_BACKOFF,
                Step::Went => Duration::ZERO,
            };
            self.publish();
            self.renew().await;
            self.pause(pause).await;
        }
    }

    /// Reads once, and takes the offers that come meanwhile.
    async fn follow(&mut self) -> Step {
        let wait = if self.follower.confirmed() {
            READ_WAIT
        } else {
            SEEK_WAIT
        };
        let log = self.log.clone();
        let begun = self.clock.now();
        let mut read = pin!(log.read(RULES, self.follower.next_offset(), wait));
        let result = loop {
            tokio::select! {
                result = &mut read => break result,
                offer = self.offers.recv() => match offer {
                    Some(offer) => self.take(&offer),
                    None => return Step::Ended,
                },
            }
        };
        let early = self.clock.now() - begun < Micros::from(wait / 2);
        self.took(result, early)
    }

    fn took(&mut self, result: Result<Page, ReadError>, early: bool) -> Step {
        let now = self.clock.now();
        self.reachable = !matches!(result, Err(ReadError::Failed(_)));
        match result {
            Ok(page) => {
                self.follower.apply_page(&page, now);
                let idle = early && page.records.is_empty();
                if idle { Step::Idle } else { Step::Went }
            }
            Err(ReadError::Expired { first }) => {
                let idle = first <= self.follower.next_offset();
                self.follower.skip_to(first);
                if idle { Step::Idle } else { Step::Went }
            }
            Err(ReadError::Failed(_)) => {
                self.failures += 1;
                self.follower.mark_unavailable(now);
                Step::Failed
            }
        }
    }

    fn take(&mut self, offer: &PeerVersion) {
        if self.follower.offer_from_peer(offer.version, &offer.text) {
            self.publish();
        }
    }

    async fn renew(&mut self) {
        let now = self.clock.now();
        let Some(record) = self.follower.renewal(now) else {
            return;
        };
        // A lost answer needs no care: the record is read back, or becomes due again.
        let _ = self.log.append(RULES, Record::encode(&record)).await;
    }

    /// Waits before the next read, still taking offers.
    async fn pause(&mut self, pause: Duration) {
        let end = Instant::now() + pause;
        while Instant::now() < end {
            tokio::select! {
                () = tokio::time::sleep_until(end) => return,
                offer = self.offers.recv() => match offer {
                    Some(offer) => self.take(&offer),
                    None => return,
                },
            }
        }
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        backoff.mul_f64(rand::random_range(0.5..1.0))
    }

    fn publish(&mut self) {
        if self.reachable {
            self.backoff = MIN_BACKOFF;
        }
        let accepted = self.follower.active();
        let before = self.state.borrow().clone();
        let changed = before.accepted.as_ref() != accepted;
        let next = RulesState {
            table: next_table(&before.table, accepted, changed),
            accepted: accepted.cloned(),
            confirmed: self.follower.confirmed(),
            reachable: self.reachable,
            failures: self.failures,
            counts: self.follower.counts(),
        };
        if !Arc::ptr_eq(&next.table, &before.table) {
            self.table.send_replace(next.table.clone());
        }
        self.state.send_replace(next);
    }
}

/// How a read ended.
enum Step {
    /// It brought something, or waited for it.
    Went,
    /// It brought nothing and did not wait.
    Idle,
    /// The log was not read.
    Failed,
    /// The service is no longer wanted.
    Ended,
}

/// The table of the accepted text; the one before while there is none that this build can read.
fn next_table(before: &Arc<Table>, accepted: Option<&RulesVersion>, changed: bool) -> Arc<Table> {
    let Some(accepted) = accepted.filter(|_| changed) else {
        return before.clone();
    };
    match parse(&accepted.text) {
        Ok(rules) => Arc::new(rules.table(before, accepted.version)),
        Err(_) => before.clone(),
    }
}

#[cfg(test)]
mod tests;
