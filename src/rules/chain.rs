//! Applies the records of the rules stream of the platform's log in offset order to determine the
//! current version.
//!
//! A record is an operator's edit, which produces a new version, or a renewal: a copy of the
//! current version, appended again before the log's retention drops the records that produced it.
//!
//! The result depends on the records only, neither on a clock nor on which rules this build can
//! parse, so that processes of different builds agree on the version.

use std::collections::VecDeque;
use std::sync::Arc;

use super::parse::MAX_FILE_BYTES;
use super::record::{Edit, EditId, Record, RecordError, Renewal, RulesVersion, TextDigest};

/// Maximum number of accepted edits that a [`VersionChain`] keeps, to recognise repeated appends
/// and to name the winner of a conflict.
pub const MAX_ACCEPTED_EDITS: usize = 256;

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The edit was accepted and produced the version with this number.
    Accepted(u64),
    /// A repeated append of an edit that was accepted earlier as the version with this number.
    Duplicate(u64),
    /// Another edit based on the same version was accepted first.
    Conflict(WinningEdit),
    /// The record is a renewal of the current version, which has this number.
    Renewed(u64),
    /// The record is a renewal of a version that was not read before and supersedes the current
    /// one. The version with this number is now current.
    Advanced(u64),
    /// The record is a renewal of an older version, which has this number. It has no effect.
    Stale(u64),
    /// The record is invalid and has no effect.
    Invalid(RecordError),
}

/// The edit that was accepted instead of a conflicting one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WinningEdit {
    /// Number of the version that it produced.
    pub version: u64,
    /// Author of the edit; `None` if the edit is no longer kept.
    pub author: Option<Arc<str>>,
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Its offset in the stream.
    pub offset: u64,
    /// Number of the version that it produced.
    pub version: u64,
    /// Author of the edit.
    pub author: Arc<str>,
    /// Id of the edit, by which repeated appends of it are recognised.
    pub id: EditId,
}

/// The current version after the records applied so far, with the last accepted edits.
#[derive(Clone, Debug)]
pub struct VersionChain {
    current: RulesVersion,
    edits: VecDeque<AcceptedEdit>,
}

impl Default for VersionChain {
    fn default() -> Self {
        VersionChain::starting_at(RulesVersion::new(0, "", ""))
    }
}

impl VersionChain {
    /// Creates a chain that continues from a version that is known to be current.
    pub fn starting_at(current: RulesVersion) -> Self {
        VersionChain {
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

    /// Applies the next record; `offset` is its offset in the stream.
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
            return RecordOutcome::Invalid(RecordError::FutureReference);
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

    /// Applies a renewal. Of the renewed and the current version, the one with the greater pair of
    /// version number and digest becomes current.
    ///
    /// The history is restarted from a renewal if the log no longer contains the records that
    /// determine the current version (see [`Renewal::restart`]). The version of such a renewal may
    /// be older than that of other readers; the comparison makes all readers agree. To a reader
    /// that has applied the complete history, no renewal is greater than the current version, so
    /// [`RecordOutcome::Advanced`] only occurs in a reader that has not.
    fn apply_renewal(&mut self, offset: u64, renewal: &Renewal) -> RecordOutcome {
        if renewal.as_of > offset {
            return RecordOutcome::Invalid(RecordError::FutureReference);
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
