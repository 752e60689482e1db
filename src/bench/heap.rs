//! Counter of allocated heap bytes.
//!
//! The global allocator of the `balsampitch-bench` binary updates the counter. Where that allocator
//! is not installed, as in tests, the counter stays at zero.

use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

static ENABLED: AtomicBool = AtomicBool::new(false);
static LIVE_BYTES: AtomicI64 = AtomicI64::new(0);

/// Enables counting. It is off by default to keep its overhead out of the other experiments.
pub fn enable() {
    ENABLED.store(true, Ordering::Relaxed);
}

/// Records an allocation; called by the allocator.
pub fn record_alloc(bytes: usize) {
    add(bytes as i64);
}

/// Records a deallocation; called by the allocator.
pub fn record_dealloc(bytes: usize) {
    add(-(bytes as i64));
}

/// Bytes allocated minus bytes freed since [`enable`]. Negative if memory allocated earlier was
/// freed.
pub fn live_bytes() -> i64 {
    LIVE_BYTES.load(Ordering::Relaxed)
}

fn add(bytes: i64) {
    if ENABLED.load(Ordering::Relaxed) {
        LIVE_BYTES.fetch_add(bytes, Ordering::Relaxed);
    }
}
