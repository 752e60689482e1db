//! Splits a stream of server-sent events at event boundaries.
//!
//! Only complete events are forwarded, so that another target can resume after the last one.

use bytes::Bytes;

use crate::gateway::byte_budget::{ByteBudget, HeldBuffer, NoRoom};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Longest sequence of bytes that ends an event.
const MAX_END_BYTES: usize = 3;

/// Error for an event that is not kept until it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// It is longer than the limit.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The process has no memory left for it.
    #[error("no memory left for an event")]
    NoRoom,
    /// It does not follow the last one of the stream that it is to continue.
    #[error("an event does not continue the stream")]
    NotContinued,
}

impl From<NoRoom> for EventError {
    fn from(_: NoRoom) -> Self {
        EventError::NoRoom
    }
}

/// Splits a stream into complete events, and buffers the incomplete one at its end.
#[derive(Debug)]
pub struct Splitter {
    buffer: HeldBuffer,
    last_id: Option<Box<str>>,
    /// Whether the events have to continue those before: each has an id, and ids increase.
    is_resumed: bool,
}

impl Splitter {
    /// A splitter whose buffer counts in `budget`.
    pub fn new(budget: &ByteBudget) -> Self {
        Splitter {
            buffer: budget.buffer(),
            last_id: None,
            is_resumed: false,
        }
    }

    /// Adds received bytes and returns the events that are now complete.
    ///
    /// # Errors
    /// Returns an error if an incomplete event exceeds the limit, or there is no memory left for it, or
    /// an event of a resumed stream does not continue it.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, EventError> {
        let complete = if self.buffer.is_empty() {
            let end = events_end(&data);
            if end < data.len() {
                self.buffer.push(&data[end..])?;
            }
            data.slice(..end)
        } else {
            self.push_to_partial(&data)?
        };
        if self.buffer.as_slice().len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        if self.is_resumed {
            self.check_continuation(&complete)?;
        }
        if let Some(id) = parse_last_id(&complete) {
            self.last_id = Some(id.into());
        }
        Ok(complete)
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

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Id of the last complete event that has one; `None` if there is no such event yet.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the incomplete event. The next ones come from another target, which has to continue
    /// the stream.
    pub fn resume(&mut self) {
        self.buffer.clear();
        self.is_resumed = true;
    }

    /// Checks that events continue the stream, if it has ids.
    fn check_continuation(&self, events: &[u8]) -> Result<(), EventError> {
        let Some(last) = &self.last_id else {
            return Ok(());
        };
        let mut last: Option<u64> = last.parse().ok();
        for event in split_events(events) {
            let id = parse_last_id(event).ok_or(EventError::NotContinued)?;
            let number = id.parse().ok();
            if number.is_some() && number <= last {
                return Err(EventError::NotContinued);
            }
            last = number;
        }
        Ok(())
    }
}

/// Offset of the end of the last complete event, which an empty line terminates; 0 if there is
/// none.
fn events_end(data: &[u8]) -> usize {
    let mut end = data.len();
    while let Some(at) = data[..end].iter().rposition(|&b| b == b'\n') {
        let line = data[..at].strip_suffix(b"\r").unwrap_or(&data[..at]);
        if line.last() == Some(&b'\n') {
            return at + 1;
        }
        end = at;
    }
    0
}

/// The single events, without those that consist of comments.
fn split_events(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    let events = std::iter::from_fn(move || {
        let end = first_event_end(rest)?;
        let (event, others) = rest.split_at(end);
        rest = others;
        Some(event)
    });
    events.filter(|event| {
        let mut lines = event.split(|&b| b == b'\n').map(<[u8]>::trim_ascii);
        lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    })
}

/// Offset of the end of the first complete event; `None` if there is none.
fn first_event_end(data: &[u8]) -> Option<usize> {
    let mut start = 0;
    loop {
        let end = start + data[start..].iter().position(|&b| b == b'\n')?;
        if data[start..end].trim_ascii().is_empty() {
            return Some(end + 1);
        }
        start = end + 1;
    }
}

/// Value of the last `id` field in these events.
fn parse_last_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|&b| b == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

#[cfg(test)]
mod tests;
