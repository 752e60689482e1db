//! What the rules let agents run: told to each that connects, and to all when the rules change.

use super::Dispatcher;
use crate::ids::{AgentKey, ServiceKey};
use crate::wire::ToAgent;

impl Dispatcher {
    /// Tells all agents, unless they were told of the version in force. Offers of agents whose
    /// service is no longer in the rules are held.
    pub(super) fn follow_rules(&mut self) {
        let version = self.rules.borrow().version();
        if version == self.told {
            return;
        }
        self.told = version;
        let agents: Vec<AgentKey> = self
            .agents
            .iter()
            .map(|(at, _)| AgentKey::from(at))
            .collect();
        for agent in agents {
            self.hold_removed(agent);
            self.tell_limits(agent);
        }
    }

    /// Tells an agent what it may run, once there are rules.
    pub(super) fn tell_limits(&self, agent: AgentKey) {
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

    fn hold_removed(&mut self, agent: AgentKey) {
        let Some(service) = self.removed_service(agent) else {
            return;
        };
        self.with(service, |s| s.remove_agent(agent));
        let state = &mut self.agents[agent.index()];
        state.held.append(&mut state.parked);
    }

    /// The agent's service, if the rules named it once and no longer do.
    fn removed_service(&self, agent: AgentKey) -> Option<ServiceKey> {
        let name = &self.agents[agent.index()].info.service;
        let rules = self.rules.borrow();
        rules
            .services()
            .find(|(_, s)| !s.live && s.name == *name)
            .map(|(key, _)| key)
    }
}
