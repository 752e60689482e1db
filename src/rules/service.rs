//! Background task that reads the rules stream of the platform's log, publishes the active rules,
//! and appends renewals.
//!
//! A renewal is a copy of the current version, appended again before the log's retention drops the
//! old record. The active version is the highest one accepted from the log or from a peer, which is
//! another entry (router process). It is confirmed while the last read has reached the end of the
//! log and the current version, the one that the records in the log determine, is the active one.

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

/// Maximum time that one read waits for a record.
pub const READ_WAIT: Duration = Duration::from_secs(10);
/// Maximum time that one read waits for a record while the active version is not confirmed.
pub const UNCONFIRMED_READ_WAIT: Duration = Duration::from_secs(1);
/// Delay after the first failed read, before jitter; the delay doubles with each consecutive
/// failure. Also the delay after a read that returned early without records.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay after a failed read, before jitter.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

const PEER_QUEUE_LEN: usize = 64;

/// The published state of the rules.
#[derive(Clone, Debug, Default)]
pub struct RulesState {
    /// Lookup table of the active version; an empty table with version 0 until a version is
    /// received.
    pub table: Arc<Table>,
    /// The active version with its text, which is served to peers; `None` until one is received.
    /// The table is of an older version if this build cannot parse the text.
    pub accepted: Option<RulesVersion>,
    /// Whether the active version is confirmed by the log.
    pub confirmed: bool,
    /// Whether the platform answered the last read of the log.
    pub reachable: bool,
    /// Number of failed reads of the log.
    pub failures: u64,
    /// Number of records by outcome.
    pub counts: Counts,
}

/// The active version of a peer.
#[derive(Clone, Debug)]
pub struct PeerVersion {
    /// Number of the version.
    pub version: u64,
    /// The text of the rules file.
    pub text: Arc<str>,
}

/// Handle to the running task, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    state: watch::Receiver<RulesState>,
    table: watch::Receiver<Arc<Table>>,
    peer_versions: mpsc::Sender<PeerVersion>,
}

impl Handle {
    /// Returns a receiver for the lookup table of the active version.
    pub fn table(&self) -> watch::Receiver<Arc<Table>> {
        self.table.clone()
    }

    /// Returns a receiver for the state of the rules.
    pub fn state(&self) -> watch::Receiver<RulesState> {
        self.state.clone()
    }

    /// Offers a peer's active version to the task. The offer is dropped if the queue is full, since
    /// peers are asked again while the active version is not confirmed.
    pub fn offer_from_peer(&self, version: u64, text: Arc<str>) {
        let _ = self.peer_versions.try_send(PeerVersion { version, text });
    }
}

/// Starts the task on the current runtime.
pub fn spawn<L: Log>(log: L, timing: Timing) -> Handle {
    let (state_sender, state) = watch::channel(RulesState::default());
    let (table_sender, table) = watch::channel(Arc::new(Table::default()));
    let (peer_sender, peer_versions) = mpsc::channel(PEER_QUEUE_LEN);
    let task = RulesTask {
        log,
        clock: Clock::start(),
        follower: Follower::new(timing),
        state: state_sender,
        table: table_sender,
        peer_versions,
        backoff: MIN_BACKOFF,
        reachable: false,
        failures: 0,
    };
    tokio::spawn(task.run());
    Handle {
        state,
        table,
        peer_versions: peer_sender,
    }
}

struct RulesTask<L> {
    log: L,
    clock: Clock,
    follower: Follower,
    state: watch::Sender<RulesState>,
    table: watch::Sender<Arc<Table>>,
    peer_versions: mpsc::Receiver<PeerVersion>,
    backoff: Duration,
    reachable: bool,
    failures: u64,
}

impl<L: Log> RulesTask<L> {
    async fn run(mut self) {
        loop {
            let delay = match self.read_once().await {
                ReadStep::Stopped => return,
                ReadStep::Failed => self.next_backoff(),
                ReadStep::Throttle => MIN_BACKOFF,
                ReadStep::Continue => Duration::ZERO,
            };
            self.publish();
            self.append_renewal().await;
            self.sleep(delay).await;
        }
    }

    /// Reads from the log once, and handles versions offered by peers until the read returns.
    async fn read_once(&mut self) -> ReadStep {
        let wait = if self.follower.confirmed() {
            READ_WAIT
        } else {
            UNCONFIRMED_READ_WAIT
        };
        let log = self.log.clone();
        let started = self.clock.now();
        let mut read = pin!(log.read(RULES, self.follower.next_offset(), wait));
        let result = loop {
            tokio::select! {
                result = &mut read => break result,
                peer = self.peer_versions.recv() => match peer {
                    Some(peer) => self.handle_peer_version(&peer),
                    None => return ReadStep::Stopped,
                },
            }
        };
        let early = self.clock.now() - started < Micros::from(wait / 2);
        self.handle_read(result, early)
    }

    fn handle_read(&mut self, result: Result<Page, ReadError>, early: bool) -> ReadStep {
        let now = self.clock.now();
        self.reachable = !matches!(result, Err(ReadError::Failed(_)));
        match result {
            Ok(page) => {
                self.follower.apply_page(&page, now);
                let throttle = early && page.records.is_empty();
                if throttle {
                    ReadStep::Throttle
                } else {
                    ReadStep::Continue
                }
            }
            Err(ReadError::Expired { first }) => {
                // If the offset to read from does not advance, an immediate read could fail again.
                let throttle = first <= self.follower.next_offset();
                self.follower.skip_to(first);
                if throttle {
                    ReadStep::Throttle
                } else {
                    ReadStep::Continue
                }
            }
            Err(ReadError::Failed(_)) => {
                self.failures += 1;
                self.follower.mark_unavailable(now);
                ReadStep::Failed
            }
        }
    }

    fn handle_peer_version(&mut self, peer: &PeerVersion) {
        if self.follower.offer_from_peer(peer.version, &peer.text) {
            self.publish();
        }
    }

    async fn append_renewal(&mut self) {
        let now = self.clock.now();
        let Some(record) = self.follower.take_renewal(now) else {
            return;
        };
        // An error is ignored: if the record was appended anyway, it is read back from the log;
        // otherwise a renewal becomes due again.
        let _ = self.log.append(RULES, Record::encode(&record)).await;
    }

    /// Waits before the next read, and handles versions offered by peers in the meantime.
    async fn sleep(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            tokio::select! {
                () = tokio::time::sleep_until(end) => return,
                peer = self.peer_versions.recv() => match peer {
                    Some(peer) => self.handle_peer_version(&peer),
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

    /// Publishes the state of the rules. Also resets the backoff if the log is reachable.
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

/// Result of one read, which determines the delay before the next.
enum ReadStep {
    /// The read returned records or waited for them: the next read follows at once.
    Continue,
    /// The read returned early without records: the next one is delayed, to avoid a busy loop.
    Throttle,
    /// The log could not be read.
    Failed,
    /// All handles were dropped.
    Stopped,
}

/// Returns the table of the accepted text, or the previous table if there is no new text or this
/// build cannot parse it.
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
