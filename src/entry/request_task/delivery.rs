//! The caller's side of a flight: what waits to be passed on, and what the caller has.

use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{BodyPart, ResponseHead, ResponseSender};
use crate::problem::Problem;

/// Chunks that are passed on before the agent is told.
const ACK_CHUNKS: u64 = 32;
/// Bytes that are passed on before the agent is told.
const ACK_BYTES: u64 = 64 * 1024;

/// What has been passed on since the agent was last told.
#[derive(Clone, Copy, Debug, Default)]
struct Unacked {
    chunks: u64,
    bytes: u64,
}

/// An answer's way to its caller.
#[derive(Debug)]
pub(super) struct Delivery {
    caller: ResponseSender,
    pending: VecDeque<Bytes>,
    unacked: Unacked,
    passed: u64,
    /// Bytes of the body that the caller still expects, when the head told its length.
    left: Option<u64>,
    status: u16,
    gone: bool,
}

impl Delivery {
    /// Nothing has been passed on yet.
    pub(super) fn to(caller: ResponseSender) -> Self {
        Delivery {
            caller,
            pending: VecDeque::new(),
            unacked: Unacked::default(),
            passed: 0,
            left: None,
            status: 0,
            gone: false,
        }
    }

    /// Takes the pieces of the body.
    pub(super) fn body(&self) -> mpsc::Sender<BodyPart> {
        self.caller.body.clone()
    }

    /// Whether a piece waits to be passed on.
    pub(super) fn waits(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the caller has left.
    pub(super) fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether the caller has a body of known length in full. Its connection then takes no more,
    /// not even the end.
    pub(super) fn has_all(&self) -> bool {
        self.left == Some(0)
    }

    /// The answer's status; 0 before its head.
    pub(super) fn status(&self) -> u16 {
        self.status
    }

    /// The piece that is passed on next. Call [`Delivery::passed_on`] with its size after.
    pub(super) fn next(&mut self) -> Bytes {
        let data = self.pending.pop_front().expect("a piece waits");
        let size = data.len() as u64;
        self.left = self.left.map(|left| left.saturating_sub(size));
        data
    }

    /// Counts a chunk that the caller has. Returns the chunk that the agent is to be told as the
    /// next one, once for several.
    pub(super) fn passed_on(&mut self, size: usize) -> Option<u64> {
        self.passed += 1;
        self.unacked.chunks += 1;
        self.unacked.bytes += size as u64;
        if self.unacked.chunks < ACK_CHUNKS && self.unacked.bytes < ACK_BYTES {
            return None;
        }
        self.unacked = Unacked::default();
        Some(self.passed + 1)
    }

    /// The caller takes nothing any more: what waits is dropped uncounted.
    pub(super) fn stalled(&mut self) {
        self.pending.clear();
        self.gone = true;
    }

    /// The caller has left. Returns what waited, which counts as passed on.
    pub(super) fn abandoned(&mut self) -> VecDeque<Bytes> {
        self.gone = true;
        std::mem::take(&mut self.pending)
    }

    /// Passes the head on.
    pub(super) fn head(&mut self, head: ResponseHead) {
        self.status = head.status;
        self.left = head.length();
        self.answer(Ok(head));
    }

    /// Takes a chunk to be passed on.
    pub(super) fn push(&mut self, data: Bytes) {
        self.pending.push_back(data);
    }

    /// ResponseCache with a refusal, unless the head has been passed on.
    pub(super) fn refuse(&mut self, problem: Problem) {
        self.answer(Err(problem));
    }

    /// Marks the answer as whole.
    pub(super) async fn end(&self) {
        if !self.gone {
            // A caller that is gone needs no word.
            let _ = self.caller.body.send(BodyPart::End).await;
        }
    }

    fn answer(&mut self, head: Result<ResponseHead, Problem>) {
        if let Some(to) = self.caller.head.take() {
            // A caller that is gone shows when the body is passed on.
            let _ = to.send(head);
        }
    }
}
