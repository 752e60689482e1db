//! Handlers for agents that connect and disconnect, and the heartbeats sent to them.

use xtra::{Context, Handler};

use super::{AgentState, Dispatcher};
use crate::entry::messages::{AgentConnected, AgentDisconnected, ConnectionId, SendHeartbeats};
use crate::entry::routes::RequestEvent;
use crate::ids::{AgentKey, ServiceKey};
use crate::wire::ToAgent;

impl Dispatcher {
    /// Sends the service's backlog to all of its agents, in a heartbeat.
    pub(super) fn broadcast_backlog(&mut self, service: ServiceKey) {
        let backlog = self.with_scheduler(service, |s| s.backlog());
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
        let agent = match self.agent_keys.get(&info.host) {
            Some(&agent) => agent,
            None => {
                let state = AgentState {
                    info: info.clone(),
                    connection: 0,
                    outbox: None,
                    leaving: false,
                    host_leaving: self.leaving_hosts.contains(&info.host),
                    active_offers: Vec::new(),
                    held_offers: Vec::new(),
                    jobs: Vec::new(),
                };
                let agent = AgentKey::from(self.agents.insert(state));
                self.agent_keys.insert(info.host, agent);
                agent
            }
        };
        self.clear_offers(agent);
        let state = &mut self.agents[agent.index()];
        if let Some(old) = state.outbox.replace(outbox.clone()) {
            old.close();
        }
        state.info = info;
        state.connection += 1;
        state.leaving = false;
        let connection = ConnectionId {
            agent,
            number: state.connection,
        };
        let boot = state.info.boot;
        for key in state.jobs.clone() {
            let event = RequestEvent::Reconnected {
                agent,
                boot,
                outbox: outbox.clone(),
            };
            // A send fails only if the task has ended; its `RequestFinished` follows.
            let _ = self.jobs[key.index()].events.try_send(event);
        }
        self.send_limits(agent);
        connection
    }
}

impl Handler<AgentDisconnected> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, message: AgentDisconnected, _ctx: &mut Context<Self>) {
        let connection = message.0;
        let Some(state) = self.current_agent(connection) else {
            return;
        };
        state.outbox = None;
        let jobs = state.jobs.clone();
        self.clear_offers(connection.agent);
        for key in jobs {
            // A send fails only if the task has ended; its `RequestFinished` follows.
            let _ = self.jobs[key.index()]
                .events
                .try_send(RequestEvent::Disconnected {
                    agent: connection.agent,
                });
        }
    }
}

impl Handler<SendHeartbeats> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _message: SendHeartbeats, _ctx: &mut Context<Self>) {
        self.apply_rules();
        self.release_offers();
        for at in 0..self.agents.capacity() {
            let Some(state) = self.agents.get(at) else {
                continue;
            };
            let Some(outbox) = state.outbox.clone() else {
                continue;
            };
            let service = self.service_of(AgentKey::from(at));
            let backlog = service
                .map(|s| self.with_scheduler(s, |s| s.backlog()))
                .unwrap_or_default();
            outbox.send(&ToAgent::Heartbeat { backlog });
        }
    }
}
