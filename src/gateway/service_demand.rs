//! The demand for each service, at this gateway and at all others.
//!
//! What the whole fleet may do is divided among the gateways by their demand. The parts add up to
//! the whole as long as the gateways hear each other, however many they are.
//!
//! Performs no I/O.

use std::collections::HashMap;

use rustc_hash::FxBuildHasher;

use crate::gateway::sliding_count::SlidingCount;
use crate::units::Micros;

/// Length of the window over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Maximum number of services that are counted.
const MAX_SERVICES: usize = 64;

/// Identifies a service in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Derives the tag from a service's name.
    pub fn of(name: &str) -> Self {
        ServiceTag(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// Number of requests by service.
pub type DemandMap = HashMap<ServiceTag, u32, FxBuildHasher>;

/// The demand for each service.
#[derive(Debug, Default)]
pub struct ServiceDemand {
    own: HashMap<ServiceTag, SlidingCount<WINDOW_MS>, FxBuildHasher>,
    /// Demand at all other gateways; `None` while none is heard.
    others: Option<DemandMap>,
    /// Number of other gateways that are known, whether heard or not.
    known: usize,
}

impl ServiceDemand {
    /// Counts a request of a client.
    pub fn record(&mut self, now: Micros, service: ServiceTag) {
        if self.own.len() >= MAX_SERVICES && !self.own.contains_key(&service) {
            self.own.retain(|_, count| count.sum(now) > 0);
        }
        if self.own.len() < MAX_SERVICES || self.own.contains_key(&service) {
            self.own.entry(service).or_default().add(now);
        }
    }

    /// Returns the demand at this gateway.
    pub fn own(&mut self, now: Micros) -> DemandMap {
        let counts = self.own.iter_mut();
        let counts = counts.map(|(&service, count)| (service, count.sum(now)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Replaces the demand at all other gateways, `None` if none is heard. `known` is their number,
    /// heard or not.
    pub fn set_others(&mut self, others: Option<DemandMap>, known: usize) {
        self.others = others;
        self.known = known;
    }

    /// Returns this gateway's part of the demand for a service, from 0 to 1. Without demand, or
    /// while no other gateway is heard, all known gateways have equal parts.
    pub fn part(&mut self, now: Micros, service: ServiceTag) -> f64 {
        let own = self.own.get_mut(&service).map_or(0, |count| count.sum(now));
        let others = self.others.as_ref();
        let others = others.map(|others| others.get(&service).copied().unwrap_or_default());
        match others {
            Some(others) if own > 0 || others > 0 => {
                f64::from(own) / (f64::from(own) + f64::from(others))
            }
            _ => 1.0 / (self.known + 1) as f64,
        }
    }
}

#[cfg(test)]
mod tests;
