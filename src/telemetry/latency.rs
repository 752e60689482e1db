//! Latency histogram that can be read within the process.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::units::Micros;

/// Upper bounds of the buckets, in milliseconds. A last bucket counts everything above.
pub const BUCKET_BOUNDS_MS: [u64; 15] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 60_000,
];

/// Number of latencies per bucket, and their sum.
#[derive(Debug, Default)]
pub struct LatencyHistogram {
    counts: [AtomicU64; BUCKET_BOUNDS_MS.len() + 1],
    sum: AtomicU64,
}

/// Summary of a histogram at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LatencySummary {
    /// Number of recorded latencies.
    pub count: u64,
    /// Sum of the recorded latencies, in milliseconds.
    pub sum_ms: u64,
    /// Upper bound of the bucket with the median, in milliseconds.
    pub p50_ms: u64,
    /// Upper bound of the bucket with the 99th percentile, in milliseconds.
    pub p99_ms: u64,
}

impl LatencyHistogram {
    /// Records one latency.
    pub fn record(&self, latency: Micros) {
        let bucket = BUCKET_BOUNDS_MS.partition_point(|&bound| Micros::from_ms(bound) < latency);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        self.sum.fetch_add(latency.0, Ordering::Relaxed);
    }

    /// Summarises the latencies recorded so far.
    pub fn snapshot(&self) -> LatencySummary {
        let counts = self.counts.each_ref().map(|c| c.load(Ordering::Relaxed));
        let count = counts.iter().sum();
        LatencySummary {
            count,
            sum_ms: Micros(self.sum.load(Ordering::Relaxed)).as_ms(),
            p50_ms: percentile_ms(&counts, count, 50),
            p99_ms: percentile_ms(&counts, count, 99),
        }
    }
}

/// Returns the upper bound of the bucket with the given percentile, in milliseconds, or the highest
/// bound if the percentile exceeds it.
fn percentile_ms(counts: &[u64], total: u64, percent: u64) -> u64 {
    let rank = (total * percent).div_ceil(100);
    let mut cumulative = 0;
    for (&count, &bound) in counts.iter().zip(&BUCKET_BOUNDS_MS) {
        cumulative += count;
        if cumulative >= rank {
            return if total == 0 { 0 } else { bound };
        }
    }
    BUCKET_BOUNDS_MS[BUCKET_BOUNDS_MS.len() - 1]
}
