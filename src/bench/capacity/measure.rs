//! Helpers that measure heap growth and time per step.

use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

use crate::bench::heap;
use crate::bench::report::Report;

/// Repetitions of a time measurement. The minimum is reported, as other load on the machine only
/// adds time.
const REPEATS: usize = 5;

/// Creates the report on one cost at one size.
pub fn report(seed: u64, role: &str, what: &str, size: usize) -> Report {
    Report::new("capacity", seed, "fleet")
        .label("role", role)
        .label("what", what)
        .figure("size_count", size as f64)
}

/// Returns the result of `make`, and the number of bytes by which the call grew the heap.
pub fn heap_growth<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = heap::live_bytes();
    let made = make();
    (made, (heap::live_bytes() - before) as f64)
}

/// Nanoseconds per step: the minimum over [`REPEATS`] runs of the mean of `steps` steps.
pub fn min_step_ns(steps: usize, mut step: impl FnMut(usize)) -> f64 {
    (0..REPEATS)
        .map(|_| step_ns(steps, &mut step))
        .fold(f64::MAX, f64::min)
}

/// Nanoseconds per step: the mean of one run of `steps` steps.
pub fn step_ns(steps: usize, mut step: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..steps).for_each(&mut step);
    start.elapsed().as_nanos() as f64 / steps.max(1) as f64
}

/// A single-threaded runtime, so that elapsed time approximates CPU time.
pub fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts")
}
