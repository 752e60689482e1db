//! How a slope is measured: heap growth and time of many like steps.

use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use crate::bench::heap;
use crate::bench::report::Report;

/// Times that a measurement of time is repeated; the least counts, as others share the machine.
const REPEATS: usize = 5;

/// A report on one slope at one size.
pub fn line(seed: u64, role: &str, what: &str, size: usize) -> Report {
    Report::new("capacity", seed, "fleet")
        .label("role", role)
        .label("what", what)
        .figure("size_count", size as f64)
}

/// What `make` makes, and the bytes that the heap grew by.
pub fn held<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = heap::live_bytes();
    let made = make();
    (made, (heap::live_bytes() - before) as f64)
}

/// Nanoseconds of one step: the least mean of several runs of `steps` steps.
pub fn nanos(steps: usize, mut step: impl FnMut(usize)) -> f64 {
    (0..REPEATS)
        .map(|_| once(steps, &mut step))
        .fold(f64::MAX, f64::min)
}

/// Nanoseconds of one step in a single run of `steps` steps.
pub fn once(steps: usize, mut step: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..steps).for_each(&mut step);
    start.elapsed().as_nanos() as f64 / steps.max(1) as f64
}

/// A runtime on this thread alone, so that its time is processor time.
pub fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts")
}
