//! Which requests a gateway takes while it shuts down.
//!
//! Load pattern: after SIGTERM requests go on to arrive, on new connections until the load balancer
//! has seen that the gateway is not ready, and on connections that were opened before. One that
//! still runs at the end of the grace period is cut, though a target may have run it. So a gateway
//! that shuts down takes a request, and sends it once more, only if it can be expected to end in
//! time; another gateway takes the others at once.
//!
//! Performs no I/O.

use std::collections::{HashMap, VecDeque};

use crate::units::Micros;

/// Number of requests of a route whose times are kept.
const SAMPLES: usize = 256;
/// Number of samples below which the time of a route's requests counts as unknown.
const MIN_SAMPLES: usize = 20;
/// Maximum number of routes whose times are kept.
const MAX_ROUTES: usize = 1_024;
/// Quantile of the times that a request is expected to need, and the factor on it.
const QUANTILE: f64 = 0.99;
const FACTOR: u64 = 2;
/// A request with at most this much time left is taken only if all of it is left of the grace
/// period, however short the others have been.
const SHORT: Micros = Micros::from_secs(2);
/// Time that is kept for passing on the end of an answer.
const MARGIN: Micros = Micros::from_ms(100);

/// How long the last requests of a route took, from their arrival to the end of their answer.
type Times = VecDeque<Micros>;

/// How long requests have taken of late, by route.
#[derive(Debug, Default)]
pub struct RequestTimes {
    routes: HashMap<Box<str>, Times>,
}

impl RequestTimes {
    /// Records that a request on `route` was answered in full after this time.
    pub fn record(&mut self, route: &str, took: Micros) {
        if let Some(times) = self.routes.get_mut(route) {
            if times.len() == SAMPLES {
                times.pop_front();
            }
            times.push_back(took);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.into(), Times::from([took]));
        }
    }

    /// Time that a request on `route` may need if its client waits for another `remaining`.
    pub fn needed(&self, route: &str, remaining: Micros) -> Micros {
        let times = self.routes.get(route).filter(|t| t.len() >= MIN_SAMPLES);
        let Some(times) = times else {
            return remaining;
        };
        let expected = Micros(quantile(times).0.saturating_mul(FACTOR));
        expected.max(remaining.min(SHORT)).min(remaining)
    }
}

/// Whether a request that may need this time ends before `end`, the end of the grace period.
pub fn ends_in_time(now: Micros, end: Micros, needed: Micros) -> bool {
    now + needed + MARGIN <= end
}

fn quantile(times: &Times) -> Micros {
    let mut sorted: Vec<Micros> = times.iter().copied().collect();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * QUANTILE) as usize;
    sorted[rank.min(sorted.len() - 1)]
}

#[cfg(test)]
mod tests;
