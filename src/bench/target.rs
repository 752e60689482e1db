//! A target whose rate may change while it runs requests.

use std::collections::BTreeMap;

use crate::ids::JobKey;
use crate::units::Micros;

/// Rate of a target that is not slowed, in percent.
const FULL_RATE: u32 = 100;

#[derive(Clone, Copy, Debug)]
struct Run {
    begun: Micros,
    left: u64,
    since: Micros,
    version: u64,
}

/// A target with slots. Work is counted in microseconds at full rate.
#[derive(Clone, Debug)]
pub struct Target {
    slots: u16,
    rate: u32,
    next: u64,
    runs: BTreeMap<JobKey, Run>,
}

impl Target {
    /// An idle target at full rate.
    pub fn new(slots: u16) -> Self {
        Target {
            slots,
            rate: FULL_RATE,
            next: 0,
            runs: BTreeMap::new(),
        }
    }

    /// Begins a request. Returns when it ends and the version of that moment.
    pub fn start(&mut self, now: Micros, key: JobKey, cost: Micros) -> (Micros, u64) {
        assert!(
            self.runs.len() < self.slots as usize,
            "a target runs at most its slots"
        );
        self.next += 1;
        let run = Run {
            begun: now,
            left: cost.0,
            since: now,
            version: self.next,
        };
        self.runs.insert(key, run);
        (self.end(&run), run.version)
    }

    /// Ends a request if the version still holds. Returns the slot time that it took.
    pub fn finish(&mut self, now: Micros, key: JobKey, version: u64) -> Option<Micros> {
        if self.runs.get(&key)?.version != version {
            return None;
        }
        self.stop(now, key)
    }

    /// Stops a request. Returns the slot time that it took.
    pub fn stop(&mut self, now: Micros, key: JobKey) -> Option<Micros> {
        Some(now - self.runs.remove(&key)?.begun)
    }

    /// Stops everything.
    pub fn clear(&mut self) -> Vec<JobKey> {
        let keys = self.runs.keys().copied().collect();
        self.runs.clear();
        keys
    }

    /// What runs, with slot times so far.
    pub fn running(&self, now: Micros) -> Vec<(JobKey, Micros)> {
        self.runs.iter().map(|(&k, r)| (k, now - r.begun)).collect()
    }

    /// Changes the rate. Returns new ends with their versions.
    pub fn set_rate(&mut self, now: Micros, percent: u32) -> Vec<(JobKey, Micros, u64)> {
        let old = u64::from(self.rate);
        self.rate = percent.max(1);
        let mut runs = std::mem::take(&mut self.runs);
        let mut ends = Vec::new();
        for (&key, run) in &mut runs {
            let done = (now - run.since).0 * old / 100;
            run.left = run.left.saturating_sub(done);
            run.since = now;
            self.next += 1;
            run.version = self.next;
            ends.push((key, self.end(run), run.version));
        }
        self.runs = runs;
        ends
    }

    fn end(&self, run: &Run) -> Micros {
        run.since + Micros(run.left * 100 / u64::from(self.rate))
    }
}
