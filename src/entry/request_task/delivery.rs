//! Delivery of a response to its caller: buffered chunks, and counts of forwarded ones.

use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{BodyPart, ResponseHead, ResponseSender};
use crate::problem::Problem;

/// Number of forwarded chunks after which an acknowledgement is sent to the agent.
const ACK_CHUNKS: u64 = 32;
/// Number of forwarded bytes after which an acknowledgement is sent to the agent.
const ACK_BYTES: u64 = 64 * 1024;

/// Data forwarded since the last acknowledgement.
#[derive(Clone, Copy, Debug, Default)]
struct Unacked {
    chunks: u64,
    bytes: u64,
}

/// The delivery of one response.
#[derive(Debug)]
pub(super) struct Delivery {
    caller: ResponseSender,
    pending: VecDeque<Bytes>,
    unacked: Unacked,
    forwarded: u64,
    /// Bytes of the body still to be forwarded, if the head has a `content-length`.
    remaining: Option<u64>,
    status: u16,
    closed: bool,
}

impl Delivery {
    /// Creates a delivery to a caller.
    pub(super) fn new(caller: ResponseSender) -> Self {
        Delivery {
            caller,
            pending: VecDeque::new(),
            unacked: Unacked::default(),
            forwarded: 0,
            remaining: None,
            status: 0,
            closed: false,
        }
    }

    /// Returns the sender of body parts.
    pub(super) fn body(&self) -> mpsc::Sender<BodyPart> {
        self.caller.body.clone()
    }

    /// Returns whether a chunk waits to be forwarded.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the caller has disconnected or stalled.
    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns whether a body of known length has been forwarded in full. The HTTP server then
    /// closes the channel without reading [`BodyPart::End`].
    pub(super) fn is_complete(&self) -> bool {
        self.remaining == Some(0)
    }

    /// Returns the response's status, or 0 before the head.
    pub(super) fn status(&self) -> u16 {
        self.status
    }

    /// Removes the next chunk. After sending it, call [`Delivery::record_forwarded`] with its size.
    pub(super) fn pop(&mut self) -> Bytes {
        let data = self.pending.pop_front().expect("a chunk is pending");
        let size = data.len() as u64;
        self.remaining = self
            .remaining
            .map(|remaining| remaining.saturating_sub(size));
        data
    }

    /// Counts a forwarded chunk. Returns the next chunk's number if an acknowledgement is due: once
    /// per [`ACK_CHUNKS`] or [`ACK_BYTES`].
    pub(super) fn record_forwarded(&mut self, size: usize) -> Option<u64> {
        self.forwarded += 1;
        self.unacked.chunks += 1;
        self.unacked.bytes += size as u64;
        if self.unacked.chunks < ACK_CHUNKS && self.unacked.bytes < ACK_BYTES {
            return None;
        }
        self.unacked = Unacked::default();
        Some(self.forwarded + 1)
    }

    /// Drops buffered chunks without counting them, after the caller has stalled.
    pub(super) fn discard(&mut self) {
        self.pending.clear();
        self.closed = true;
    }

    /// Closes the delivery after the caller has disconnected. Returns the buffered chunks, which
    /// count as forwarded.
    pub(super) fn close(&mut self) -> VecDeque<Bytes> {
        self.closed = true;
        std::mem::take(&mut self.pending)
    }

    /// Sends the response head to the caller.
    pub(super) fn send_head(&mut self, head: ResponseHead) {
        self.status = head.status;
        self.remaining = head.content_length();
        self.respond(Ok(head));
    }

    /// Buffers a chunk of the body.
    pub(super) fn push(&mut self, data: Bytes) {
        self.pending.push_back(data);
    }

    /// Sends a problem in place of the response, unless the head has been sent.
    pub(super) fn send_problem(&mut self, problem: Problem) {
        self.respond(Err(problem));
    }

    /// Marks the body as complete.
    pub(super) async fn finish(&self) {
        if !self.closed {
            // A send fails only if the caller has disconnected.
            let _ = self.caller.body.send(BodyPart::End).await;
        }
    }

    fn respond(&mut self, head: Result<ResponseHead, Problem>) {
        if let Some(to) = self.caller.head.take() {
            // A disconnected caller is detected when the body is sent.
            let _ = to.send(head);
        }
    }
}
