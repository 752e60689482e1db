//! Buffer in which an agent keeps the response frames that the entry has not yet acknowledged, to
//! send them again after a reconnection.
//!
//! Does no I/O. Frame 0 is the response head; the chunks are numbered from 1.

use std::collections::VecDeque;

/// Number of unacknowledged bytes of one response at which the buffer is full.
pub const MAX_UNACKED_BYTES: usize = 256 * 1024;

/// Number of unacknowledged frames of one response at which the buffer is full.
pub const MAX_UNACKED_FRAMES: usize = 512;

/// Frames of one response, from the first unacknowledged one on.
#[derive(Clone, Debug)]
pub struct ReplayBuffer<T> {
    frames: VecDeque<(T, usize)>,
    first_seq: u64,
    bytes: usize,
}

impl<T> Default for ReplayBuffer<T> {
    fn default() -> Self {
        ReplayBuffer {
            frames: VecDeque::new(),
            first_seq: 0,
            bytes: 0,
        }
    }
}

impl<T> ReplayBuffer<T> {
    /// Creates an empty buffer, which starts at frame 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a frame of `len` bytes and returns its number. Callers stop reading from the target
    /// while [`ReplayBuffer::is_full`]; a frame that was already read is always accepted.
    pub fn push(&mut self, frame: T, len: usize) -> u64 {
        self.frames.push_back((frame, len));
        self.bytes += len;
        self.next_seq() - 1
    }

    /// Drops every frame before `next`, which the entry has acknowledged. Late and duplicate
    /// acknowledgements are ignored.
    pub fn ack(&mut self, next: u64) {
        while self.first_seq < next {
            let Some((_, len)) = self.frames.pop_front() else {
                return;
            };
            self.bytes -= len;
            self.first_seq += 1;
        }
    }

    /// Returns the frames from `next` on with their numbers, or `None` if some were already
    /// dropped.
    pub fn iter_from(&self, next: u64) -> Option<impl Iterator<Item = (u64, &T)>> {
        let skip = usize::try_from(next.checked_sub(self.first_seq)?).ok()?;
        let numbered = (self.first_seq..).zip(&self.frames).skip(skip);
        Some(numbered.map(|(seq, (frame, _))| (seq, frame)))
    }

    /// Whether reading from the target must pause until frames are acknowledged.
    pub fn is_full(&self) -> bool {
        self.bytes >= MAX_UNACKED_BYTES || self.frames.len() >= MAX_UNACKED_FRAMES
    }

    /// Number of the next frame to be appended.
    pub fn next_seq(&self) -> u64 {
        self.first_seq + self.frames.len() as u64
    }
}

#[cfg(test)]
mod tests;
