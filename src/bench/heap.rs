//! Bytes that are allocated, as the allocator of the bench binary counts them.
//!
//! The allocator stands in the binary; here are the counter and what reads it. Where no such
//! allocator is installed, as in tests, everything reads zero.

use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

static COUNTING: AtomicBool = AtomicBool::new(false);
static LIVE: AtomicI64 = AtomicI64::new(0);

/// Counts from now on. Off until then, so that other experiments do not pay for it.
pub fn start() {
    COUNTING.store(true, Ordering::Relaxed);
}

/// Called by the allocator: `bytes` were allocated.
pub fn took(bytes: usize) {
    add(bytes as i64);
}

/// Called by the allocator: `bytes` were let go of.
pub fn gave(bytes: usize) {
    add(-(bytes as i64));
}

/// Bytes allocated since [`start`] and not let go of. May be negative.
pub fn live() -> i64 {
    LIVE.load(Ordering::Relaxed)
}

fn add(bytes: i64) {
    if COUNTING.load(Ordering::Relaxed) {
        LIVE.fetch_add(bytes, Ordering::Relaxed);
    }
}
