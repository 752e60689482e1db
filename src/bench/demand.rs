//! Requests that arrive over time.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::ids::{AccountKey, EntryKey, JobKey};
use crate::units::Micros;

use super::policy::Arriving;
use super::world::{Fate, Request};

/// Least and largest factor between a request's cost and its caller's hint.
const HINT_FACTORS: (f64, f64) = (0.5, 2.0);
/// Least and largest factor between a request's cost and the mean of its class.
const COST_FACTORS: (f64, f64) = (0.2, 8.0);

/// Entries that a flow's callers reach.
#[derive(Clone, Copy, Debug)]
pub enum Via {
    /// Every entry alike.
    All,
    /// One entry.
    One(EntryKey),
}

/// Slot times and kind of a flow's requests.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Mean slot time of a short request.
    pub short: Micros,
    /// Share of long requests, from 0 to 1.
    pub longs: f64,
    /// How many times longer a long request runs.
    pub factor: u64,
    /// Whether its requests may be run more than once.
    pub idempotent: bool,
    /// Different prompt prefixes; 0 for none.
    pub prefixes: u64,
}

impl Mix {
    /// Idempotent short requests of this mean.
    pub fn short(mean: Micros) -> Self {
        Mix {
            short: mean,
            longs: 0.0,
            factor: 1,
            idempotent: true,
            prefixes: 0,
        }
    }

    /// Mean slot time of its requests, in seconds.
    pub fn mean_s(&self) -> f64 {
        let short = self.short.as_secs_f64();
        short * (1.0 - self.longs + self.longs * self.factor as f64)
    }
}

/// A rise of demand and its end.
#[derive(Clone, Copy, Debug)]
pub struct Crest {
    /// When it begins to rise.
    pub start: Micros,
    /// How long it takes to rise.
    pub ramp: Micros,
    /// When it ends.
    pub end: Micros,
    /// How many times the usual rate it reaches.
    pub factor: f64,
}

impl Crest {
    fn at(&self, now: Micros) -> f64 {
        if now < self.start || now >= self.end {
            return 1.0;
        }
        let risen = (now - self.start).as_secs_f64() / self.ramp.as_secs_f64();
        1.0 + (self.factor - 1.0) * risen.min(1.0)
    }
}

/// One client account's requests.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// The client account.
    pub account: AccountKey,
    /// Requests a second.
    pub rate: f64,
    /// Entries that they reach.
    pub via: Via,
    /// What they are.
    pub mix: Mix,
}

/// All flows, drawn as one seeded Poisson process.
#[derive(Debug)]
pub struct Demand {
    flows: Vec<Flow>,
    crest: Option<Crest>,
    entries: usize,
    rng: StdRng,
    now: Micros,
}

impl Demand {
    /// Demand by these flows at this many entries.
    pub fn new(seed: u64, entries: usize, flows: Vec<Flow>) -> Self {
        Demand {
            flows,
            crest: None,
            entries,
            rng: StdRng::seed_from_u64(seed),
            now: Micros::ZERO,
        }
    }

    /// The same demand with a rise.
    pub fn with_crest(mut self, crest: Crest) -> Self {
        self.crest = Some(crest);
        self
    }

    /// The next arrival; `None` when there is no flow.
    pub fn next_moment(&mut self) -> Option<Micros> {
        let total: f64 = self.flows.iter().map(|f| f.rate).sum();
        if total <= 0.0 {
            return None;
        }
        let peak = self.crest.map_or(1.0, |c| c.factor.max(1.0));
        loop {
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let gap = -draw.ln() / (total * peak);
            self.now += Micros((gap * 1e6) as u64);
            let factor = self.crest.map_or(1.0, |c| c.at(self.now));
            if self.rng.random_range(0.0..peak) < factor {
                return Some(self.now);
            }
        }
    }

    /// The request that arrives now, and the entry that its caller reaches.
    pub fn draw(&mut self, key: JobKey, now: Micros) -> Request {
        let flow = self.pick();
        let entry = match flow.via {
            Via::All => EntryKey::from(self.rng.random_range(0..self.entries)),
            Via::One(entry) => entry,
        };
        let long = self.rng.random_bool(flow.mix.longs);
        let cost = self.cost(&flow.mix, long);
        let hint = self.rng.random_range(HINT_FACTORS.0..HINT_FACTORS.1);
        let prefix = (flow.mix.prefixes > 0).then(|| {
            let group = self.rng.random_range(0..flow.mix.prefixes);
            u64::from(flow.account.0) << 32 | group
        });
        let seen = Arriving {
            key,
            account: flow.account,
            hint: Micros((cost.0 as f64 * hint) as u64),
            idempotent: flow.mix.idempotent,
            prefix,
        };
        Request {
            seen,
            entry,
            cost,
            long,
            arrived: now,
            started: None,
            runs: 0,
            ends: 0,
            fate: Fate::Open,
        }
    }

    fn pick(&mut self) -> Flow {
        let total: f64 = self.flows.iter().map(|f| f.rate).sum();
        let mut left = self.rng.random_range(0.0..total);
        for flow in &self.flows {
            if left < flow.rate {
                return *flow;
            }
            left -= flow.rate;
        }
        *self.flows.last().expect("demand has a flow")
    }

    fn cost(&mut self, mix: &Mix, long: bool) -> Micros {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let factor = (-draw.ln()).clamp(COST_FACTORS.0, COST_FACTORS.1);
        let mean = mix.short.0 * if long { mix.factor } else { 1 };
        Micros((mean as f64 * factor) as u64)
    }
}
