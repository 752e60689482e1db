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

/// What was read of an answer.
#[derive(Debug)]
pub enum AnswerRead {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, in two parts that may be empty, as the process has no memory left for the
    /// rest, which is unread.
    Part([Bytes; 2]),
}

/// Reads an answer of up to `limit` bytes, for as long as there is memory left for it. The bytes
/// count as held until their last clone is dropped.
///
/// # Errors
/// Returns an error if the answer is too large or breaks off.
pub async fn read_answer(
    body: &mut Incoming,
    limit: usize,
    budget: &ByteBudget,
) -> Result<AnswerRead, ReadError> {
    let mut buffer = budget.response_buffer();
    if let Some(length) = exact_length(body, limit)?
        && buffer.reserve(length).is_err()
    {
        return Ok(AnswerRead::Part(Default::default()));
    }
    while let Some(data) = next_data(body).await? {
        if buffer.as_slice().len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        if buffer.push(&data).is_err() {
            return Ok(AnswerRead::Part([buffer.freeze(), data]));
        }
    }
    Ok(AnswerRead::Whole(buffer.freeze()))
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
    if let Some(length) = exact_length(body, limit)? {
        buffer.reserve(length)?;
    }
    while let Some(data) = next_data(body).await? {
        if buffer.as_slice().len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        buffer.push(&data)?;
    }
    Ok(buffer.freeze())
}

/// Length that a body announces, if it announces one.
fn exact_length(body: &Incoming, limit: usize) -> Result<Option<usize>, ReadError> {
    let Some(length) = body.size_hint().exact() else {
        return Ok(None);
    };
    match usize::try_from(length) {
        Ok(length) if length <= limit => Ok(Some(length)),
        _ => Err(ReadError::TooLarge),
    }
}

/// The next bytes of a body; `None` at its end.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, ReadError> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| ReadError::Broken)?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads what is left of a body without keeping it, so that its sender reads the answer.
pub async fn discard(body: &mut Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
