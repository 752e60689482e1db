//! Latencies in buckets, readable within the process.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::units::Micros;

/// Upper bounds of the buckets, in milliseconds; one bucket more holds the rest.
pub const BOUNDS_MS: [u64; 15] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 60_000,
];

/// Counts of latencies by bucket.
#[derive(Debug, Default)]
pub struct Buckets {
    counts: [AtomicU64; BOUNDS_MS.len() + 1],
    sum: AtomicU64,
}

/// Latencies as they stood at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// How many.
    pub count: u64,
    /// Their sum, in milliseconds.
    pub sum_ms: u64,
    /// Bound of the bucket that holds the median, in milliseconds.
    pub p50_ms: u64,
    /// Bound of the bucket that holds the 99th percentile, in milliseconds.
    pub p99_ms: u64,
}

impl Buckets {
    /// Counts one latency.
    pub fn record(&self, span: Micros) {
        let bucket = BOUNDS_MS.partition_point(|&bound| Micros::from_ms(bound) < span);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        self.sum.fetch_add(span.0, Ordering::Relaxed);
    }

    /// What was counted so far.
    pub fn snapshot(&self) -> Latency {
        let counts = self.counts.each_ref().map(|c| c.load(Ordering::Relaxed));
        let count = counts.iter().sum();
        Latency {
            count,
            sum_ms: Micros(self.sum.load(Ordering::Relaxed)).as_ms(),
            p50_ms: quantile(&counts, count, 50),
            p99_ms: quantile(&counts, count, 99),
        }
    }
}

/// Bound of the bucket that holds the given percentile; the last bound when it lies beyond.
fn quantile(counts: &[u64], total: u64, percent: u64) -> u64 {
    let rank = (total * percent).div_ceil(100);
    let mut below = 0;
    for (&count, &bound) in counts.iter().zip(&BOUNDS_MS) {
        below += count;
        if below >= rank {
            return if total == 0 { 0 } else { bound };
        }
    }
    BOUNDS_MS[BOUNDS_MS.len() - 1]
}
