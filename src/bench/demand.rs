//! Generator of simulated request traffic.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::ids::{AccountKey, EntryKey, JobKey};
use crate::units::Micros;

use super::policy::RequestInfo;
use super::simulation::{Outcome, Request};

/// Range of the ratio of the caller's cost hint to the actual cost.
const HINT_FACTORS: (f64, f64) = (0.5, 2.0);
/// Range of the ratio of a request's cost to the mean of its class.
const COST_FACTORS: (f64, f64) = (0.2, 8.0);

/// Which entries receive the requests of a flow.
#[derive(Clone, Copy, Debug)]
pub enum EntryChoice {
    /// A random entry for each request.
    All,
    /// Always the same entry.
    One(EntryKey),
}

/// Kind of requests that a flow sends, and the distribution of their slot times.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Mean slot time of a short request.
    pub short: Micros,
    /// Fraction of long requests, from 0 to 1.
    pub long_share: f64,
    /// Ratio of the mean slot time of long requests to that of short ones.
    pub factor: u64,
    /// Whether the requests may be run more than once.
    pub idempotent: bool,
    /// Number of distinct prompt prefixes; 0 for requests without one.
    pub prefix_count: u64,
}

impl Workload {
    /// A workload of idempotent short requests with this mean slot time.
    pub fn short(mean: Micros) -> Self {
        Workload {
            short: mean,
            long_share: 0.0,
            factor: 1,
            idempotent: true,
            prefix_count: 0,
        }
    }

    /// Mean slot time of all requests, in seconds.
    pub fn mean_s(&self) -> f64 {
        let short = self.short.as_secs_f64();
        short * (1.0 - self.long_share + self.long_share * self.factor as f64)
    }
}

/// A temporary increase of the request rate: a linear ramp to a plateau, then back to normal.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpike {
    /// Start of the ramp.
    pub start: Micros,
    /// Duration of the ramp.
    pub ramp: Micros,
    /// End of the plateau, at which the rate returns to normal.
    pub end: Micros,
    /// Ratio of the plateau's rate to the normal rate.
    pub factor: f64,
}

impl LoadSpike {
    fn factor_at(&self, now: Micros) -> f64 {
        if now < self.start || now >= self.end {
            return 1.0;
        }
        let risen = (now - self.start).as_secs_f64() / self.ramp.as_secs_f64();
        1.0 + (self.factor - 1.0) * risen.min(1.0)
    }
}

/// Request traffic of one client account.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// The client account.
    pub account: AccountKey,
    /// Requests per second.
    pub rate: f64,
    /// Entries that receive the requests.
    pub entry: EntryChoice,
    /// Kind of requests.
    pub workload: Workload,
}

/// Traffic of all flows, generated as one seeded Poisson process.
#[derive(Debug)]
pub struct Demand {
    flows: Vec<Flow>,
    spike: Option<LoadSpike>,
    entries: usize,
    rng: StdRng,
    now: Micros,
}

impl Demand {
    /// Creates the traffic of these flows at this many entries.
    pub fn new(seed: u64, entries: usize, flows: Vec<Flow>) -> Self {
        Demand {
            flows,
            spike: None,
            entries,
            rng: StdRng::seed_from_u64(seed),
            now: Micros::ZERO,
        }
    }

    /// Adds a load spike.
    pub fn with_spike(mut self, spike: LoadSpike) -> Self {
        self.spike = Some(spike);
        self
    }

    /// Time of the next arrival, or `None` if no flow sends requests.
    ///
    /// Arrivals are drawn at the peak rate, and some are rejected while the rate is lower
    /// (thinning).
    pub fn next_arrival(&mut self) -> Option<Micros> {
        let total: f64 = self.flows.iter().map(|f| f.rate).sum();
        if total <= 0.0 {
            return None;
        }
        let peak = self.spike.map_or(1.0, |s| s.factor.max(1.0));
        loop {
            let sample: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let gap = -sample.ln() / (total * peak);
            self.now += Micros((gap * 1e6) as u64);
            let factor = self.spike.map_or(1.0, |s| s.factor_at(self.now));
            if self.rng.random_range(0.0..peak) < factor {
                return Some(self.now);
            }
        }
    }

    /// Generates the request that arrives now, including the entry that receives it.
    pub fn draw_request(&mut self, key: JobKey, now: Micros) -> Request {
        let flow = self.draw_flow();
        let entry = match flow.entry {
            EntryChoice::All => EntryKey::from(self.rng.random_range(0..self.entries)),
            EntryChoice::One(entry) => entry,
        };
        let long = self.rng.random_bool(flow.workload.long_share);
        let cost = self.draw_cost(&flow.workload, long);
        let hint = self.rng.random_range(HINT_FACTORS.0..HINT_FACTORS.1);
        let prefix = (flow.workload.prefix_count > 0).then(|| {
            let group = self.rng.random_range(0..flow.workload.prefix_count);
            u64::from(flow.account.0) << 32 | group
        });
        let info = RequestInfo {
            key,
            account: flow.account,
            hint: Micros((cost.0 as f64 * hint) as u64),
            idempotent: flow.workload.idempotent,
            prefix,
        };
        Request {
            info,
            entry,
            cost,
            long,
            arrived_at: now,
            started_at: None,
            start_count: 0,
            finish_count: 0,
            outcome: Outcome::Pending,
        }
    }

    fn draw_flow(&mut self) -> Flow {
        let total: f64 = self.flows.iter().map(|f| f.rate).sum();
        let mut remaining = self.rng.random_range(0.0..total);
        for flow in &self.flows {
            if remaining < flow.rate {
                return *flow;
            }
            remaining -= flow.rate;
        }
        *self.flows.last().expect("demand has a flow")
    }

    fn draw_cost(&mut self, workload: &Workload, long: bool) -> Micros {
        let sample: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let factor = (-sample.ln()).clamp(COST_FACTORS.0, COST_FACTORS.1);
        let mean = workload.short.0 * if long { workload.factor } else { 1 };
        Micros((mean as f64 * factor) as u64)
    }
}
