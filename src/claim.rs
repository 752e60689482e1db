//! Idempotency keys: which of several requests with one key is run, decided from the offsets of
//! the records in the platform's log stream [`STREAM`].
//!
//! Pure. Of the claims of a key that are in the log and were not released, the first by offset
//! holds it, so that a process which starts late sees the same holder. Only the process that made
//! a claim releases it, and never runs it after. Time never passes a key on; it only keeps a late
//! holder from dispatching, see [`Claims::dispatch_fence`].

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smallvec::SmallVec;

use crate::ids::BootId;
use crate::units::Micros;

/// Name of the log stream.
pub const STREAM: &str = "claims";
/// Version of the records, their first byte.
pub const RECORD_VERSION: u8 = 1;
/// Largest encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 512;
/// Most claims that an entry remembers. While the log holds more, it makes none.
pub const MAX_CLAIMS: usize = 1 << 17;
/// Most abandoned claims that are watched for. The key of an older one stays held.
pub const MAX_ABANDONED: usize = 4_096;
/// How long after its claim was made a request may still be dispatched. Must be well below the time
/// for which the log keeps records, see [`Claims::dispatch_fence`].
pub const CLAIM_TTL: Micros = Micros::from_secs(120);

/// First half of a SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of several parts; where one part ends and the next begins counts.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let half = whole.first_chunk().expect("SHA-256 has 32 bytes");
        Digest(*half)
    }

    /// The digest that names a client account's idempotency key.
    pub fn of_key(account: &str, key: &[u8]) -> Self {
        Digest::of(&[account.as_bytes(), key])
    }
}

/// Names one claim. Random; a claim that is appended twice keeps its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId(pub u128);

impl ClaimId {
    /// A new random id.
    pub fn random() -> Self {
        ClaimId(rand::random())
    }
}

/// A request's claim on its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// This claim.
    pub id: ClaimId,
    /// Name of the client account, for those who read the log.
    pub account: String,
    /// [`Digest::of_key`].
    pub key: Digest,
    /// Digest of method, path and body.
    pub request: Digest,
    /// Where the holder's peers reach it.
    pub entry: SocketAddr,
    /// The holder's run.
    pub boot: BootId,
}

impl Claim {
    /// The holder's report that the request was not run and never will be.
    pub fn release(&self) -> ClaimReport {
        ClaimReport {
            id: self.id,
            key: self.key,
            boot: self.boot,
            outcome: ClaimOutcome::NotRun,
        }
    }
}

/// What became of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// It was run; its answer had this status.
    Done {
        /// HTTP status.
        status: u16,
    },
    /// It may have been run.
    Unknown,
    /// It was not run and never will be: the key is free again.
    NotRun,
}

/// A holder's report on its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The claim.
    pub id: ClaimId,
    /// Its key.
    pub key: Digest,
    /// The run that made the claim, and that reports.
    pub boot: BootId,
    /// What became of it.
    pub outcome: ClaimOutcome,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A request claims its key.
    Claim(Claim),
    /// A holder reports on its claim.
    Report(ClaimReport),
}

/// Why a record could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record exceeds [`MAX_RECORD_BYTES`].
    #[error("record of {0} bytes exceeds the limit")]
    TooLong(usize),
    /// The record has another version.
    #[error("record has version {0:?}")]
    Version(Option<u8>),
    /// The bytes are no record.
    #[error("bytes hold no record: {0}")]
    Malformed(#[from] postcard::Error),
}

impl Record {
    /// Encodes the record behind its version byte.
    ///
    /// # Errors
    /// [`RecordError::TooLong`] when it exceeds [`MAX_RECORD_BYTES`].
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
    /// The claim.
    pub id: ClaimId,
    /// Its offset, the fencing number of its dispatches.
    pub offset: u64,
    /// Digest of the claimed request.
    pub request: Digest,
    /// Where the holder's peers reach it.
    pub entry: SocketAddr,
    /// The holder's run.
    pub boot: BootId,
    /// What became of it; `None` while its holder has not reported.
    pub outcome: Option<ClaimOutcome>,
}

/// What a request finds when it comes with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Nobody holds the key: append a claim.
    Free,
    /// Another claim of the same request holds it: join it, or answer 409 with what is known.
    Held(Holder),
    /// The key was used with another request: answer 422.
    Reused,
}

/// What became of a claim of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// It has not been read back yet.
    Pending,
    /// It holds the key; dispatch with this fencing number.
    Won(u64),
    /// It does not hold the key and is never dispatched; [`Claims::lookup`] says who does.
    Lost,
    /// Its request was refused before it was read back; it must never be dispatched.
    Abandoned,
}

type Holders = SmallVec<[Holder; 1]>;

/// The claims in the log, read in the order of their offsets.
#[derive(Debug, Default)]
pub struct Claims {
    /// The claims on each key that were not released, by offset. The first holds it.
    held: HashMap<Digest, Holders>,
    order: VecDeque<(u64, Digest)>,
    mine: HashMap<ClaimId, Mine>,
    /// Abandoned claims, the oldest first.
    lost: VecDeque<ClaimId>,
    next: u64,
    /// Claims below are no longer known.
    first: u64,
    /// The first offset that the log holds.
    kept: u64,
    caught: bool,
}

/// A claim of this process.
#[derive(Clone, Copy, Debug)]
struct Mine {
    status: ClaimStatus,
    made: Micros,
}

impl Claims {
    /// Nothing has been read.
    pub fn new() -> Self {
        Self::default()
    }

    /// The offset to read from.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// The log was read to its end: it holds records from `first` on.
    /// Call after [`Claims::apply`] with all that were read.
    pub fn caught_up(&mut self, first: u64) {
        self.kept = self.kept.max(first);
        self.expire(first);
        self.next = self.next.max(first);
        self.caught = true;
    }

    /// Whether claims may be made: the log was read to its end once, and every claim in it is
    /// remembered. Otherwise [`Claims::lookup`] knows too little.
    pub fn ready(&self) -> bool {
        self.caught && self.complete()
    }

    /// Takes a record in. Records that were taken before change nothing. Returns a release that
    /// must be appended: a claim of this process has lost, or was abandoned.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Option<ClaimReport> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        match record {
            Record::Claim(claim) => self.claimed(offset, claim),
            Record::Report(report) => {
                self.reported(report);
                None
            }
        }
    }

    /// Passes over a record that cannot be read.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// What a request with this key finds.
    pub fn lookup(&self, key: Digest, request: Digest) -> KeyState {
        match self.held.get(&key).and_then(|held| held.first()) {
            None => KeyState::Free,
            Some(holder) if holder.request != request => KeyState::Reused,
            Some(holder) => KeyState::Held(*holder),
        }
    }

    /// A claim is about to be appended by this process. Call before the append.
    pub fn register(&mut self, now: Micros, id: ClaimId) {
        let status = ClaimStatus::Pending;
        self.mine.insert(id, Mine { status, made: now });
    }

    /// What became of an expected claim. `None`: it is not expected.
    pub fn status(&self, id: ClaimId) -> Option<ClaimStatus> {
        self.mine.get(&id).map(|m| m.status)
    }

    /// The claim's request is over and was reported, or had lost.
    pub fn unregister(&mut self, id: ClaimId) {
        self.mine.remove(&id);
    }

    /// The claim's request is refused while it is not read back: it is never dispatched, and it is
    /// released if its record turns up. `false`: it is not pending, so it is decided already.
    #[must_use]
    pub fn abandon(&mut self, id: ClaimId) -> bool {
        let Some(mine) = self.mine.get_mut(&id) else {
            return false;
        };
        if mine.status != ClaimStatus::Pending {
            return false;
        }
        mine.status = ClaimStatus::Abandoned;
        self.lost.push_back(id);
        if self.lost.len() > MAX_ABANDONED {
            let oldest = self.lost.pop_front();
            oldest.map(|id| self.mine.remove(&id));
        }
        true
    }

    /// The fencing number to dispatch with, if the claim holds its key and was made at most
    /// [`CLAIM_TTL`] ago: its record is then still in the log, so no other request can hold the
    /// key. Ask in the same step that hands the dispatch to the connection: a process that is
    /// paused after that finds its connection closed by the agent.
    pub fn dispatch_fence(&self, now: Micros, id: ClaimId) -> Option<u64> {
        let mine = self.mine.get(&id)?;
        match mine.status {
            ClaimStatus::Won(fence) if now - mine.made <= CLAIM_TTL && fence >= self.first => {
                Some(fence)
            }
            _ => None,
        }
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn claimed(&mut self, offset: u64, claim: &Claim) -> Option<ClaimReport> {
        let held = self.held.entry(claim.key).or_default();
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
        self.trim();
        let won = first && self.complete();
        let mine = self.mine.get_mut(&claim.id)?;
        match mine.status {
            ClaimStatus::Pending if won => {
                mine.status = ClaimStatus::Won(offset);
                None
            }
            ClaimStatus::Pending => {
                mine.status = ClaimStatus::Lost;
                Some(claim.release())
            }
            ClaimStatus::Abandoned => Some(claim.release()),
            ClaimStatus::Won(_) | ClaimStatus::Lost => None,
        }
    }

    fn reported(&mut self, report: &ClaimReport) {
        let Some(held) = self.held.get_mut(&report.key) else {
            return;
        };
        let own = |h: &Holder| (h.id, h.boot) == (report.id, report.boot);
        let Some(at) = held.iter().position(own) else {
            return;
        };
        match report.outcome {
            ClaimOutcome::NotRun if held[at].outcome.is_none() => {
                held.remove(at);
            }
            ClaimOutcome::NotRun => {}
            outcome => held[at].outcome = Some(outcome),
        }
        if held.is_empty() {
            self.held.remove(&report.key);
        }
    }

    /// Whether no claim was dropped that is still in the log.
    fn complete(&self) -> bool {
        self.first <= self.kept
    }

    fn trim(&mut self) {
        while self.order.len() > MAX_CLAIMS {
            let (offset, _) = self.order[0];
            self.expire(offset + 1);
        }
    }

    fn expire(&mut self, first: u64) {
        self.first = self.first.max(first);
        while let Some(&(offset, key)) = self.order.front()
            && offset < self.first
        {
            self.order.pop_front();
            if let Some(held) = self.held.get_mut(&key) {
                held.retain(|h| h.offset != offset);
                if held.is_empty() {
                    self.held.remove(&key);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
