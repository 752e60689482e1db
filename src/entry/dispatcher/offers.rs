//! Slot offers of agents: registered with the service's scheduler, or withheld from it.

use xtra::{Context, Handler};

use super::Dispatcher;
use crate::entry::messages::{AgentLeaving, HostsLeaving, OfferWithdrawn, SlotOffered};
use crate::ids::{AgentKey, OfferId};
use crate::wire::{Backlog, ToAgent};

impl Dispatcher {
    /// Passes an offer to the service's scheduler. Withholds it if the rules do not name the
    /// service or the host is leaving.
    pub(super) fn place_offer(&mut self, agent: AgentKey, offer: OfferId) {
        let now = self.clock.now();
        let service = self
            .service_of(agent)
            .filter(|_| !self.agents[agent.index()].host_leaving);
        let Some(service) = service else {
            self.agents[agent.index()].held_offers.push(offer);
            self.send_parked(agent, offer, Backlog::default());
            return;
        };
        self.agents[agent.index()].active_offers.push(offer);
        match self.with_scheduler(service, |s| s.offer(now, agent, offer)) {
            Some(assigned) => self.dispatch_assigned(service, assigned),
            None => {
                let backlog = self.with_scheduler(service, |s| s.backlog());
                self.send_parked(agent, offer, backlog);
            }
        }
    }

    pub(super) fn send_parked(&self, agent: AgentKey, offer: OfferId, backlog: Backlog) {
        if let Some(outbox) = &self.agents[agent.index()].outbox {
            outbox.send(&ToAgent::Parked { offer, backlog });
        }
    }

    /// Withdraws an agent's offers from the scheduler and withholds them. The offers remain valid
    /// at the agent.
    pub(super) fn hold_offers(&mut self, agent: AgentKey) {
        if let Some(service) = self.service_of(agent) {
            self.with_scheduler(service, |s| s.remove_agent(agent));
        }
        let state = &mut self.agents[agent.index()];
        state.held_offers.append(&mut state.active_offers);
    }

    /// Passes a withheld offer to the service's scheduler if the rules name the service and the
    /// host is not leaving.
    pub(super) fn release_offers(&mut self) {
        let eligible = self
            .agents
            .iter()
            .filter(|(_, a)| !a.held_offers.is_empty() && !a.host_leaving);
        let agents: Vec<AgentKey> = eligible.map(|(at, _)| AgentKey::from(at)).collect();
        for agent in agents {
            if self.service_of(agent).is_some() {
                let offers = std::mem::take(&mut self.agents[agent.index()].held_offers);
                offers
                    .into_iter()
                    .for_each(|offer| self.place_offer(agent, offer));
            }
        }
    }

    /// Discards all of an agent's offers.
    pub(super) fn clear_offers(&mut self, agent: AgentKey) {
        if let Some(service) = self.service_of(agent) {
            self.with_scheduler(service, |s| s.remove_agent(agent));
        }
        let state = &mut self.agents[agent.index()];
        state.active_offers.clear();
        state.held_offers.clear();
    }
}

impl Handler<SlotOffered> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: SlotOffered, _ctx: &mut Context<Self>) {
        let SlotOffered(connection, offer) = message;
        let Some(state) = self.current_agent(connection) else {
            return;
        };
        if !state.leaving {
            self.place_offer(connection.agent, offer);
        }
    }
}

impl Handler<OfferWithdrawn> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: OfferWithdrawn, _ctx: &mut Context<Self>) {
        let OfferWithdrawn(connection, offer) = message;
        let Some(state) = self.current_agent(connection) else {
            return;
        };
        state.active_offers.retain(|&o| o != offer);
        state.held_offers.retain(|&o| o != offer);
        if let Some(service) = self.service_of(connection.agent) {
            self.with_scheduler(service, |s| s.withdraw(connection.agent, offer));
        }
    }
}

impl Handler<AgentLeaving> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: AgentLeaving, _ctx: &mut Context<Self>) {
        let connection = message.0;
        let Some(state) = self.current_agent(connection) else {
            return;
        };
        state.leaving = true;
        if let Some(outbox) = &state.outbox {
            // The connection preserves order, so the agent reads every earlier dispatch before this
            // frame.
            outbox.send(&ToAgent::Leaving);
        }
        self.clear_offers(connection.agent);
    }
}

impl Handler<HostsLeaving> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: HostsLeaving, _ctx: &mut Context<Self>) {
        self.leaving_hosts = message.0;
        let mut newly_leaving = Vec::new();
        for (at, agent) in &mut self.agents {
            let leaving = self.leaving_hosts.contains(&agent.info.host);
            if leaving && !agent.host_leaving {
                newly_leaving.push(AgentKey::from(at));
            }
            agent.host_leaving = leaving;
        }
        newly_leaving
            .into_iter()
            .for_each(|agent| self.hold_offers(agent));
        self.release_offers();
    }
}
