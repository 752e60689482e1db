//! Follows the rules stream: which version is current, which is in force, and when to renew.
//!
//! A reader that has every record since a known version decides each one exactly. A reader that
//! starts after earlier records expired keeps what it reads until a renewal tells which version
//! was current at an offset that it has read from; then it decides what it kept.

use serde::Serialize;

use super::chain::{AcceptedEdit, Chain, RecordOutcome};
use super::parse::MAX_FILE_BYTES;
use super::record::{EditId, Record, Renewal, RulesVersion};
use super::renew::{Due, Schedule, Timing};
use crate::log::Page;
use crate::units::Micros;

/// Records that a reader keeps while it looks for a renewal.
pub const MAX_KEPT: usize = 4_096;
/// Bytes of records that a reader keeps while it looks for a renewal.
pub const MAX_KEPT_BYTES: usize = 4 * MAX_FILE_BYTES;

const PEER_AUTHOR: &str = "unknown (from a peer)";

/// A record that was decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessedRecord {
    /// Its offset.
    pub offset: u64,
    /// The edit, if it is one.
    pub edit: Option<EditId>,
    /// What became of it.
    pub outcome: RecordOutcome,
}

/// Records counted since the reader started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Edits accepted.
    pub accepted: u64,
    /// Edits that lost a race.
    pub lost: u64,
    /// Edits that came again.
    pub repeated: u64,
    /// Renewals read.
    pub renewed: u64,
    /// Records passed over.
    pub bad: u64,
    /// Times that records expired before they were read.
    pub gaps: u64,
}

/// A reader of the rules stream.
#[derive(Debug)]
pub struct Follower {
    next: u64,
    state: State,
    force: Option<RulesVersion>,
    tail: bool,
    schedule: Schedule,
    counts: Counts,
}

#[derive(Debug)]
enum State {
    /// Every record since a known version was read.
    Exact(Chain),
    /// Records before `start` were not read.
    Seeking(Kept),
}

#[derive(Debug, Default)]
struct Kept {
    start: u64,
    records: Vec<(u64, Record)>,
    bytes: usize,
}

impl Follower {
    /// A reader that has read nothing.
    pub fn new(timing: Timing) -> Self {
        Follower {
            next: 0,
            state: State::from_offset(0),
            force: None,
            tail: false,
            schedule: Schedule::new(timing),
            counts: Counts::default(),
        }
    }

    /// The offset to read from.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// The version in force: the highest that the log or a peer told; none before the first.
    pub fn active(&self) -> Option<&RulesVersion> {
        self.force.as_ref()
    }

    /// The version that the log tells; none while that is not known.
    pub fn log_version(&self) -> Option<&RulesVersion> {
        match &self.state {
            State::Exact(chain) => Some(chain.current()),
            State::Seeking(_) => None,
        }
    }

    /// Whether the log was read to its end and tells the version in force.
    pub fn confirmed(&self) -> bool {
        self.tail && self.logged_in_force()
    }

    /// Accepted edits that it remembers, oldest first.
    pub fn accepted_edits(&self) -> impl Iterator<Item = &AcceptedEdit> {
        let chain = match &self.state {
            State::Exact(chain) => Some(chain),
            State::Seeking(_) => None,
        };
        chain.into_iter().flat_map(Chain::accepted_edits)
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes a page that was read from [`Follower::next`]; an empty page is the end of the stream.
    pub fn apply_page(&mut self, page: &Page, now: Micros) -> Vec<ProcessedRecord> {
        let mut decided = Vec::new();
        if page.next < self.next {
            self.skip_to(page.first);
            return decided;
        }
        if page.first > self.next {
            self.skip_to(page.first);
        }
        for record in &page.records {
            if record.offset < self.next {
                continue;
            }
            self.take(record.offset, &record.data, now, &mut decided);
        }
        self.next = page.next.max(self.next);
        self.tail = page.records.is_empty();
        self.put_in_force();
        self.schedule.read(page.first, now);
        let waits = self.tail && !self.logged_in_force();
        self.schedule.unconfirmed(waits, now);
        decided
    }

    /// The records before `first` have expired, or the stream was begun anew.
    pub fn skip_to(&mut self, first: u64) {
        self.counts.gaps += 1;
        self.tail = false;
        if first < self.next {
            self.schedule.begun_anew();
        }
        self.next = first;
        self.state = State::from_offset(first);
    }

    /// The log could not be read.
    pub fn mark_unavailable(&mut self, now: Micros) {
        self.tail = false;
        self.schedule.unconfirmed(false, now);
    }

    /// Takes the version that a peer has in force, if it is higher. The log confirms it later.
    /// Returns whether it was taken.
    pub fn offer_from_peer(&mut self, version: u64, text: &str) -> bool {
        let known = self.force.as_ref().map_or(0, |force| force.version);
        if version <= known || text.len() > MAX_FILE_BYTES {
            return false;
        }
        self.force = Some(RulesVersion::new(version, PEER_AUTHOR, text));
        true
    }

    /// The renewal to append now, if one is due.
    pub fn renewal(&mut self, now: Micros) -> Option<Record> {
        let bytes = self.force.as_ref().map_or(0, |force| force.text.len());
        let due = self.schedule.due(now, bytes)?;
        let (accepted, restart) = match (due, &self.state) {
            (Due::Renew, State::Exact(chain)) => (chain.current().clone(), false),
            (Due::Renew, State::Seeking(_)) => return None,
            (Due::Restart, _) => (self.in_force_or_empty(), true),
        };
        if accepted.version == 0 && !restart {
            return None;
        }
        self.schedule.appended(now);
        Some(Record::Renewal(Renewal {
            accepted,
            as_of: self.next,
            restart,
        }))
    }

    fn logged_in_force(&self) -> bool {
        let force = self.force.as_ref().map_or(0, |force| force.version);
        self.log_version()
            .is_some_and(|logged| logged.version >= force)
    }

    fn in_force_or_empty(&self) -> RulesVersion {
        let none = || Chain::default().current().clone();
        self.force.clone().unwrap_or_else(none)
    }

    fn take(&mut self, offset: u64, data: &[u8], now: Micros, decided: &mut Vec<ProcessedRecord>) {
        self.next = offset + 1;
        let record = match Record::decode(data) {
            Ok(record) => record,
            Err(error) => {
                let outcome = RecordOutcome::Invalid(error);
                self.report(offset, None, outcome, decided);
                return;
            }
        };
        match &mut self.state {
            State::Exact(_) => self.decide(offset, &record, now, decided),
            State::Seeking(kept) => {
                kept.push(offset, record, data.len());
                self.settle(now, decided);
            }
        }
    }

    fn decide(
        &mut self,
        offset: u64,
        record: &Record,
        now: Micros,
        decided: &mut Vec<ProcessedRecord>,
    ) {
        let State::Exact(chain) = &mut self.state else {
            return;
        };
        let outcome = chain.decide(offset, record);
        self.note_renewal(record, &outcome, now);
        let edit = match record {
            Record::Edit(edit) => Some(edit.id),
            Record::Renewal(_) => None,
        };
        self.report(offset, edit, outcome, decided);
    }

    fn note_renewal(&mut self, record: &Record, outcome: &RecordOutcome, now: Micros) {
        let Record::Renewal(renewal) = record else {
            return;
        };
        match outcome {
            RecordOutcome::Renewed(_) | RecordOutcome::Advanced(_) => {
                self.schedule.renewed(renewal.as_of, now);
            }
            // Readers that started anew from the older version need the current one.
            RecordOutcome::Stale(_) if renewal.restart => self.schedule.wanted(now),
            RecordOutcome::Stale(_) => self.schedule.renewed(renewal.as_of, now),
            _ => {}
        }
    }

    /// Decides what was kept if the newest record tells where to go on from.
    fn settle(&mut self, now: Micros, decided: &mut Vec<ProcessedRecord>) {
        let State::Seeking(kept) = &mut self.state else {
            return;
        };
        let Some((offset, Record::Renewal(renewal))) = kept.records.last() else {
            return;
        };
        let usable = renewal.as_of >= kept.start;
        if renewal.as_of > *offset || !(usable || renewal.restart) {
            return;
        }
        let from = if usable { renewal.as_of } else { *offset };
        let chain = Chain::at(renewal.accepted.clone());
        let records = std::mem::take(&mut kept.records);
        self.state = State::Exact(chain);
        for (offset, record) in records.iter().filter(|(offset, _)| *offset >= from) {
            self.decide(*offset, record, now, decided);
        }
    }

    fn report(
        &mut self,
        offset: u64,
        edit: Option<EditId>,
        outcome: RecordOutcome,
        decided: &mut Vec<ProcessedRecord>,
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
        decided.push(ProcessedRecord {
            offset,
            edit,
            outcome,
        });
    }

    fn put_in_force(&mut self) {
        let State::Exact(chain) = &self.state else {
            return;
        };
        let logged = chain.current();
        let force = self.force.as_ref().map_or(0, |force| force.version);
        if logged.version > 0 && logged.version >= force {
            self.force = Some(logged.clone());
        }
    }
}

impl State {
    /// The state before the record at `start`; nothing comes before offset 0.
    fn from_offset(start: u64) -> Self {
        if start == 0 {
            return State::Exact(Chain::default());
        }
        State::Seeking(Kept {
            start,
            ..Kept::default()
        })
    }
}

impl Kept {
    fn push(&mut self, offset: u64, record: Record, bytes: usize) {
        self.bytes += bytes;
        if self.records.len() == MAX_KEPT || self.bytes > MAX_KEPT_BYTES {
            *self = Kept {
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
