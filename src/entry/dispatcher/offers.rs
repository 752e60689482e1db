//! Agents' offers: with a scheduler, or held until one may use them.

use xtra::{Context, Handler};

use super::Dispatcher;
use crate::entry::messages::{AgentLeaving, HostsLeaving, OfferWithdrawn, SlotOffered};
use crate::ids::{AgentKey, OfferId};
use crate::wire::{Backlog, ToAgent};

impl Dispatcher {
    /// An offer stands: it goes to the service's scheduler, or is held until it may.
    pub(super) fn offered(&mut self, agent: AgentKey, offer: OfferId) {
        let now = self.clock.now();
        let service = self
            .service_of(agent)
            .filter(|_| !self.agents[agent.index()].listed);
        let Some(service) = service else {
            self.agents[agent.index()].held.push(offer);
            self.park(agent, offer, Backlog::default());
            return;
        };
        self.agents[agent.index()].parked.push(offer);
        match self.with(service, |s| s.offer(now, agent, offer)) {
            Some(assigned) => self.send(service, assigned),
            None => {
                let backlog = self.with(service, |s| s.backlog());
                self.park(agent, offer, backlog);
            }
        }
    }

    pub(super) fn park(&self, agent: AgentKey, offer: OfferId, backlog: Backlog) {
        if let Some(outbox) = &self.agents[agent.index()].outbox {
            outbox.send(&ToAgent::Parked { offer, backlog });
        }
    }

    /// Takes an agent's offers from the scheduler; they stand, and are held.
    pub(super) fn hold(&mut self, agent: AgentKey) {
        if let Some(service) = self.service_of(agent) {
            self.with(service, |s| s.remove_agent(agent));
        }
        let state = &mut self.agents[agent.index()];
        state.held.append(&mut state.parked);
    }

    /// Gives held offers to the schedulers that may use them now.
    pub(super) fn unhold(&mut self) {
        let waiting = self
            .agents
            .iter()
            .filter(|(_, a)| !a.held.is_empty() && !a.listed);
        let agents: Vec<AgentKey> = waiting.map(|(at, _)| AgentKey::from(at)).collect();
        for agent in agents {
            if self.service_of(agent).is_some() {
                let held = std::mem::take(&mut self.agents[agent.index()].held);
                held.into_iter()
                    .for_each(|offer| self.offered(agent, offer));
            }
        }
    }

    /// None of the agent's offers stands any more.
    pub(super) fn withdraw(&mut self, agent: AgentKey) {
        if let Some(service) = self.service_of(agent) {
            self.with(service, |s| s.remove_agent(agent));
        }
        let state = &mut self.agents[agent.index()];
        state.parked.clear();
        state.held.clear();
    }
}

impl Handler<SlotOffered> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: SlotOffered, _ctx: &mut Context<Self>) {
        let SlotOffered(link, offer) = message;
        let Some(state) = self.current(link) else {
            return;
        };
        if !state.leaving {
            self.offered(link.agent, offer);
        }
    }
}

impl Handler<OfferWithdrawn> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: OfferWithdrawn, _ctx: &mut Context<Self>) {
        let OfferWithdrawn(link, offer) = message;
        let Some(state) = self.current(link) else {
            return;
        };
        state.parked.retain(|&o| o != offer);
        state.held.retain(|&o| o != offer);
        if let Some(service) = self.service_of(link.agent) {
            self.with(service, |s| s.withdraw(link.agent, offer));
        }
    }
}

impl Handler<AgentLeaving> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: AgentLeaving, _ctx: &mut Context<Self>) {
        let link = message.0;
        let Some(state) = self.current(link) else {
            return;
        };
        state.leaving = true;
        if let Some(outbox) = &state.outbox {
            // What was sent before it reached the agent before it.
            outbox.send(&ToAgent::Leaving);
        }
        self.withdraw(link.agent);
    }
}

impl Handler<HostsLeaving> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: HostsLeaving, _ctx: &mut Context<Self>) {
        self.departing = message.0;
        let mut gone = Vec::new();
        for (at, agent) in &mut self.agents {
            let listed = self.departing.contains(&agent.info.host);
            if listed && !agent.listed {
                gone.push(AgentKey::from(at));
            }
            agent.listed = listed;
        }
        gone.into_iter().for_each(|agent| self.hold(agent));
        self.unhold();
    }
}
