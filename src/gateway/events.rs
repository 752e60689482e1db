//! Splits a stream of server-sent events at event boundaries.
//!
//! Only complete events are forwarded, so that another target can resume after the last one.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Error for an event that exceeds the maximum size of the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream into complete events, and buffers the incomplete one at its end.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<Box<str>>,
}

impl Splitter {
    /// Adds received bytes and returns the events that are now complete.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if an incomplete event exceeds the limit.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, EventTooLong> {
        let complete = if self.buffer.is_empty() {
            let end = events_end(&data);
            self.buffer.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            self.buffer.extend_from_slice(&data);
            let end = events_end(&self.buffer);
            self.buffer.split_to(end).freeze()
        };
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        if let Some(id) = parse_last_id(&complete) {
            self.last_id = Some(id.into());
        }
        Ok(complete)
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
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
    while let Some(at) = data[..end].iter().rposition(|&b| b == b'\n') {
        let line = data[..at].strip_suffix(b"\r").unwrap_or(&data[..at]);
        if line.last() == Some(&b'\n') {
            return at + 1;
        }
        end = at;
    }
    0
}

/// Value of the last `id` field in these events.
fn parse_last_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|&b| b == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

#[cfg(test)]
mod tests;
