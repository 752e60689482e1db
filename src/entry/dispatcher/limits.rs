//! Slot limits from the rules, sent to each agent that connects and to all when the rules change.

use super::Dispatcher;
use crate::ids::{AgentKey, ServiceKey};
use crate::wire::ToAgent;

impl Dispatcher {
    /// Sends the limits to all agents, unless the current version has been sent already. Withholds
    /// the offers of agents whose service was removed from the rules.
    pub(super) fn apply_rules(&mut self) {
        let version = self.rules.borrow().version();
        if version == self.announced_version {
            return;
        }
        self.announced_version = version;
        let agents: Vec<AgentKey> = self
            .agents
            .iter()
            .map(|(at, _)| AgentKey::from(at))
            .collect();
        for agent in agents {
            self.hold_if_removed(agent);
            self.send_limits(agent);
        }
    }

    /// Sends an agent its slot limit. Does nothing until there is a version of the rules.
    pub(super) fn send_limits(&self, agent: AgentKey) {
        let state = &self.agents[agent.index()];
        let rules = self.rules.borrow();
        let service = rules.service(&state.info.service);
        let slots = service.map_or(0, |s| rules.service_at(s).slots);
        let version = rules.version();
        if version > 0
            && let Some(outbox) = &state.outbox
        {
            outbox.send(&ToAgent::Limits { version, slots });
        }
    }

    fn hold_if_removed(&mut self, agent: AgentKey) {
        let Some(service) = self.removed_service(agent) else {
            return;
        };
        self.with_scheduler(service, |s| s.remove_agent(agent));
        let state = &mut self.agents[agent.index()];
        state.held_offers.append(&mut state.active_offers);
    }

    /// Returns the agent's service if it has been removed from the rules, otherwise `None`.
    fn removed_service(&self, agent: AgentKey) -> Option<ServiceKey> {
        let name = &self.agents[agent.index()].info.service;
        let rules = self.rules.borrow();
        rules
            .services()
            .find(|(_, s)| !s.live && s.name == *name)
            .map(|(key, _)| key)
    }
}
