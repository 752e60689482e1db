//! Errors of calls to the platform.

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call could not be written as a request; nothing was sent.
    #[error("could not write the request: {0}")]
    InvalidRequest(String),
    /// The connection could not be established.
    #[error("could not connect: {0}")]
    Connect(String),
    /// The service is unavailable or rejected the call.
    #[error("the service responded with status {0}")]
    Status(u16),
    /// No complete response was received within the timeout.
    #[error("timed out waiting for a response")]
    Timeout,
    /// The connection was lost.
    #[error("connection lost: {0}")]
    Broken(String),
    /// The response exceeds its size limit, in bytes.
    #[error("the response is larger than {0} bytes")]
    TooLarge(usize),
    /// The response does not have the expected format.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// Why an append failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The record is certainly not in the log.
    #[error("not appended: {0}")]
    NotAppended(CallError),
    /// The record may be in the log.
    #[error("may have been appended: {0}")]
    Unknown(CallError),
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The record at the offset has expired.
    #[error("the record has expired, the oldest offset is {first}")]
    Expired {
        /// Offset of the oldest record in the log.
        first: u64,
    },
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] CallError),
}

const STATUS_UNAVAILABLE: u16 = 503;

impl From<CallError> for AppendError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::InvalidRequest(_) | CallError::Connect(_) => AppendError::NotAppended(error),
            CallError::Status(STATUS_UNAVAILABLE | 400..=499) => AppendError::NotAppended(error),
            _ => AppendError::Unknown(error),
        }
    }
}
