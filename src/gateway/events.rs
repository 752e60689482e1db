//! Splits a stream of server-sent events at event boundaries.
//!
//! Only complete events are forwarded, so that another target can resume after the last one. If there
//! is no memory left for an incomplete event, it and all that follows are passed on as they arrive:
//! the stream goes on at the pace of its client, but no other target can resume it.

use bytes::Bytes;
use smallvec::SmallVec;

use crate::gateway::byte_budget::{ByteBudget, HeldBuffer, NoRoom};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Longest sequence of bytes that ends an event.
const MAX_END_BYTES: usize = 3;

/// Size of the blocks that are searched for a newline, in bytes. `contains` compares whole words and
/// `rposition` single bytes. With `rposition` alone, the search took most of the processor time of a
/// gateway to which 200 targets sent events without end, and the gateway turned other clients away.
const SEARCH_BLOCK: usize = 256;

/// Error for an event that is not kept until it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// It is longer than the limit.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// End of a stream that is passed on as it arrives.
#[derive(Debug, Default)]
struct Passed {
    /// Number of bytes since the end of the last complete event.
    since_end: usize,
    /// The last bytes, in which the end of an event may begin.
    tail: SmallVec<[u8; 2 * MAX_END_BYTES]>,
}

impl Passed {
    fn record(&mut self, data: &[u8]) {
        self.since_end = match events_end(data) {
            0 => self.since_end_across(data),
            end => data.len() - end,
        };
        let kept = &data[data.len().saturating_sub(MAX_END_BYTES)..];
        self.tail.extend_from_slice(kept);
        let surplus = self.tail.len().saturating_sub(MAX_END_BYTES);
        self.tail.drain(..surplus);
    }

    /// Number of bytes since the end of the last event, if it does not lie within `data` alone.
    fn since_end_across(&self, data: &[u8]) -> usize {
        let mut joined = self.tail.clone();
        joined.extend_from_slice(&data[..data.len().min(MAX_END_BYTES)]);
        match events_end(&joined).checked_sub(self.tail.len()) {
            Some(end) if end > 0 => data.len() - end,
            _ => self.since_end + data.len(),
        }
    }
}

/// Splits a stream into complete events, and buffers the incomplete one at its end.
#[derive(Debug)]
pub struct Splitter {
    buffer: HeldBuffer,
    last_id: Option<Box<str>>,
    /// Set once there was no memory left for an incomplete event.
    passed: Option<Passed>,
    /// Bytes that follow those that were returned last.
    next: Option<Bytes>,
}

impl Splitter {
    /// A splitter whose buffer counts in `budget`.
    pub fn new(budget: &ByteBudget) -> Self {
        Splitter {
            buffer: budget.response_buffer(),
            last_id: None,
            passed: None,
            next: None,
        }
    }

    /// Adds received bytes and returns the events that are now complete, or what is passed on.
    ///
    /// # Errors
    /// Returns an error if an incomplete event exceeds the limit.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, EventError> {
        if self.passed.is_some() {
            return self.pass_on(data);
        }
        let complete = match self.push_complete(&data) {
            Ok(complete) => complete,
            Err(NoRoom) => return self.begin_passing(data),
        };
        if self.buffer.as_slice().len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        if let Some(id) = parse_last_id(&complete) {
            self.last_id = Some(id.into());
        }
        Ok(complete)
    }

    fn push_complete(&mut self, data: &Bytes) -> Result<Bytes, NoRoom> {
        if !self.buffer.is_empty() {
            return self.push_to_partial(data);
        }
        let end = events_end(data);
        if end < data.len() {
            self.buffer.push(&data[end..])?;
        }
        Ok(data.slice(..end))
    }

    /// Passes on what is buffered, and `data` after it.
    fn begin_passing(&mut self, data: Bytes) -> Result<Bytes, EventError> {
        self.passed = Some(Passed::default());
        if self.buffer.is_empty() {
            return self.pass_on(data);
        }
        self.next = Some(data);
        let partial = self.buffer.take(self.buffer.as_slice().len());
        self.pass_on(partial)
    }

    fn pass_on(&mut self, data: Bytes) -> Result<Bytes, EventError> {
        let passed = self.passed.get_or_insert_default();
        passed.record(&data);
        match passed.since_end > MAX_EVENT_BYTES {
            true => Err(EventError::TooLong),
            false => Ok(data),
        }
    }

    /// Bytes that were received before and are to be pushed next, if any.
    pub fn take_next(&mut self) -> Option<Bytes> {
        self.next.take()
    }

    /// Whether another target can resume the stream: no incomplete event has been passed on.
    pub fn is_resumable(&self) -> bool {
        self.passed.is_none()
    }

    /// Adds bytes to an incomplete event. What has been searched for its end is not searched again.
    fn push_to_partial(&mut self, data: &[u8]) -> Result<Bytes, NoRoom> {
        let searched = self.buffer.as_slice().len().saturating_sub(MAX_END_BYTES);
        self.buffer.push(data)?;
        match events_end(&self.buffer.as_slice()[searched..]) {
            0 => Ok(Bytes::new()),
            end => Ok(self.buffer.take(searched + end)),
        }
    }

    /// Whether the bytes so far end with an incomplete event.
    pub fn has_partial(&self) -> bool {
        let passed = self.passed.as_ref();
        !self.buffer.is_empty() || passed.is_some_and(|passed| passed.since_end > 0)
    }

    /// Id of the last complete event that has one; `None` if there is no such event yet.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the incomplete event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Offset of the end of the last complete event, which an empty line terminates; 0 if there is
/// none.
fn events_end(data: &[u8]) -> usize {
    let mut end = data.len();
    while let Some(at) = last_newline(&data[..end]) {
        let line = data[..at].strip_suffix(b"\r").unwrap_or(&data[..at]);
        if line.last() == Some(&b'\n') {
            return at + 1;
        }
        end = at;
    }
    0
}

/// Offset of the last newline.
fn last_newline(data: &[u8]) -> Option<usize> {
    let mut start = data.len();
    for block in data.rchunks(SEARCH_BLOCK) {
        start -= block.len();
        if block.contains(&b'\n') {
            return block.iter().rposition(|&b| b == b'\n').map(|at| start + at);
        }
    }
    None
}

/// Value of the last `id` field in these events.
fn parse_last_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|&b| b == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

#[cfg(test)]
mod tests;
