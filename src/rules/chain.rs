//! Decides the records of the rules stream one by one, in offset order.
//!
//! The result depends on the records alone: on no clock, and not on what this build can parse, so
//! processes of different builds agree on the version.

use std::collections::VecDeque;
use std::sync::Arc;

use super::parse::MAX_FILE_BYTES;
use super::record::{Edit, EditId, Record, RecordError, Renewal, RulesVersion, TextDigest};

/// Accepted edits that a reader remembers.
pub const MAX_ACCEPTED_EDITS: usize = 256;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The edit became this version.
    Accepted(u64),
    /// The edit had become this version already.
    Duplicate(u64),
    /// Another edit of the same base came first.
    Conflict(WinningEdit),
    /// The record appended the current version anew.
    Renewed(u64),
    /// The record made this version current, because it is higher than what the log told before.
    Advanced(u64),
    /// The record appended an older version anew and changes nothing.
    Stale(u64),
    /// The record is passed over.
    Invalid(RecordError),
}

/// The edit that came first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WinningEdit {
    /// The version that it became.
    pub version: u64,
    /// Who applied it; none when that is no longer known.
    pub author: Option<Arc<str>>,
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Its place in the stream.
    pub offset: u64,
    /// The version that it became.
    pub version: u64,
    /// Who applied it.
    pub author: Arc<str>,
    /// Tells repeated appends of it.
    pub id: EditId,
}

/// The current version at an offset of the stream.
#[derive(Clone, Debug)]
pub struct Chain {
    current: RulesVersion,
    past: VecDeque<AcceptedEdit>,
}

impl Default for Chain {
    fn default() -> Self {
        Chain::at(RulesVersion::new(0, "", ""))
    }
}

impl Chain {
    /// A chain that goes on from a version known to be current.
    pub fn at(current: RulesVersion) -> Self {
        Chain {
            current,
            past: VecDeque::new(),
        }
    }

    /// The current version; 0 with an empty text before the first.
    pub fn current(&self) -> &RulesVersion {
        &self.current
    }

    /// The accepted edits that it remembers, oldest first.
    pub fn accepted_edits(&self) -> impl Iterator<Item = &AcceptedEdit> {
        self.past.iter()
    }

    /// Decides the record at this offset.
    pub fn decide(&mut self, offset: u64, record: &Record) -> RecordOutcome {
        match record {
            Record::Edit(edit) => self.decide_edit(offset, edit),
            Record::Renewal(renewal) => self.decide_renewal(offset, renewal),
        }
    }

    fn decide_edit(&mut self, offset: u64, edit: &Edit) -> RecordOutcome {
        if let Some(past) = self.past.iter().find(|past| past.id == edit.id) {
            return RecordOutcome::Duplicate(past.version);
        }
        if edit.base < self.current.version {
            return RecordOutcome::Conflict(self.winner(edit.base + 1));
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
        if self.past.len() == MAX_ACCEPTED_EDITS {
            self.past.pop_front();
        }
        self.past.push_back(AcceptedEdit {
            offset,
            version,
            author: edit.author.clone(),
            id: edit.id,
        });
        RecordOutcome::Accepted(version)
    }

    /// The greater of (version, digest) wins, so readers agree even on a history that had to be
    /// started anew. With a whole history a renewal is never the greater one.
    fn decide_renewal(&mut self, offset: u64, renewal: &Renewal) -> RecordOutcome {
        if renewal.as_of > offset {
            return RecordOutcome::Invalid(RecordError::FutureVersion);
        }
        let theirs = &renewal.accepted;
        let ours = &self.current;
        if theirs.version == ours.version && theirs.digest == ours.digest {
            return RecordOutcome::Renewed(ours.version);
        }
        if (theirs.version, theirs.digest) < (ours.version, ours.digest) {
            return RecordOutcome::Stale(theirs.version);
        }
        self.current = theirs.clone();
        RecordOutcome::Advanced(theirs.version)
    }

    fn winner(&self, version: u64) -> WinningEdit {
        let past = self.past.iter().rev().find(|past| past.version == version);
        let author = past.map(|past| past.author.clone()).or_else(|| {
            let current = self.current.version == version;
            current.then(|| self.current.author.clone())
        });
        WinningEdit { version, author }
    }
}
