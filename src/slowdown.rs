//! Detects targets that are slower than the others, from request outcomes rather than from the
//! target's own load report, which arrives late. Each target is identified by its agent, the
//! process beside it.

use std::collections::BTreeMap;

use crate::ids::AgentKey;
use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Ratio of an agent's slowdown to the average of all agents above which its target counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// EWMA weight of an outcome in its agent's slowdown.
const AGENT_WEIGHT: f64 = 0.4;
/// EWMA weight of an outcome in the average slowdown of all agents.
const PEER_WEIGHT: f64 = 1.0 / 64.0;
/// Maximum slowdown that is recorded for one outcome.
const MAX_SLOWDOWN: f64 = 20.0;
/// Time without a new outcome after which a slow agent is tried again.
const RETRY_INTERVAL: Micros = Micros::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct AgentStats {
    slowdown: f64,
    updated: Micros,
}

/// Slowdown of each agent: moving average of the ratio of actual to expected slot time.
#[derive(Debug)]
pub struct SlowdownTracker {
    average: f64,
    agents: BTreeMap<AgentKey, AgentStats>,
}

impl Default for SlowdownTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl SlowdownTracker {
    /// Creates a tracker without outcomes, which assumes that all agents are equally fast.
    pub fn new() -> Self {
        SlowdownTracker {
            average: 1.0,
            agents: BTreeMap::new(),
        }
    }

    /// Records a finished request with its expected and actual slot time.
    pub fn record(&mut self, now: Micros, agent: AgentKey, expected: Micros, spent: Micros) {
        let slowdown = (spent.0 as f64 / expected.0.max(1) as f64).min(MAX_SLOWDOWN);
        self.update(now, agent, slowdown);
        self.average += PEER_WEIGHT * (slowdown.min(SLOW_FACTOR * self.average) - self.average);
    }

    /// Records the slot time that a running request has used so far. It has an effect only if it
    /// shows that the agent is slower than known, and slow compared to the average.
    pub fn record_progress(
        &mut self,
        now: Micros,
        agent: AgentKey,
        expected: Micros,
        spent: Micros,
    ) {
        let slowdown = (spent.0 as f64 / expected.0.max(1) as f64).min(MAX_SLOWDOWN);
        let known = self.agents.get(&agent).map_or(self.average, |s| s.slowdown);
        if slowdown > known.max(SLOW_FACTOR * self.average) {
            self.update(now, agent, slowdown);
        }
    }

    /// Removes the statistics of an agent.
    pub fn remove(&mut self, agent: AgentKey) {
        self.agents.remove(&agent);
    }

    /// Whether the agent's target is slow compared to the average. False if its last outcome is
    /// older than `RETRY_INTERVAL`, so that the target is tried again.
    pub fn is_slow(&self, now: Micros, agent: AgentKey) -> bool {
        let Some(stats) = self.agents.get(&agent) else {
            return false;
        };
        now - stats.updated < RETRY_INTERVAL && stats.slowdown > SLOW_FACTOR * self.average
    }

    fn update(&mut self, now: Micros, agent: AgentKey, slowdown: f64) {
        let stats = self.agents.entry(agent).or_insert(AgentStats {
            slowdown: self.average,
            updated: now,
        });
        stats.slowdown += AGENT_WEIGHT * (slowdown - stats.slowdown);
        stats.updated = now;
    }
}
