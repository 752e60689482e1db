//! Simulated target whose processing rate can change while requests run.

use std::collections::BTreeMap;

use crate::ids::JobKey;
use crate::units::Micros;

/// Normal processing rate in percent.
const FULL_RATE: u32 = 100;

#[derive(Clone, Copy, Debug)]
struct Run {
    started_at: Micros,
    remaining: u64,
    updated_at: Micros,
    version: u64,
}

/// A target with a fixed number of slots. Work is measured in microseconds at the full rate.
///
/// Each change of a request's end time gives its run a new version, which invalidates the finish
/// event scheduled earlier.
#[derive(Clone, Debug)]
pub struct Target {
    slots: u16,
    rate: u32,
    last_version: u64,
    runs: BTreeMap<JobKey, Run>,
}

impl Target {
    /// Creates an idle target that runs at the full rate.
    pub fn new(slots: u16) -> Self {
        Target {
            slots,
            rate: FULL_RATE,
            last_version: 0,
            runs: BTreeMap::new(),
        }
    }

    /// Starts a request. Returns its end time and the version of that end time.
    pub fn start(&mut self, now: Micros, key: JobKey, cost: Micros) -> (Micros, u64) {
        assert!(
            self.runs.len() < self.slots as usize,
            "a target runs at most its slots"
        );
        self.last_version += 1;
        let run = Run {
            started_at: now,
            remaining: cost.0,
            updated_at: now,
            version: self.last_version,
        };
        self.runs.insert(key, run);
        (self.end_time(&run), run.version)
    }

    /// Finishes a request and returns the slot time it used. Returns `None` if the request does not
    /// run, or if the version is not that of its current end time.
    pub fn finish(&mut self, now: Micros, key: JobKey, version: u64) -> Option<Micros> {
        if self.runs.get(&key)?.version != version {
            return None;
        }
        self.stop(now, key)
    }

    /// Removes a request, finished or not. Returns the slot time it used, or `None` if the request
    /// does not run.
    pub fn stop(&mut self, now: Micros, key: JobKey) -> Option<Micros> {
        Some(now - self.runs.remove(&key)?.started_at)
    }

    /// Removes all running requests and returns their keys.
    pub fn clear(&mut self) -> Vec<JobKey> {
        let keys = self.runs.keys().copied().collect();
        self.runs.clear();
        keys
    }

    /// Running requests with the slot time each has used so far.
    pub fn progress(&self, now: Micros) -> Vec<(JobKey, Micros)> {
        self.runs
            .iter()
            .map(|(&k, r)| (k, now - r.started_at))
            .collect()
    }

    /// Changes the processing rate. Returns the new end time and version of each running request.
    pub fn set_rate(&mut self, now: Micros, percent: u32) -> Vec<(JobKey, Micros, u64)> {
        let old = u64::from(self.rate);
        self.rate = percent.max(1);
        let mut runs = std::mem::take(&mut self.runs);
        let mut ends = Vec::new();
        for (&key, run) in &mut runs {
            let done = (now - run.updated_at).0 * old / 100;
            run.remaining = run.remaining.saturating_sub(done);
            run.updated_at = now;
            self.last_version += 1;
            run.version = self.last_version;
            ends.push((key, self.end_time(run), run.version));
        }
        self.runs = runs;
        ends
    }

    fn end_time(&self, run: &Run) -> Micros {
        run.updated_at + Micros(run.remaining * 100 / u64::from(self.rate))
    }
}
