//! An answer on its way from a flight to its caller.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::problem::Problem;
use crate::wire::Header;

/// An answer's status and headers.
#[derive(Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
}

impl ResponseHead {
    /// Length of the body, in bytes, when the headers tell it.
    pub(super) fn length(&self) -> Option<u64> {
        let header = self.headers.iter().find(|h| h.name == "content-length")?;
        std::str::from_utf8(&header.value).ok()?.parse().ok()
    }
}

/// A piece of an answer's body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The answer is complete. Without it, a body that stops is broken off.
    End,
}

/// Where the answer goes.
#[derive(Debug)]
pub struct ResponseSender {
    pub(super) head: Option<oneshot::Sender<Result<ResponseHead, Problem>>>,
    pub(super) body: mpsc::Sender<BodyPart>,
}

impl ResponseSender {
    /// A caller who takes the head (or a refusal) and the body.
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
