//! Splits a stream of events at the events' ends.
//!
//! Only whole events are passed on, so that another target can go on after the last one.

use bytes::{Bytes, BytesMut};

/// Largest part of an event that is held back.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is too long to be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Holds back the part of an event that has come so far.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
    last: Option<Box<str>>,
}

impl Splitter {
    /// Takes in bytes, and returns the whole events so far.
    ///
    /// # Errors
    /// [`TooLong`] when an event does not end.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, TooLong> {
        let whole = if self.held.is_empty() {
            let end = events_end(&data);
            self.held.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            self.held.extend_from_slice(&data);
            let end = events_end(&self.held);
            self.held.split_to(end).freeze()
        };
        if self.held.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        if let Some(id) = last_id(&whole) {
            self.last = Some(id.into());
        }
        Ok(whole)
    }

    /// Whether an event has begun and not ended.
    pub fn is_within(&self) -> bool {
        !self.held.is_empty()
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Forgets the part of an event that has come.
    pub fn drop_part(&mut self) {
        self.held.clear();
    }
}

/// Where the last event that has ended ends: after an empty line.
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

/// The id that the last event with one names.
fn last_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|&b| b == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

#[cfg(test)]
mod tests;
