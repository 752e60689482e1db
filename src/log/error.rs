//! Failures of calls to the platform.

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection was made.
    #[error("could not connect: {0}")]
    Connect(String),
    /// The service is out or has refused the call.
    #[error("the service answered {0}")]
    Status(u16),
    /// No whole answer came in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The answer exceeds its bound, in bytes.
    #[error("the answer is longer than {0} bytes")]
    TooLarge(usize),
    /// The answer is not what the service promises.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Why an append failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The record is surely not in the log.
    #[error("not appended: {0}")]
    NotAppended(CallError),
    /// The record may be in the log.
    #[error("may have been appended: {0}")]
    Unknown(CallError),
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The record has expired.
    #[error("expired, the oldest record is {first}")]
    Expired {
        /// Offset of the oldest record that the log still holds.
        first: u64,
    },
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] CallError),
}

const STATUS_UNAVAILABLE: u16 = 503;

impl From<CallError> for AppendError {
    fn from(cause: CallError) -> Self {
        match cause {
            CallError::Connect(_) => AppendError::NotAppended(cause),
            CallError::Status(STATUS_UNAVAILABLE | 400..=499) => AppendError::NotAppended(cause),
            _ => AppendError::Unknown(cause),
        }
    }
}
