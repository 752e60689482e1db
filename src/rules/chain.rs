//! Applies the records of the rules stream in offset order to determine the current version.
//!
//! The result depends on the records only, neither on a clock nor on which rules this build can
//! parse, so that processes of different builds agree on the version.

use std::collections::VecDeque;
use std::sync::Arc;

use super::parse::MAX_FILE_BYTES;
use super::record::{Edit, EditId, Record, RecordError, Renewal, RulesVersion, TextDigest};

/// Maximum number of accepted edits that a reader keeps, to recognise repeated appends and to
/// name the winner of a conflict.
pub const MAX_ACCEPTED_EDITS: usize = 256;

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The edit was accepted as this version.
    Accepted(u64),
    /// The edit was already accepted as this version.
    Duplicate(u64),
    /// Another edit of the same base version was accepted first.
    Conflict(WinningEdit),
    /// The record is a renewal of the current version.
    Renewed(u64),
    /// The record is a renewal that replaced the current version by this one, because the log had
    /// not given it before and it is higher.
    Advanced(u64),
    /// The record is a renewal of an older version and has no effect.
    Stale(u64),
    /// The record is ignored.
    Invalid(RecordError),
}

/// The edit that was accepted instead of a conflicting one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WinningEdit {
    /// The version that it was accepted as.
    pub version: u64,
    /// Who applied it; `None` if the edit is no longer kept.
    pub author: Option<Arc<str>>,
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Its offset in the stream.
    pub offset: u64,
    /// The version that it was accepted as.
    pub version: u64,
    /// Who applied it.
    pub author: Arc<str>,
    /// Identifies repeated appends of the edit.
    pub id: EditId,
}

/// The current version at an offset of the stream, with the last accepted edits.
#[derive(Clone, Debug)]
pub struct Chain {
    current: RulesVersion,
    edits: VecDeque<AcceptedEdit>,
}

impl Default for Chain {
    fn default() -> Self {
        Chain::starting_at(RulesVersion::new(0, "", ""))
    }
}

impl Chain {
    /// A chain that continues from a version that is known to be current.
    pub fn starting_at(current: RulesVersion) -> Self {
        Chain {
            current,
            edits: VecDeque::new(),
        }
    }

    /// The current version; version 0 with an empty text before the first edit.
    pub fn current(&self) -> &RulesVersion {
        &self.current
    }

    /// The last accepted edits, oldest first.
    pub fn accepted_edits(&self) -> impl Iterator<Item = &AcceptedEdit> {
        self.edits.iter()
    }

    /// Applies the record at this offset.
    pub fn apply(&mut self, offset: u64, record: &Record) -> RecordOutcome {
        match record {
            Record::Edit(edit) => self.apply_edit(offset, edit),
            Record::Renewal(renewal) => self.apply_renewal(offset, renewal),
        }
    }

    fn apply_edit(&mut self, offset: u64, edit: &Edit) -> RecordOutcome {
        if let Some(known) = self.edits.iter().find(|known| known.id == edit.id) {
            return RecordOutcome::Duplicate(known.version);
        }
        if edit.base < self.current.version {
            return RecordOutcome::Conflict(self.winning_edit(edit.base + 1));
        }
        if edit.base > self.current.version {
            return RecordOutcome::Invalid(RecordError::FutureVersion);
        }
        let Some(text) = edit.change.apply(&self.current.text) else {
            return RecordOutcome::Invalid(RecordError::Malformed);
        };
        if text.len() > MAX_FILE_BYTES {
            return RecordOutcome::Invalid(RecordError::TooLong);
        }
        if TextDigest::of(&text) != edit.digest {
            return RecordOutcome::Invalid(RecordError::DigestMismatch);
        }
        self.accept(offset, edit, text)
    }

    fn accept(&mut self, offset: u64, edit: &Edit, text: String) -> RecordOutcome {
        let version = self.current.version + 1;
        self.current = RulesVersion {
            version,
            author: edit.author.clone(),
            text: text.into(),
            digest: edit.digest,
        };
        if self.edits.len() == MAX_ACCEPTED_EDITS {
            self.edits.pop_front();
        }
        self.edits.push_back(AcceptedEdit {
            offset,
            version,
            author: edit.author.clone(),
            id: edit.id,
        });
        RecordOutcome::Accepted(version)
    }

    /// The greater pair of version and digest wins, so that readers agree even if the history was
    /// restarted. In a complete history no renewal is greater than the current version.
    fn apply_renewal(&mut self, offset: u64, renewal: &Renewal) -> RecordOutcome {
        if renewal.as_of > offset {
            return RecordOutcome::Invalid(RecordError::FutureVersion);
        }
        let renewed = &renewal.accepted;
        let current = &self.current;
        if renewed.version == current.version && renewed.digest == current.digest {
            return RecordOutcome::Renewed(current.version);
        }
        if (renewed.version, renewed.digest) < (current.version, current.digest) {
            return RecordOutcome::Stale(renewed.version);
        }
        self.current = renewed.clone();
        RecordOutcome::Advanced(renewed.version)
    }

    fn winning_edit(&self, version: u64) -> WinningEdit {
        let winner = self.edits.iter().rev().find(|edit| edit.version == version);
        let author = winner.map(|edit| edit.author.clone()).or_else(|| {
            let current = self.current.version == version;
            current.then(|| self.current.author.clone())
        });
        WinningEdit { version, author }
    }
}
