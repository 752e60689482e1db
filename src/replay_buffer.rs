//! An answer's pieces that the entry has not yet acknowledged, kept so that they can be sent again.
//!
//! Pure. Piece 0 is the head, the chunks count from 1.

use std::collections::VecDeque;

/// Most bytes of one answer that wait for their acknowledgement.
pub const MAX_UNACKED_BYTES: usize = 256 * 1024;

/// Most pieces of one answer that wait for their acknowledgement.
pub const MAX_UNACKED_FRAMES: usize = 512;

/// The pieces of one answer from the first that is not acknowledged.
#[derive(Clone, Debug)]
pub struct ReplayBuffer<T> {
    pieces: VecDeque<(T, usize)>,
    first: u64,
    bytes: usize,
}

impl<T> Default for ReplayBuffer<T> {
    fn default() -> Self {
        ReplayBuffer {
            pieces: VecDeque::new(),
            first: 0,
            bytes: 0,
        }
    }
}

impl<T> ReplayBuffer<T> {
    /// An answer without any pieces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece of `len` bytes and returns its number. Read no more from the target while
    /// [`ReplayBuffer::is_full`]; a piece that was read already is always taken.
    pub fn push(&mut self, piece: T, len: usize) -> u64 {
        self.pieces.push_back((piece, len));
        self.bytes += len;
        self.next_seq() - 1
    }

    /// The entry holds every piece before `next`. Acknowledgements may come late or twice.
    pub fn ack(&mut self, next: u64) {
        while self.first < next {
            let Some((_, len)) = self.pieces.pop_front() else {
                return;
            };
            self.bytes -= len;
            self.first += 1;
        }
    }

    /// The pieces from `next` on with their numbers. `None`: some of them are no longer held.
    pub fn iter_from(&self, next: u64) -> Option<impl Iterator<Item = (u64, &T)>> {
        let skip = usize::try_from(next.checked_sub(self.first)?).ok()?;
        let numbered = (self.first..).zip(&self.pieces).skip(skip);
        Some(numbered.map(|(seq, (piece, _))| (seq, piece)))
    }

    /// Whether reading from the target must wait for acknowledgements.
    pub fn is_full(&self) -> bool {
        self.bytes >= MAX_UNACKED_BYTES || self.pieces.len() >= MAX_UNACKED_FRAMES
    }

    /// The number of the piece that comes next.
    pub fn next_seq(&self) -> u64 {
        self.first + self.pieces.len() as u64
    }
}

#[cfg(test)]
mod tests;
