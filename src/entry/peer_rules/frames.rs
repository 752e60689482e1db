//! Frames between entries.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::rules::parse::MAX_FILE_BYTES;
use crate::rules::record::{RulesVersion, TextDigest};
use crate::wire::MAX_CHUNK_BYTES;

/// What an entry asks of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RulesRequest {
    /// The rules in force, if their version is above this one.
    RulesAbove {
        /// Version that the asker has.
        version: u64,
    },
}

/// The answer to [`RulesRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RulesReply {
    /// There is no such version here.
    NoneAbove,
    /// The version in force; its text follows in [`RulesChunk`]s.
    Rules(RulesHead),
}

/// What comes before a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesHead {
    /// Version in force.
    pub version: u64,
    /// Length of the text, in bytes.
    pub bytes: u64,
    /// Digest of the text.
    pub digest: TextDigest,
}

/// A piece of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesChunk {
    /// At most [`MAX_CHUNK_BYTES`].
    pub data: Bytes,
}

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The text is longer than a rules file may be.
    #[error("text of {0} bytes exceeds the limit")]
    TooLong(u64),
}

impl From<&RulesVersion> for RulesHead {
    fn from(accepted: &RulesVersion) -> Self {
        RulesHead {
            version: accepted.version,
            bytes: accepted.text.len() as u64,
            digest: accepted.digest,
        }
    }
}

/// The length of the text that follows, in bytes.
impl TryFrom<RulesHead> for usize {
    type Error = HeadError;

    fn try_from(head: RulesHead) -> Result<Self, HeadError> {
        match usize::try_from(head.bytes) {
            Ok(bytes) if bytes <= MAX_FILE_BYTES => Ok(bytes),
            _ => Err(HeadError::TooLong(head.bytes)),
        }
    }
}

/// A text in pieces.
pub fn pieces(text: &str) -> impl Iterator<Item = RulesChunk> {
    text.as_bytes()
        .chunks(MAX_CHUNK_BYTES)
        .map(|data| RulesChunk {
            data: Bytes::copy_from_slice(data),
        })
}
