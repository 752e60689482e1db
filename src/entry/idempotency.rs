//! Claims on idempotency keys: reads all claims from the log, and appends this entry's own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;

use crate::claim::{
    Claim, ClaimId, ClaimOutcome, ClaimReport, ClaimStatus, Claims, Digest, KeyState, Record,
};
use crate::ids::BootId;
use crate::log::{AppendError, CLAIMS, Client, Log, ReadError};
use crate::problem::{Problem, Reason};
use crate::units::Clock;

/// Long-poll timeout of a read of the log.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Maximum time until an appended claim is read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of attempts to append a report.
const REPORT_ATTEMPTS: u32 = 5;
/// Pause between two attempts to append a report.
const REPORT_PAUSE: Duration = Duration::from_secs(1);
/// Retry delay sent to callers while the log is unavailable.
const LOG_RETRY: Duration = Duration::from_secs(2);
/// Maximum number of this entry's claims whose requests have not finished.
const MAX_UNFINISHED: usize = 16_384;

/// The entry's view of the claims in the log. Clones share the state.
#[derive(Clone, Debug)]
pub struct KeyClaims {
    state: Arc<Mutex<State>>,
    log: Client,
    updates: watch::Sender<u64>,
    clock: Clock,
    address: SocketAddr,
    boot: BootId,
    reports: TaskTracker,
}

#[derive(Debug, Default)]
struct State {
    claims: Claims,
    unfinished: HashMap<ClaimId, Claim>,
    reachable: bool,
}

impl State {
    /// Returns the offset to read from and the long-poll timeout. The timeout is zero after an
    /// outage, so that keys can be claimed again as soon as possible.
    fn next_read(&self) -> (u64, Duration) {
        let wait = match self.claims.ready() && self.reachable {
            true => READ_WAIT,
            false => Duration::ZERO,
        };
        (self.claims.next_offset(), wait)
    }
}

/// The result of claiming an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim of this request holds the key; the request may run.
    Acquired(ClaimId),
    /// An earlier request with the same key and content holds the key: its entry, the boot id of
    /// that entry, and its outcome if known.
    Held(SocketAddr, BootId, Option<ClaimOutcome>),
}

impl KeyClaims {
    /// Creates the claims of an entry that callers reach at `address`.
    pub fn new(log: Client, clock: Clock, address: SocketAddr, boot: BootId) -> Self {
        let state = Arc::default();
        KeyClaims {
            state,
            log,
            updates: watch::Sender::new(0),
            clock,
            address,
            boot,
            reports: TaskTracker::new(),
        }
    }

    /// Reads the log until the process ends.
    pub async fn follow(self) {
        loop {
            let (from, wait) = self.lock().next_read();
            match self.log.read(CLAIMS, from, wait).await {
                Ok(page) => {
                    let mut releases = Vec::new();
                    let mut state = self.lock();
                    state.reachable = true;
                    for record in &page.records {
                        match Record::try_from(record.data.as_ref()) {
                            Ok(known) => releases.extend(state.claims.apply(record.offset, &known)),
                            Err(_) => state.claims.skip(record.offset),
                        }
                    }
                    if state.claims.next_offset() >= page.next {
                        state.claims.caught_up(page.first);
                    }
                    drop(state);
                    releases.into_iter().for_each(|r| self.report(r));
                    self.updates.send_modify(|n| *n += 1);
                }
                Err(ReadError::Expired { first }) => self.lock().claims.caught_up(first),
                Err(_) => {
                    self.lock().reachable = false;
                    tokio::time::sleep(READ_PAUSE).await;
                }
            }
        }
    }

    /// Claims a key for a request, or returns its holder.
    ///
    /// # Errors
    /// Returns a problem if the key was used with a different request, or the log cannot be written
    /// or read. The request has not run in these cases.
    pub async fn claim(
        &self,
        account: &str,
        key: &str,
        request: Digest,
    ) -> Result<ClaimResult, Problem> {
        let digest = Digest::of_key(account, key.as_bytes());
        if let Some(result) = self.lookup(digest, request)? {
            return Ok(result);
        }
        let claim = Claim {
            id: ClaimId::random(),
            account: account.to_owned(),
            key: digest,
            request,
            entry: self.address,
            boot: self.boot,
        };
        let id = claim.id;
        let record = Record::Claim(claim.clone())
            .encode()
            .map_err(|_| BAD_REQUEST)?;
        self.register(claim)?;
        let until = Instant::now() + CLAIM_TIMEOUT;
        if let Err(AppendError::NotAppended(_)) = self.log.append(CLAIMS, record.into()).await {
            self.abandon(id);
            return Err(log_unavailable());
        }
        // If the append's response was lost, reading the log still shows whether it succeeded.
        match self.wait_for_status(id, until).await {
            Some(ClaimStatus::Won(_)) => Ok(ClaimResult::Acquired(id)),
            Some(ClaimStatus::Lost) => {
                self.release(id);
                self.lookup(digest, request)?.ok_or_else(log_unavailable)
            }
            _ if self.abandon(id) => Err(log_unavailable()),
            // The claim was read back between the time-out and `abandon`.
            _ => Ok(ClaimResult::Acquired(id)),
        }
    }

    /// Returns the fencing number to dispatch a claimed request with, or `None` if it must not be
    /// dispatched.
    pub fn dispatch_fence(&self, id: ClaimId) -> Option<u64> {
        self.lock().claims.dispatch_fence(self.clock.now(), id)
    }

    /// Appends the outcome of a claimed request to the log, and releases the claim.
    pub fn finish(&self, id: ClaimId, outcome: ClaimOutcome) {
        let claim = self.lock().unfinished.remove(&id);
        self.lock().claims.unregister(id);
        if let Some(claim) = claim {
            self.report(ClaimReport {
                id,
                key: claim.key,
                boot: claim.boot,
                outcome,
            });
        }
    }

    /// Waits until every report has been appended or has failed in all attempts. No claim may be
    /// made after this call.
    pub async fn flush_reports(&self) {
        self.reports.close();
        self.reports.wait().await;
    }

    fn lookup(&self, key: Digest, request: Digest) -> Result<Option<ClaimResult>, Problem> {
        let state = self.lock();
        match state.claims.lookup(key, request) {
            KeyState::Held(holder) => Ok(Some(ClaimResult::Held(
                holder.entry,
                holder.boot,
                holder.outcome,
            ))),
            KeyState::Reused => Err(Problem::not_run(422, Reason::KeyReused)),
            KeyState::Free if state.claims.ready() && state.reachable => Ok(None),
            KeyState::Free => Err(log_unavailable()),
        }
    }

    fn register(&self, claim: Claim) -> Result<(), Problem> {
        let mut state = self.lock();
        if state.unfinished.len() >= MAX_UNFINISHED {
            return Err(log_unavailable());
        }
        state.claims.register(self.clock.now(), claim.id);
        state.unfinished.insert(claim.id, claim);
        Ok(())
    }

    /// Waits until the claim has been read back from the log. Returns `None` if that has not
    /// happened by `until`, or if the claim is unknown.
    async fn wait_for_status(&self, id: ClaimId, until: Instant) -> Option<ClaimStatus> {
        let mut updates = self.updates.subscribe();
        loop {
            updates.mark_unchanged();
            match self.lock().claims.status(id) {
                Some(ClaimStatus::Pending) => {}
                status => return status,
            }
            timeout_at(until, updates.changed()).await.ok()?.ok()?;
        }
    }

    /// Gives up a claim that has not been read back. Returns `false` if the claim has been read
    /// back.
    fn abandon(&self, id: ClaimId) -> bool {
        let mut state = self.lock();
        let abandoned = state.claims.abandon(id);
        if abandoned {
            state.unfinished.remove(&id);
        }
        abandoned
    }

    fn release(&self, id: ClaimId) {
        let mut state = self.lock();
        state.unfinished.remove(&id);
        state.claims.unregister(id);
    }

    /// Appends a report in the background, with retries. If all fail, the key stays claimed
    /// without an outcome.
    fn report(&self, report: ClaimReport) {
        let Ok(record) = Record::Report(report).encode() else {
            return;
        };
        let (log, record) = (self.log.clone(), Bytes::from(record));
        self.reports.spawn(async move {
            for _ in 0..REPORT_ATTEMPTS {
                if log.append(CLAIMS, record.clone()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(REPORT_PAUSE).await;
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the claims panics")
    }
}

const BAD_REQUEST: Problem = Problem::not_run(400, Reason::BadRequest);

fn log_unavailable() -> Problem {
    Problem::not_run(503, Reason::LogUnavailable).retry_after(LOG_RETRY)
}
