//! Reads bodies whole, within the limits on one body and on all bytes that the process holds.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::byte_budget::{ByteBudget, NoRoom};

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// It is longer than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The process has no memory left for it.
    #[error("no memory left for the body")]
    NoRoom,
    /// Its connection broke off, or it is malformed.
    #[error("the body broke off")]
    Broken,
}

impl From<NoRoom> for ReadError {
    fn from(_: NoRoom) -> Self {
        ReadError::NoRoom
    }
}

/// Reads a body of up to `limit` bytes. The bytes count as held until their last clone is dropped.
///
/// # Errors
/// Returns an error if the body is too large, there is no memory left for it, or it breaks off. The
/// rest of it is then unread.
pub async fn read(
    body: &mut Incoming,
    limit: usize,
    budget: &ByteBudget,
) -> Result<Bytes, ReadError> {
    let mut buffer = budget.buffer();
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limit {
            return Err(ReadError::TooLarge);
        }
        buffer.reserve(length)?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.as_slice().len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        buffer.push(&data)?;
    }
    Ok(buffer.freeze())
}

/// Reads what is left of a body without keeping it, so that its sender reads the answer.
pub async fn discard(body: &mut Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
