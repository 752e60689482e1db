//! A target's rate beside its peers', from outcomes and not from its own late load report.

use std::collections::BTreeMap;

use crate::ids::AgentKey;
use crate::units::Micros;

#[cfg(test)]
mod tests;

/// How many times slower than its peers a target counts as slowed.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of an outcome in its agent's stretch.
const AGENT_WEIGHT: f64 = 0.4;
/// Weight of an outcome in the stretch of all.
const PEER_WEIGHT: f64 = 1.0 / 64.0;
/// Largest stretch that one outcome counts for.
const MAX_STRETCH: f64 = 20.0;
/// Time after which an agent without a new outcome is tried again.
const PROBE: Micros = Micros::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Rate {
    stretch: f64,
    heard: Micros,
}

/// Stretch of each agent: slot time taken over slot time expected.
#[derive(Debug)]
pub struct SlowdownTracker {
    peers: f64,
    agents: BTreeMap<AgentKey, Rate>,
}

impl Default for SlowdownTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl SlowdownTracker {
    /// All agents are taken to be alike.
    pub fn new() -> Self {
        SlowdownTracker {
            peers: 1.0,
            agents: BTreeMap::new(),
        }
    }

    /// A request that was expected to take `expected` took `spent`.
    pub fn record(&mut self, now: Micros, agent: AgentKey, expected: Micros, spent: Micros) {
        let stretch = (spent.0 as f64 / expected.0.max(1) as f64).min(MAX_STRETCH);
        self.learn(now, agent, stretch);
        self.peers += PEER_WEIGHT * (stretch.min(SLOW_FACTOR * self.peers) - self.peers);
    }

    /// A request that was expected to take `expected` has taken `spent` and still runs.
    pub fn running(&mut self, now: Micros, agent: AgentKey, expected: Micros, spent: Micros) {
        let stretch = (spent.0 as f64 / expected.0.max(1) as f64).min(MAX_STRETCH);
        let known = self.agents.get(&agent).map_or(self.peers, |r| r.stretch);
        if stretch > known.max(SLOW_FACTOR * self.peers) {
            self.learn(now, agent, stretch);
        }
    }

    /// The agent is gone.
    pub fn forget(&mut self, agent: AgentKey) {
        self.agents.remove(&agent);
    }

    /// Whether the agent's target is slowed beside its peers. One not heard of for a while is not:
    /// so it is tried again.
    pub fn slow(&self, now: Micros, agent: AgentKey) -> bool {
        let Some(rate) = self.agents.get(&agent) else {
            return false;
        };
        now - rate.heard < PROBE && rate.stretch > SLOW_FACTOR * self.peers
    }

    fn learn(&mut self, now: Micros, agent: AgentKey, stretch: f64) {
        let rate = self.agents.entry(agent).or_insert(Rate {
            stretch: self.peers,
            heard: now,
        });
        rate.stretch += AGENT_WEIGHT * (stretch - rate.stretch);
        rate.heard = now;
    }
}
