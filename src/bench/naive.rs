//! Baseline policy: round robin over the agents with a FIFO queue at each, and no state exchange
//! between entries.

use std::collections::{HashMap, VecDeque};

use crate::ids::{AgentKey, BootId, DispatchId, EntryKey, JobKey, OfferId};
use crate::units::Micros;
use crate::wire::Backlog;

use super::policy::{Action, Actions, LiveNodes, Message, Node, Policy, Refusal, RequestInfo};

/// Maximum queue length at one agent; further requests are declined.
const QUEUE_LIMIT: usize = 400;

#[derive(Clone, Debug, Default)]
struct Entry {
    last_agent: usize,
    sent: HashMap<JobKey, AgentKey>,
    connected: Vec<bool>,
}

#[derive(Clone, Debug, Default)]
struct Agent {
    active: u16,
    queue: VecDeque<(EntryKey, JobKey)>,
    origins: HashMap<JobKey, EntryKey>,
}

/// Round robin with a FIFO queue per agent. When the connection to an agent is lost, its requests,
/// idempotent or not, are dispatched again to other agents.
#[derive(Debug)]
pub struct Naive {
    slots: u16,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
}

impl Naive {
    /// Creates the policy for this many entries, agents, and slots per agent.
    pub fn new(entries: usize, agents: usize, slots: u16) -> Self {
        let entry = Entry {
            connected: vec![false; agents],
            ..Entry::default()
        };
        Naive {
            slots,
            entries: vec![entry; entries],
            agents: vec![Agent::default(); agents],
        }
    }

    fn route(&mut self, e: EntryKey, key: JobKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        let n = entry.connected.len();
        let index = (1..=n)
            .map(|i| (entry.last_agent + i) % n)
            .find(|&a| entry.connected[a]);
        let Some(index) = index else {
            out.push(Action::Refuse(key, Refusal::NotRun));
            return;
        };
        entry.last_agent = index;
        let agent = AgentKey::from(index);
        entry.sent.insert(key, agent);
        let id = DispatchId {
            boot: BootId(0),
            seq: 0,
        };
        let message = Message::Dispatch(key, id, OfferId(0), Backlog::default());
        out.push(Action::Send(Node::Entry(e), Node::Agent(agent), message));
    }

    fn accept(&mut self, e: EntryKey, a: AgentKey, key: JobKey, out: &mut Actions) {
        let agent = &mut self.agents[a.index()];
        if agent.queue.len() >= QUEUE_LIMIT {
            let message = Message::Decline(key);
            out.push(Action::Send(Node::Agent(a), Node::Entry(e), message));
            return;
        }
        agent.queue.push_back((e, key));
        self.start_queued(a, out);
    }

    fn start_queued(&mut self, a: AgentKey, out: &mut Actions) {
        let agent = &mut self.agents[a.index()];
        while agent.active < self.slots
            && let Some((e, key)) = agent.queue.pop_front()
        {
            agent.active += 1;
            agent.origins.insert(key, e);
            out.push(Action::Start(a, key));
        }
    }
}

impl Policy for Naive {
    const NAME: &'static str = "naive";

    fn on_request(&mut self, _now: Micros, entry: EntryKey, job: RequestInfo, out: &mut Actions) {
        self.route(entry, job.key, out);
    }

    fn on_message(
        &mut self,
        _now: Micros,
        from: Node,
        to: Node,
        message: Message,
        out: &mut Actions,
    ) {
        match (from, to, message) {
            (Node::Entry(e), Node::Agent(a), Message::Dispatch(key, ..)) => {
                self.accept(e, a, key, out);
            }
            (Node::Agent(_), Node::Entry(e), Message::Decline(key)) => {
                self.entries[e.index()].sent.remove(&key);
                out.push(Action::Refuse(key, Refusal::NotRun));
            }
            (Node::Agent(_), Node::Entry(e), Message::End(key, _))
                if self.entries[e.index()].sent.remove(&key).is_some() =>
            {
                out.push(Action::Answer(key));
            }
            _ => {}
        }
    }

    fn on_finished(
        &mut self,
        _: Micros,
        a: AgentKey,
        key: JobKey,
        spent: Micros,
        out: &mut Actions,
    ) {
        let agent = &mut self.agents[a.index()];
        agent.active = agent.active.saturating_sub(1);
        if let Some(e) = agent.origins.remove(&key) {
            let message = Message::End(key, spent);
            out.push(Action::Send(Node::Agent(a), Node::Entry(e), message));
        }
        self.start_queued(a, out);
    }

    fn on_progress(&mut self, _: AgentKey, _: &[(JobKey, Micros)], _: &mut Actions) {}

    fn on_link_change(&mut self, _: Micros, e: EntryKey, a: AgentKey, up: bool, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        entry.connected[a.index()] = up;
        if up {
            return;
        }
        let mut keys: Vec<JobKey> = entry
            .sent
            .iter()
            .filter(|(_, agent)| **agent == a)
            .map(|(&key, _)| key)
            .collect();
        keys.sort_unstable();
        for key in keys {
            self.route(e, key, out);
        }
    }

    fn on_restart(&mut self, _now: Micros, node: Node) {
        match node {
            Node::Entry(e) => {
                let entry = &mut self.entries[e.index()];
                let connected = vec![false; entry.connected.len()];
                *entry = Entry {
                    connected,
                    ..Entry::default()
                };
            }
            Node::Agent(a) => self.agents[a.index()] = Agent::default(),
        }
    }

    fn on_tick(&mut self, _now: Micros, _live: &LiveNodes, _out: &mut Actions) {}
}
