//! Agents' connections as they come and go, and the heartbeats to them.

use xtra::{Context, Handler};

use super::{AgentState, Dispatcher};
use crate::entry::messages::{AgentConnected, AgentDisconnected, ConnectionId, SendHeartbeats};
use crate::entry::routes::RequestEvent;
use crate::ids::{AgentKey, ServiceKey};
use crate::wire::ToAgent;

impl Dispatcher {
    /// Tells the agents of a service that work waits here.
    pub(super) fn announce(&mut self, service: ServiceKey) {
        let backlog = self.with(service, |s| s.backlog());
        let name = self.rules.borrow().service_at(service).name.clone();
        for (_, agent) in &self.agents {
            if agent.info.service == name
                && let Some(outbox) = &agent.outbox
            {
                outbox.send(&ToAgent::Heartbeat { backlog });
            }
        }
    }
}

impl Handler<AgentConnected> for Dispatcher {
    type Return = ConnectionId;

    async fn handle(&mut self, message: AgentConnected, _ctx: &mut Context<Self>) -> ConnectionId {
        let AgentConnected { info, outbox } = message;
        let agent = match self.hosts.get(&info.host) {
            Some(&agent) => agent,
            None => {
                let state = AgentState {
                    info: info.clone(),
                    link: 0,
                    outbox: None,
                    leaving: false,
                    listed: self.departing.contains(&info.host),
                    parked: Vec::new(),
                    held: Vec::new(),
                    jobs: Vec::new(),
                };
                let agent = AgentKey::from(self.agents.insert(state));
                self.hosts.insert(info.host, agent);
                agent
            }
        };
        self.withdraw(agent);
        let state = &mut self.agents[agent.index()];
        if let Some(old) = state.outbox.replace(outbox.clone()) {
            old.close();
        }
        state.info = info;
        state.link += 1;
        state.leaving = false;
        let link = ConnectionId {
            agent,
            number: state.link,
        };
        let boot = state.info.boot;
        for key in state.jobs.clone() {
            let event = RequestEvent::Reconnected {
                agent,
                boot,
                outbox: outbox.clone(),
            };
            // A task that is gone says so with `RequestFinished`, which follows.
            let _ = self.jobs[key.index()].events.try_send(event);
        }
        self.tell_limits(agent);
        link
    }
}

impl Handler<AgentDisconnected> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: AgentDisconnected, _ctx: &mut Context<Self>) {
        let link = message.0;
        let Some(state) = self.current(link) else {
            return;
        };
        state.outbox = None;
        let jobs = state.jobs.clone();
        self.withdraw(link.agent);
        for key in jobs {
            // A task that is gone says so with `RequestFinished`, which follows.
            let _ = self.jobs[key.index()]
                .events
                .try_send(RequestEvent::Disconnected { agent: link.agent });
        }
    }
}

impl Handler<SendHeartbeats> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _message: SendHeartbeats, _ctx: &mut Context<Self>) {
        self.follow_rules();
        self.unhold();
        for at in 0..self.agents.capacity() {
            let Some(state) = self.agents.get(at) else {
                continue;
            };
            let Some(outbox) = state.outbox.clone() else {
                continue;
            };
            let service = self.service_of(AgentKey::from(at));
            let backlog = service
                .map(|s| self.with(s, |s| s.backlog()))
                .unwrap_or_default();
            outbox.send(&ToAgent::Heartbeat { backlog });
        }
    }
}
