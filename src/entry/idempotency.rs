//! Idempotency keys at an entry: follows the claims in the log and makes this entry's own.

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

/// Longest time that one read of the log waits for a record.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for an appended claim to be read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a report is appended before it is given up.
const REPORT_TRIES: u32 = 5;
/// Pause between two tries to append a report.
const REPORT_PAUSE: Duration = Duration::from_secs(1);
/// Wait that a caller is asked for while the log is out.
const LOG_RETRY: Duration = Duration::from_secs(2);
/// Most claims of this entry whose requests are under way.
const MAX_OPEN: usize = 16_384;

/// The claims as this entry knows them. Clones share them.
#[derive(Clone, Debug)]
pub struct KeyClaims {
    state: Arc<Mutex<State>>,
    log: Client,
    news: watch::Sender<u64>,
    clock: Clock,
    address: SocketAddr,
    boot: BootId,
    reports: TaskTracker,
}

#[derive(Debug, Default)]
struct State {
    claims: Claims,
    open: HashMap<ClaimId, Claim>,
    reachable: bool,
}

impl State {
    /// The offset to read from, and how long to wait for a record. After an outage the log is read
    /// at once, so that keys can be claimed again.
    fn next_read(&self) -> (u64, Duration) {
        let wait = match self.claims.ready() && self.reachable {
            true => READ_WAIT,
            false => Duration::ZERO,
        };
        (self.claims.next_offset(), wait)
    }
}

/// Whose turn it is to run a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// This entry's: its claim holds the key.
    Acquired(ClaimId),
    /// Another request with the same key and content holds it; its holder and what became of it.
    Held(SocketAddr, BootId, Option<ClaimOutcome>),
}

impl KeyClaims {
    /// Claims of an entry that callers reach at `address`.
    pub fn new(log: Client, clock: Clock, address: SocketAddr, boot: BootId) -> Self {
        let state = Arc::default();
        KeyClaims {
            state,
            log,
            news: watch::Sender::new(0),
            clock,
            address,
            boot,
            reports: TaskTracker::new(),
        }
    }

    /// Follows the log until the process ends.
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
                    self.news.send_modify(|n| *n += 1);
                }
                Err(ReadError::Expired { first }) => self.lock().claims.caught_up(first),
                Err(_) => {
                    self.lock().reachable = false;
                    tokio::time::sleep(READ_PAUSE).await;
                }
            }
        }
    }

    /// Claims a key for a request, or says who holds it.
    ///
    /// # Errors
    /// A problem when the key was used with another request, or the log cannot be written or
    /// read; the request was not run then.
    pub async fn claim(
        &self,
        account: &str,
        key: &str,
        request: Digest,
    ) -> Result<ClaimResult, Problem> {
        let digest = Digest::of_key(account, key.as_bytes());
        if let Some(turn) = self.look(digest, request)? {
            return Ok(turn);
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
        self.open(claim)?;
        let until = Instant::now() + CLAIM_TIMEOUT;
        if let Err(AppendError::NotAppended(_)) = self.log.append(CLAIMS, record.into()).await {
            self.abandon(id);
            return Err(log_unavailable());
        }
        // An append whose answer was lost is settled by reading, like any other.
        match self.decided(id, until).await {
            Some(ClaimStatus::Won(_)) => Ok(ClaimResult::Acquired(id)),
            Some(ClaimStatus::Lost) => {
                self.settle(id);
                self.look(digest, request)?.ok_or_else(log_unavailable)
            }
            _ if self.abandon(id) => Err(log_unavailable()),
            // It was decided at the last moment.
            _ => Ok(ClaimResult::Acquired(id)),
        }
    }

    /// The fencing number to dispatch a claimed request with; `None`: it must not be dispatched.
    pub fn may_dispatch(&self, id: ClaimId) -> Option<u64> {
        self.lock().claims.dispatch_fence(self.clock.now(), id)
    }

    /// Records what became of a claimed request, and lets go of the claim.
    pub fn over(&self, id: ClaimId, outcome: ClaimOutcome) {
        let claim = self.lock().open.remove(&id);
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

    /// Waits until every report is in the log or given up. No claim may be made any more.
    pub async fn reported(&self) {
        self.reports.close();
        self.reports.wait().await;
    }

    fn look(&self, key: Digest, request: Digest) -> Result<Option<ClaimResult>, Problem> {
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

    fn open(&self, claim: Claim) -> Result<(), Problem> {
        let mut state = self.lock();
        if state.open.len() >= MAX_OPEN {
            return Err(log_unavailable());
        }
        state.claims.register(self.clock.now(), claim.id);
        state.open.insert(claim.id, claim);
        Ok(())
    }

    /// Waits until the claim has been read back.
    async fn decided(&self, id: ClaimId, until: Instant) -> Option<ClaimStatus> {
        let mut news = self.news.subscribe();
        loop {
            news.mark_unchanged();
            match self.lock().claims.status(id) {
                Some(ClaimStatus::Pending) => {}
                verdict => return verdict,
            }
            timeout_at(until, news.changed()).await.ok()?.ok()?;
        }
    }

    /// Gives up a claim that has not been read back. `false`: it has been decided.
    fn abandon(&self, id: ClaimId) -> bool {
        let mut state = self.lock();
        let abandoned = state.claims.abandon(id);
        if abandoned {
            state.open.remove(&id);
        }
        abandoned
    }

    fn settle(&self, id: ClaimId) {
        let mut state = self.lock();
        state.open.remove(&id);
        state.claims.unregister(id);
    }

    /// Appends a report, some times if need be; a report that is lost only leaves a key held.
    fn report(&self, report: ClaimReport) {
        let Ok(record) = Record::Report(report).encode() else {
            return;
        };
        let (log, record) = (self.log.clone(), Bytes::from(record));
        self.reports.spawn(async move {
            for _ in 0..REPORT_TRIES {
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
