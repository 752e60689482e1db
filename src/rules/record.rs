//! Records of the rules stream: operators' edits, and renewals, which are copies of accepted
//! versions.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::change::Change;
use super::parse::MAX_FILE_BYTES;

/// Version of the record format, the first byte of each record.
pub const RECORD_FORMAT: u8 = 1;
/// Maximum length of an author's name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;
/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = MAX_FILE_BYTES + 1024;

/// SHA-256 of a rules text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TextDigest(pub [u8; 32]);

impl TextDigest {
    /// Computes the digest of a text.
    pub fn of(text: &str) -> Self {
        TextDigest(Sha256::digest(text).into())
    }
}

/// Random id of an edit, by which repeated appends of it are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub u64);

impl EditId {
    /// Generates a random id.
    pub fn random() -> Self {
        EditId(rand::random())
    }
}

/// An accepted version of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RulesVersion {
    /// Number of the version, from 1; 0 is the empty text before the first edit.
    pub version: u64,
    /// Author of the edit that produced the version.
    pub author: Arc<str>,
    /// The text of the rules file.
    pub text: Arc<str>,
    /// Digest of the text.
    pub digest: TextDigest,
}

impl RulesVersion {
    /// Creates a version and computes the digest of its text.
    pub fn new(version: u64, author: &str, text: &str) -> Self {
        RulesVersion {
            version,
            author: author.into(),
            text: text.into(),
            digest: TextDigest::of(text),
        }
    }
}

/// An operator's edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Id of the edit.
    pub id: EditId,
    /// Number of the version that the edit changes. It is accepted only if this version is current.
    pub base: u64,
    /// Author of the edit.
    pub author: Arc<str>,
    /// Difference to the text of the base version.
    pub change: Change,
    /// Digest of the new text.
    pub digest: TextDigest,
}

/// A copy of an accepted version, appended before the records that produced it expire from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The copied version.
    pub accepted: RulesVersion,
    /// Offset in the stream: the version was current immediately before the record at this offset.
    pub as_of: u64,
    /// Whether the history restarts here, because the log no longer contains the records that
    /// determine the current version.
    pub restart: bool,
}

/// A record of the rules stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An operator's edit.
    Edit(Edit),
    /// A renewal: a copy of an accepted version.
    Renewal(Renewal),
}

/// Why a record is invalid and has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD_BYTES`].
    #[error("larger than {MAX_RECORD_BYTES} bytes")]
    TooLarge,
    /// The record's first byte is not [`RECORD_FORMAT`].
    #[error("unknown record format")]
    UnknownFormat,
    /// The record cannot be decoded or applied.
    #[error("malformed")]
    Malformed,
    /// The record's author or text is too long.
    #[error("author or text is too long")]
    TooLong,
    /// The text does not match the record's digest.
    #[error("text does not match its digest")]
    DigestMismatch,
    /// The record is an edit of a version that does not exist yet, or a renewal whose
    /// [`Renewal::as_of`] is after its own offset.
    #[error("refers to a later version or offset")]
    FutureReference,
}

#[derive(Serialize, Deserialize)]
enum WireRecord {
    Edit(WireEdit),
    Renewal(WireRenewal),
}

#[derive(Serialize, Deserialize)]
struct WireEdit {
    id: EditId,
    base: u64,
    author: String,
    change: Change,
    digest: TextDigest,
}

#[derive(Serialize, Deserialize)]
struct WireRenewal {
    version: u64,
    author: String,
    text: String,
    digest: TextDigest,
    as_of: u64,
    restart: bool,
}

impl Record {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Bytes {
        let wire = WireRecord::from(self);
        let bytes = postcard::to_extend(&wire, vec![RECORD_FORMAT])
            .expect("writing to a vector does not fail");
        Bytes::from(bytes)
    }

    /// Decodes a record from the log.
    ///
    /// # Errors
    /// Returns an error if the record must be ignored. The result depends on the bytes alone, so
    /// all readers agree.
    pub fn decode(data: &[u8]) -> Result<Self, RecordError> {
        if data.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge);
        }
        let (&format, body) = data.split_first().ok_or(RecordError::Malformed)?;
        if format != RECORD_FORMAT {
            return Err(RecordError::UnknownFormat);
        }
        let (wire, rest) =
            postcard::take_from_bytes::<WireRecord>(body).map_err(|_| RecordError::Malformed)?;
        if !rest.is_empty() {
            return Err(RecordError::Malformed);
        }
        Record::try_from(wire)
    }
}

impl From<&Record> for WireRecord {
    fn from(record: &Record) -> Self {
        match record {
            Record::Edit(edit) => WireRecord::Edit(WireEdit {
                id: edit.id,
                base: edit.base,
                author: edit.author.to_string(),
                change: edit.change.clone(),
                digest: edit.digest,
            }),
            Record::Renewal(renewal) => WireRecord::Renewal(WireRenewal {
                version: renewal.accepted.version,
                author: renewal.accepted.author.to_string(),
                text: renewal.accepted.text.to_string(),
                digest: renewal.accepted.digest,
                as_of: renewal.as_of,
                restart: renewal.restart,
            }),
        }
    }
}

impl TryFrom<WireRecord> for Record {
    type Error = RecordError;

    fn try_from(wire: WireRecord) -> Result<Self, RecordError> {
        match wire {
            WireRecord::Edit(edit) => Edit::try_from(edit).map(Record::Edit),
            WireRecord::Renewal(renewal) => Renewal::try_from(renewal).map(Record::Renewal),
        }
    }
}

impl TryFrom<WireEdit> for Edit {
    type Error = RecordError;

    fn try_from(edit: WireEdit) -> Result<Self, RecordError> {
        check_author(&edit.author)?;
        Ok(Edit {
            id: edit.id,
            base: edit.base,
            author: edit.author.into(),
            change: edit.change,
            digest: edit.digest,
        })
    }
}

impl TryFrom<WireRenewal> for Renewal {
    type Error = RecordError;

    fn try_from(renewal: WireRenewal) -> Result<Self, RecordError> {
        check_author(&renewal.author)?;
        if renewal.text.len() > MAX_FILE_BYTES {
            return Err(RecordError::TooLong);
        }
        let accepted = RulesVersion::new(renewal.version, &renewal.author, &renewal.text);
        if accepted.digest != renewal.digest {
            return Err(RecordError::DigestMismatch);
        }
        Ok(Renewal {
            accepted,
            as_of: renewal.as_of,
            restart: renewal.restart,
        })
    }
}

/// Rejects authors that are too long or contain control characters, since they are printed within
/// one line.
fn check_author(author: &str) -> Result<(), RecordError> {
    if author.len() > MAX_AUTHOR_BYTES {
        return Err(RecordError::TooLong);
    }
    if author.contains(char::is_control) {
        return Err(RecordError::Malformed);
    }
    Ok(())
}
