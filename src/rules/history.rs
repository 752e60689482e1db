//! Reads the rules stream and tracks the current version, the active version, and when to append a
//! renewal (a copy of the current version, for readers that start after older records have
//! expired).
//!
//! The current version is the one that the records of the stream determine. The active version is
//! the highest one received, from the log or from a peer.
//!
//! A reader that has read every record since a known version applies each record as it is read. A
//! reader that starts after earlier records expired buffers what it reads, until a renewal states
//! the version as of an offset within the buffer. Then it applies the buffered records from that
//! offset on.

use serde::Serialize;

use super::chain::{AcceptedEdit, RecordOutcome, VersionChain};
use super::parse::MAX_FILE_BYTES;
use super::record::{EditId, Record, Renewal, RulesVersion};
use super::renew::{DueAction, Schedule, Timing};
use crate::log::Page;
use crate::units::Micros;

/// Maximum number of records that a reader buffers until it reads a usable renewal.
pub const MAX_PENDING_RECORDS: usize = 4_096;
/// Maximum size of the buffered records, in bytes.
pub const MAX_PENDING_BYTES: usize = 4 * MAX_FILE_BYTES;

const PEER_AUTHOR: &str = "unknown (from a peer)";

/// Result of applying one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The id of the edit; `None` for renewals and records that cannot be decoded.
    pub edit: Option<EditId>,
    /// Effect of the record.
    pub outcome: RecordOutcome,
}

/// Number of records by outcome, since the reader started. The field names are keys in `/status`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Accepted edits.
    pub accepted: u64,
    /// Edits rejected because another edit based on the same version was accepted first.
    pub lost: u64,
    /// Repeated appends of an accepted edit.
    pub repeated: u64,
    /// Renewals, whatever their outcome.
    pub renewed: u64,
    /// Invalid records, which are ignored.
    pub bad: u64,
    /// Number of times that records expired before they were read.
    pub gaps: u64,
}

/// A reader of the rules stream.
#[derive(Debug)]
pub struct Follower {
    next_offset: u64,
    state: State,
    active: Option<RulesVersion>,
    at_end: bool,
    schedule: Schedule,
    counts: Counts,
}

#[derive(Debug)]
enum State {
    /// Every record since a known version has been read.
    Synced(VersionChain),
    /// Records before `start` have not been read, and no renewal that states the version has been
    /// read yet.
    Syncing(PendingRecords),
}

#[derive(Debug, Default)]
struct PendingRecords {
    start: u64,
    records: Vec<(u64, Record)>,
    bytes: usize,
}

impl Follower {
    /// Creates a reader at the start of the stream.
    pub fn new(timing: Timing) -> Self {
        Follower {
            next_offset: 0,
            state: State::from_offset(0),
            active: None,
            at_end: false,
            schedule: Schedule::new(timing),
            counts: Counts::default(),
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The active version: the highest one received from the log or a peer; `None` until one is
    /// received.
    pub fn active(&self) -> Option<&RulesVersion> {
        self.active.as_ref()
    }

    /// The current version according to the log; `None` while it is not known.
    pub fn log_version(&self) -> Option<&RulesVersion> {
        match &self.state {
            State::Synced(chain) => Some(chain.current()),
            State::Syncing(_) => None,
        }
    }

    /// Whether the log has been read to its end and its current version is the active one.
    pub fn confirmed(&self) -> bool {
        self.at_end && self.log_is_current()
    }

    /// The last accepted edits, oldest first; none while the current version is not known.
    pub fn accepted_edits(&self) -> impl Iterator<Item = &AcceptedEdit> {
        let chain = match &self.state {
            State::Synced(chain) => Some(chain),
            State::Syncing(_) => None,
        };
        chain.into_iter().flat_map(VersionChain::accepted_edits)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Applies a page that was read at [`Follower::next_offset`]. An empty page marks the end of
    /// the stream.
    pub fn apply_page(&mut self, page: &Page, now: Micros) -> Vec<ProcessedRecord> {
        let mut processed = Vec::new();
        if page.next < self.next_offset {
            self.skip_to(page.first);
            return processed;
        }
        if page.first > self.next_offset {
            self.skip_to(page.first);
        }
        for record in &page.records {
            if record.offset < self.next_offset {
                continue;
            }
            self.process(record.offset, &record.data, now, &mut processed);
        }
        self.next_offset = page.next.max(self.next_offset);
        self.at_end = page.records.is_empty();
        self.activate();
        self.schedule.record_read(page.first, now);
        let unconfirmed = self.at_end && !self.log_is_current();
        self.schedule.set_unconfirmed(unconfirmed, now);
        processed
    }

    /// Continues at `first`, because earlier records have expired or the stream was recreated.
    pub fn skip_to(&mut self, first: u64) {
        self.counts.gaps += 1;
        self.at_end = false;
        if first < self.next_offset {
            self.schedule.reset();
        }
        self.next_offset = first;
        self.state = State::from_offset(first);
    }

    /// Records that the log could not be read.
    pub fn mark_unavailable(&mut self, now: Micros) {
        self.at_end = false;
        self.schedule.set_unconfirmed(false, now);
    }

    /// Activates a peer's active version if it is higher than this reader's. It is not confirmed
    /// until it is also read from the log. Returns whether it was activated.
    pub fn offer_from_peer(&mut self, version: u64, text: &str) -> bool {
        let known = self.active.as_ref().map_or(0, |active| active.version);
        if version <= known || text.len() > MAX_FILE_BYTES {
            return false;
        }
        self.active = Some(RulesVersion::new(version, PEER_AUTHOR, text));
        true
    }

    /// Returns the renewal that the caller must append now, or `None` if none is due.
    pub fn take_renewal(&mut self, now: Micros) -> Option<Record> {
        let bytes = self.active.as_ref().map_or(0, |active| active.text.len());
        let due = self.schedule.due(now, bytes)?;
        let (accepted, restart) = match (due, &self.state) {
            (DueAction::Renew, State::Synced(chain)) => (chain.current().clone(), false),
            (DueAction::Renew, State::Syncing(_)) => return None,
            (DueAction::Restart, _) => (self.active_or_empty(), true),
        };
        if accepted.version == 0 && !restart {
            return None;
        }
        self.schedule.record_append(now);
        Some(Record::Renewal(Renewal {
            accepted,
            as_of: self.next_offset,
            restart,
        }))
    }

    fn log_is_current(&self) -> bool {
        let active = self.active.as_ref().map_or(0, |active| active.version);
        self.log_version()
            .is_some_and(|logged| logged.version >= active)
    }

    fn active_or_empty(&self) -> RulesVersion {
        let none = || VersionChain::default().current().clone();
        self.active.clone().unwrap_or_else(none)
    }

    fn process(
        &mut self,
        offset: u64,
        data: &[u8],
        now: Micros,
        processed: &mut Vec<ProcessedRecord>,
    ) {
        self.next_offset = offset + 1;
        let record = match Record::decode(data) {
            Ok(record) => record,
            Err(error) => {
                let outcome = RecordOutcome::Invalid(error);
                self.record_outcome(offset, None, outcome, processed);
                return;
            }
        };
        match &mut self.state {
            State::Synced(_) => self.apply(offset, &record, now, processed),
            State::Syncing(pending) => {
                pending.push(offset, record, data.len());
                self.try_sync(now, processed);
            }
        }
    }

    fn apply(
        &mut self,
        offset: u64,
        record: &Record,
        now: Micros,
        processed: &mut Vec<ProcessedRecord>,
    ) {
        let State::Synced(chain) = &mut self.state else {
            return;
        };
        let outcome = chain.apply(offset, record);
        self.update_schedule(record, &outcome, now);
        let edit = match record {
            Record::Edit(edit) => Some(edit.id),
            Record::Renewal(_) => None,
        };
        self.record_outcome(offset, edit, outcome, processed);
    }

    fn update_schedule(&mut self, record: &Record, outcome: &RecordOutcome, now: Micros) {
        let Record::Renewal(renewal) = record else {
            return;
        };
        match outcome {
            RecordOutcome::Renewed(_) | RecordOutcome::Advanced(_) => {
                self.schedule.record_renewal(renewal.as_of, now);
            }
            // Readers that accepted this restart have the older version and need a renewal of the
            // current one.
            RecordOutcome::Stale(_) if renewal.restart => self.schedule.request(now),
            RecordOutcome::Stale(_) => self.schedule.record_renewal(renewal.as_of, now),
            _ => {}
        }
    }

    /// Applies the buffered records if the newest one is a renewal that determines where to start.
    fn try_sync(&mut self, now: Micros, processed: &mut Vec<ProcessedRecord>) {
        let State::Syncing(pending) = &mut self.state else {
            return;
        };
        let Some((offset, Record::Renewal(renewal))) = pending.records.last() else {
            return;
        };
        let usable = renewal.as_of >= pending.start;
        if renewal.as_of > *offset || !(usable || renewal.restart) {
            return;
        }
        let from = if usable { renewal.as_of } else { *offset };
        let chain = VersionChain::starting_at(renewal.accepted.clone());
        let records = std::mem::take(&mut pending.records);
        self.state = State::Synced(chain);
        for (offset, record) in records.iter().filter(|(offset, _)| *offset >= from) {
            self.apply(*offset, record, now, processed);
        }
    }

    fn record_outcome(
        &mut self,
        offset: u64,
        edit: Option<EditId>,
        outcome: RecordOutcome,
        processed: &mut Vec<ProcessedRecord>,
    ) {
        match outcome {
            RecordOutcome::Accepted(_) => self.counts.accepted += 1,
            RecordOutcome::Conflict(_) => self.counts.lost += 1,
            RecordOutcome::Duplicate(_) => self.counts.repeated += 1,
            RecordOutcome::Invalid(_) => self.counts.bad += 1,
            RecordOutcome::Renewed(_) | RecordOutcome::Advanced(_) | RecordOutcome::Stale(_) => {
                self.counts.renewed += 1;
            }
        }
        processed.push(ProcessedRecord {
            offset,
            edit,
            outcome,
        });
    }

    fn activate(&mut self) {
        let State::Synced(chain) = &self.state else {
            return;
        };
        let logged = chain.current();
        let active = self.active.as_ref().map_or(0, |active| active.version);
        if logged.version > 0 && logged.version >= active {
            self.active = Some(logged.clone());
        }
    }
}

impl State {
    /// The state of a reader that continues at offset `start`. At offset 0 the version is known to
    /// be 0.
    fn from_offset(start: u64) -> Self {
        if start == 0 {
            return State::Synced(VersionChain::default());
        }
        State::Syncing(PendingRecords {
            start,
            ..PendingRecords::default()
        })
    }
}

impl PendingRecords {
    fn push(&mut self, offset: u64, record: Record, bytes: usize) {
        self.bytes += bytes;
        if self.records.len() == MAX_PENDING_RECORDS || self.bytes > MAX_PENDING_BYTES {
            *self = PendingRecords {
                start: offset,
                records: Vec::new(),
                bytes,
            };
        }
        self.records.push((offset, record));
    }
}

#[cfg(test)]
mod oracle;
#[cfg(test)]
mod tests;
