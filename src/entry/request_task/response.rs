//! Response data passed from a request task (the task that runs one request) to the connection of
//! the caller (the HTTP client).

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::problem::Problem;
use crate::wire::Header;

/// Status and headers of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
}

impl ResponseHead {
    /// Returns the value of the `content-length` header, or `None` if it is missing or not a
    /// number.
    pub(super) fn content_length(&self) -> Option<u64> {
        let header = self.headers.iter().find(|h| h.name == "content-length")?;
        std::str::from_utf8(&header.value).ok()?.parse().ok()
    }
}

/// A part of a response body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete. If the channel closes without `End`, the response was aborted.
    End,
}

/// Channels to the caller's connection.
#[derive(Debug)]
pub struct ResponseSender {
    /// Channel for the head, or for a problem (the body of an error response) in its place; `None`
    /// once either has been sent.
    pub(super) head: Option<oneshot::Sender<Result<ResponseHead, Problem>>>,
    pub(super) body: mpsc::Sender<BodyPart>,
}

impl ResponseSender {
    /// Creates a sender. `head` gets either the response head or a problem, `body` gets the body.
    pub fn new(
        head: oneshot::Sender<Result<ResponseHead, Problem>>,
        body: mpsc::Sender<BodyPart>,
    ) -> Self {
        ResponseSender {
            head: Some(head),
            body,
        }
    }
}
