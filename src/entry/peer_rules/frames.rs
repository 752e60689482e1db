//! Frames for the transfer of rules between entries. Their encoding is positional.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::rules::parse::MAX_FILE_BYTES;
use crate::rules::record::{RulesVersion, TextDigest};
use crate::wire::MAX_CHUNK_BYTES;

/// A request to another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RulesRequest {
    /// Asks for the current rules of the peer if they are newer than this version.
    NewerThan {
        /// The requester's version.
        version: u64,
    },
}

/// The reply to a [`RulesRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RulesReply {
    /// The peer's current version is not newer than the requester's.
    UpToDate,
    /// The peer's current rules; their text follows in [`RulesChunk`]s.
    Rules(RulesHead),
}

/// Precedes the text of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesHead {
    /// Version of the rules.
    pub version: u64,
    /// Length of the text, in bytes.
    pub bytes: u64,
    /// Digest of the text.
    pub digest: TextDigest,
}

/// A chunk of the text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesChunk {
    /// At most [`MAX_CHUNK_BYTES`] bytes.
    pub data: Bytes,
}

/// An invalid [`RulesHead`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The text exceeds [`MAX_FILE_BYTES`].
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

/// Returns the length of the text that follows, in bytes.
impl TryFrom<RulesHead> for usize {
    type Error = HeadError;

    fn try_from(head: RulesHead) -> Result<Self, HeadError> {
        match usize::try_from(head.bytes) {
            Ok(bytes) if bytes <= MAX_FILE_BYTES => Ok(bytes),
            _ => Err(HeadError::TooLong(head.bytes)),
        }
    }
}

/// Splits a text into chunks.
pub fn chunks(text: &str) -> impl Iterator<Item = RulesChunk> {
    text.as_bytes()
        .chunks(MAX_CHUNK_BYTES)
        .map(|data| RulesChunk {
            data: Bytes::copy_from_slice(data),
        })
}
