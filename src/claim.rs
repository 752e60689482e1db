//! Claims on idempotency keys: decide which of several requests with the same key is run, from the
//! order of the records in the platform's log stream [`STREAM`].
//!
//! Does no I/O. A claim is released by a report that its request was not run. The unreleased claim
//! with the lowest offset holds its key, so every process that reads the log sees the same holder,
//! however late it starts. Only the process that made a claim may release it, and it never runs the
//! request after that. A claim does not pass to another process by time-out; its age only stops a
//! late holder from dispatching, see [`Claims::dispatch_fence`].

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smallvec::SmallVec;

use crate::ids::BootId;
use crate::units::Micros;

/// Name of the log stream.
pub const STREAM: &str = "claims";
/// Format version of the records; the first byte of each.
pub const RECORD_VERSION: u8 = 1;
/// Maximum length of an encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 512;
/// Maximum number of claims that an entry (router process) keeps. It makes no new claims while the
/// log holds more.
pub const MAX_CLAIMS: usize = 1 << 17;
/// Maximum number of this process's abandoned claims that are remembered, to be released when they
/// appear in the log. If there are more, the oldest is forgotten and its key stays held.
pub const MAX_ABANDONED: usize = 4_096;
/// Maximum age of a claim whose request may still be dispatched. Must be well below the retention
/// period of the log, see [`Claims::dispatch_fence`].
pub const CLAIM_TTL: Micros = Micros::from_secs(120);

/// SHA-256 digest, truncated to its first half.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Hashes several parts. Each is prefixed with its length, so that moving bytes from one part
    /// to the next changes the digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let half = digest.first_chunk().expect("SHA-256 has 32 bytes");
        Digest(*half)
    }

    /// Hashes an idempotency key together with the client account that it belongs to.
    pub fn of_key(account: &str, key: &[u8]) -> Self {
        Digest::of(&[account.as_bytes(), key])
    }
}

/// Random id of a claim. A claim that is appended to the log twice keeps its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId(pub u128);

impl ClaimId {
    /// Creates a random id.
    pub fn random() -> Self {
        ClaimId(rand::random())
    }
}

/// A request's claim on its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the claim.
    pub id: ClaimId,
    /// Name of the client account, for people who read the log.
    pub account: String,
    /// Digest of the key, see [`Digest::of_key`].
    pub key: Digest,
    /// Digest of method, path and body.
    pub request: Digest,
    /// Address at which other entries reach the holder.
    pub entry: SocketAddr,
    /// Process instance of the holder.
    pub boot: BootId,
}

impl Claim {
    /// Creates the report that the request was not run and never will be.
    pub fn release(&self) -> ClaimReport {
        ClaimReport {
            id: self.id,
            key: self.key,
            boot: self.boot,
            outcome: ClaimOutcome::NotRun,
        }
    }
}

/// Outcome of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request was run and its response had this status.
    Done {
        /// HTTP status.
        status: u16,
    },
    /// The request may have been run.
    Unknown,
    /// The request was not run and never will be: the key is free again.
    NotRun,
}

/// Report of a claim's outcome by the process that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// Id of the claim.
    pub id: ClaimId,
    /// Digest of its key.
    pub key: Digest,
    /// Process instance that made the claim and reports on it.
    pub boot: BootId,
    /// Outcome of the request.
    pub outcome: ClaimOutcome,
}

/// A record of the log stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A claim on a key.
    Claim(Claim),
    /// A report on a claim.
    Report(ClaimReport),
}

/// Why a record could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record exceeds [`MAX_RECORD_BYTES`].
    #[error("record of {0} bytes exceeds the limit")]
    TooLong(usize),
    /// The record has an unknown format version, or is empty.
    #[error("unsupported record version {0:?}")]
    Version(Option<u8>),
    /// The bytes do not decode to a record.
    #[error("malformed record: {0}")]
    Malformed(#[from] postcard::Error),
}

impl Record {
    /// Encodes the record with its version byte in front.
    ///
    /// # Errors
    /// Returns [`RecordError::TooLong`] if the record exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let bytes = postcard::to_extend(self, vec![RECORD_VERSION])?;
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong(bytes.len()));
        }
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Record {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong(bytes.len()));
        }
        match bytes.split_first() {
            Some((&RECORD_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            other => Err(RecordError::Version(other.map(|(version, _)| *version))),
        }
    }
}

/// The claim that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Id of the claim.
    pub id: ClaimId,
    /// Offset of the claim in the log; the fencing token of its dispatches.
    pub offset: u64,
    /// Digest of the claimed request.
    pub request: Digest,
    /// Address at which other entries reach the holder.
    pub entry: SocketAddr,
    /// Process instance of the holder.
    pub boot: BootId,
    /// Outcome of the request, or `None` until the holder has reported it.
    pub outcome: Option<ClaimOutcome>,
}

/// State of an idempotency key, as seen by a request that uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// No claim holds the key: append one.
    Free,
    /// A claim of the same request holds the key: fetch its response from the holder, or respond
    /// with 409 and the known outcome.
    Held(Holder),
    /// The key was used with a different request: respond with 422.
    Reused,
}

/// Status of a claim made by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The claim has not been read back from the log yet.
    Pending,
    /// The claim holds the key; its dispatches carry this fencing token.
    Won(u64),
    /// Another claim holds the key, see [`Claims::lookup`]; the request is never dispatched.
    Lost,
    /// The request was refused before the claim was read back; it is never dispatched.
    Abandoned,
}

type Holders = SmallVec<[Holder; 1]>;

/// Table of the claims in the log, which are applied in the order of their offsets.
#[derive(Debug, Default)]
pub struct Claims {
    /// Unreleased claims on each key in the order of their offsets. The first holds the key.
    holders: HashMap<Digest, Holders>,
    order: VecDeque<(u64, Digest)>,
    own: HashMap<ClaimId, OwnClaim>,
    /// Abandoned claims, oldest first.
    abandoned: VecDeque<ClaimId>,
    next: u64,
    /// Claims at lower offsets have been dropped.
    start: u64,
    /// First offset that the log still retains.
    log_start: u64,
    caught_up: bool,
}

/// A claim made by this process.
#[derive(Clone, Copy, Debug)]
struct OwnClaim {
    status: ClaimStatus,
    made_at: Micros,
}

impl Claims {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offset from which to read the log.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Marks the log as read to its end. `first` is the first offset that it retains. Call after
    /// [`Claims::apply`] for every record that was read.
    pub fn caught_up(&mut self, first: u64) {
        self.log_start = self.log_start.max(first);
        self.expire(first);
        self.next = self.next.max(first);
        self.caught_up = true;
    }

    /// Whether new claims may be made: the log was read to its end once and the table holds every
    /// claim in it. Otherwise [`Claims::lookup`] may report a held key as free.
    pub fn ready(&self) -> bool {
        self.caught_up && self.complete()
    }

    /// Applies a record; one that was applied before is ignored. If a claim of this process has
    /// lost or was abandoned, returns its release, which must be appended to the log.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Option<ClaimReport> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        match record {
            Record::Claim(claim) => self.apply_claim(offset, claim),
            Record::Report(report) => {
                self.apply_report(report);
                None
            }
        }
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Returns the state of a key for a request that uses it; `request` is the request's digest.
    pub fn lookup(&self, key: Digest, request: Digest) -> KeyState {
        match self.holders.get(&key).and_then(|held| held.first()) {
            None => KeyState::Free,
            Some(holder) if holder.request != request => KeyState::Reused,
            Some(holder) => KeyState::Held(*holder),
        }
    }

    /// Registers a claim that this process is about to append to the log. Call before the append.
    pub fn register(&mut self, now: Micros, id: ClaimId) {
        let status = ClaimStatus::Pending;
        self.own.insert(
            id,
            OwnClaim {
                status,
                made_at: now,
            },
        );
    }

    /// Returns the status of a registered claim, or `None` if it is not registered.
    pub fn status(&self, id: ClaimId) -> Option<ClaimStatus> {
        self.own.get(&id).map(|m| m.status)
    }

    /// Unregisters a claim that has lost, or whose outcome was reported.
    pub fn unregister(&mut self, id: ClaimId) {
        self.own.remove(&id);
    }

    /// Abandons a pending claim whose request is refused: it is never dispatched, and is released
    /// if it is read back later. Returns `false` if the claim is not pending, so its status is
    /// final.
    #[must_use]
    pub fn abandon(&mut self, id: ClaimId) -> bool {
        let Some(own) = self.own.get_mut(&id) else {
            return false;
        };
        if own.status != ClaimStatus::Pending {
            return false;
        }
        own.status = ClaimStatus::Abandoned;
        self.abandoned.push_back(id);
        if self.abandoned.len() > MAX_ABANDONED {
            let oldest = self.abandoned.pop_front();
            oldest.map(|id| self.own.remove(&id));
        }
        true
    }

    /// Returns the fencing token for a dispatch if the claim holds its key and was made at most
    /// [`CLAIM_TTL`] ago, else `None`: the request must not be dispatched. The claim's record is
    /// then still in the log, so no other request can hold the key. Call it in the same step that
    /// hands the dispatch to the connection: a process that is paused after that step finds the
    /// connection closed by the agent when it resumes.
    pub fn dispatch_fence(&self, now: Micros, id: ClaimId) -> Option<u64> {
        let own = self.own.get(&id)?;
        match own.status {
            ClaimStatus::Won(fence) if now - own.made_at <= CLAIM_TTL && fence >= self.start => {
                Some(fence)
            }
            _ => None,
        }
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn apply_claim(&mut self, offset: u64, claim: &Claim) -> Option<ClaimReport> {
        let held = self.holders.entry(claim.key).or_default();
        if held.iter().any(|h| h.id == claim.id) {
            return None;
        }
        let first = held.is_empty();
        held.push(Holder {
            id: claim.id,
            offset,
            request: claim.request,
            entry: claim.entry,
            boot: claim.boot,
            outcome: None,
        });
        self.order.push_back((offset, claim.key));
        self.evict_excess();
        let won = first && self.complete();
        let own = self.own.get_mut(&claim.id)?;
        match own.status {
            ClaimStatus::Pending if won => {
                own.status = ClaimStatus::Won(offset);
                None
            }
            ClaimStatus::Pending => {
                own.status = ClaimStatus::Lost;
                Some(claim.release())
            }
            ClaimStatus::Abandoned => Some(claim.release()),
            ClaimStatus::Won(_) | ClaimStatus::Lost => None,
        }
    }

    fn apply_report(&mut self, report: &ClaimReport) {
        let Some(held) = self.holders.get_mut(&report.key) else {
            return;
        };
        let is_reported = |h: &Holder| (h.id, h.boot) == (report.id, report.boot);
        let Some(index) = held.iter().position(is_reported) else {
            return;
        };
        match report.outcome {
            ClaimOutcome::NotRun if held[index].outcome.is_none() => {
                held.remove(index);
            }
            ClaimOutcome::NotRun => {}
            outcome => held[index].outcome = Some(outcome),
        }
        if held.is_empty() {
            self.holders.remove(&report.key);
        }
    }

    /// Whether the table holds every claim that the log still retains.
    fn complete(&self) -> bool {
        self.start <= self.log_start
    }

    fn evict_excess(&mut self) {
        while self.order.len() > MAX_CLAIMS {
            let (offset, _) = self.order[0];
            self.expire(offset + 1);
        }
    }

    fn expire(&mut self, first: u64) {
        self.start = self.start.max(first);
        while let Some(&(offset, key)) = self.order.front()
            && offset < self.start
        {
            self.order.pop_front();
            if let Some(held) = self.holders.get_mut(&key) {
                held.retain(|h| h.offset != offset);
                if held.is_empty() {
                    self.holders.remove(&key);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
