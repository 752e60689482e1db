//! The bytes that a gateway holds for requests: bodies of requests, answers that are not passed on
//! yet, and events that are not complete.
//!
//! Load pattern: targets that send bytes without end to many requests at once, and many callers with
//! bodies as large as the operator allows. Each keeps to its own limit; together they need more than
//! the host's memory, and a process that exceeds it ends with all its requests. A holder may
//! therefore hold at most as much as is left free beside it: large ones are turned away first, and
//! small ones find room for as long as there are few holders for their size.
//!
//! Performs no I/O.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Least number of bytes by which a buffer grows.
const MIN_GROWTH: usize = 4 * 1024;

/// Error for bytes that there is no room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory left for more bytes of this size")]
pub struct NoRoom;

/// Limits the bytes that are held together. Clones share the count.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl ByteBudget {
    /// A budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        ByteBudget {
            used: Arc::default(),
            limit,
        }
    }

    /// Number of bytes that are held now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Number of bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// A buffer that holds nothing yet.
    pub fn buffer(&self) -> HeldBuffer {
        HeldBuffer {
            data: BytesMut::new(),
            held: Held {
                budget: self.clone(),
                bytes: 0,
            },
        }
    }
}

impl Default for ByteBudget {
    /// Practically no limit.
    fn default() -> Self {
        ByteBudget::new(usize::MAX / 2)
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
struct Held {
    budget: ByteBudget,
    bytes: usize,
}

impl Held {
    fn grow(&mut self, more: usize) -> Result<(), NoRoom> {
        let bytes = self.bytes.checked_add(more).ok_or(NoRoom)?;
        let used = self.budget.used().checked_add(more).ok_or(NoRoom)?;
        let free = self.budget.limit.checked_sub(used).ok_or(NoRoom)?;
        if bytes > free {
            return Err(NoRoom);
        }
        self.budget.used.fetch_add(more, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }

    fn shrink(&mut self, to: usize) {
        let less = self.bytes.saturating_sub(to);
        self.budget.used.fetch_sub(less, Ordering::Relaxed);
        self.bytes -= less;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// A buffer whose capacity counts as held.
#[derive(Debug)]
pub struct HeldBuffer {
    data: BytesMut,
    held: Held,
}

impl HeldBuffer {
    /// Makes room for this many bytes at once.
    ///
    /// # Errors
    /// Returns [`NoRoom`] if there is none.
    pub fn reserve(&mut self, more: usize) -> Result<(), NoRoom> {
        self.held.grow(more)?;
        self.data.reserve(more);
        Ok(())
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// Returns [`NoRoom`] if there is no room for them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), NoRoom> {
        let missing = (self.data.len() + bytes.len()).saturating_sub(self.held.bytes);
        if missing > 0 {
            // Doubles where it can, so that many small pieces cost little.
            let doubled = missing.max(self.data.len()).max(MIN_GROWTH);
            self.reserve(doubled).or_else(|_| self.reserve(missing))?;
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }

    /// The bytes so far.
    pub fn as_slice(&self) -> &[u8] {
        &self.data
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Takes the first bytes out of the buffer; they no longer count as held.
    pub fn take(&mut self, count: usize) -> Bytes {
        let taken = Bytes::copy_from_slice(&self.data[..count]);
        let rest = self.data.split_off(count);
        self.data = BytesMut::from(&rest[..]);
        self.held.shrink(self.data.len());
        taken
    }

    /// Empties the buffer.
    pub fn clear(&mut self) {
        self.data = BytesMut::new();
        self.held.shrink(0);
    }

    /// Turns the buffer into bytes that count as held until their last clone is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(Frozen {
            data: self.data.freeze(),
            _held: self.held,
        })
    }
}

/// Bytes that count as held.
struct Frozen {
    data: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Frozen {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

#[cfg(test)]
mod tests;
