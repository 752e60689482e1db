//! Round robin over targets, first come first served, without exchange.

use std::collections::{HashMap, VecDeque};

use crate::ids::{AgentKey, BootId, DispatchId, EntryKey, JobKey, OfferId};
use crate::units::Micros;
use crate::wire::Backlog;

use super::policy::{Action, Actions, Arriving, Live, Message, Node, Policy, Refusal};

/// Requests that one agent keeps waiting.
const QUEUE_LIMIT: usize = 400;

#[derive(Clone, Debug, Default)]
struct Entry {
    next: usize,
    sent: HashMap<JobKey, AgentKey>,
    up: Vec<bool>,
}

#[derive(Clone, Debug, Default)]
struct Agent {
    busy: u16,
    queue: VecDeque<(EntryKey, JobKey)>,
    from: HashMap<JobKey, EntryKey>,
}

/// The naive policy.
#[derive(Debug)]
pub struct Naive {
    slots: u16,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
}

impl Naive {
    /// A policy for these numbers of entries, agents, and slots of each agent.
    pub fn new(entries: usize, agents: usize, slots: u16) -> Self {
        let entry = Entry {
            up: vec![false; agents],
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
        let n = entry.up.len();
        let found = (1..=n).map(|i| (entry.next + i) % n).find(|&a| entry.up[a]);
        let Some(found) = found else {
            out.push(Action::Refuse(key, Refusal::NotRun));
            return;
        };
        entry.next = found;
        let agent = AgentKey::from(found);
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
        self.begin(a, out);
    }

    fn begin(&mut self, a: AgentKey, out: &mut Actions) {
        let agent = &mut self.agents[a.index()];
        while agent.busy < self.slots
            && let Some((e, key)) = agent.queue.pop_front()
        {
            agent.busy += 1;
            agent.from.insert(key, e);
            out.push(Action::Start(a, key));
        }
    }
}

impl Policy for Naive {
    const NAME: &'static str = "naive";

    fn arrive(&mut self, _now: Micros, entry: EntryKey, job: Arriving, out: &mut Actions) {
        self.route(entry, job.key, out);
    }

    fn deliver(&mut self, _now: Micros, from: Node, to: Node, message: Message, out: &mut Actions) {
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

    fn finished(&mut self, _: Micros, a: AgentKey, key: JobKey, spent: Micros, out: &mut Actions) {
        let agent = &mut self.agents[a.index()];
        agent.busy = agent.busy.saturating_sub(1);
        if let Some(e) = agent.from.remove(&key) {
            let message = Message::End(key, spent);
            out.push(Action::Send(Node::Agent(a), Node::Entry(e), message));
        }
        self.begin(a, out);
    }

    fn running(&mut self, _: AgentKey, _: &[(JobKey, Micros)], _: &mut Actions) {}

    fn link(&mut self, _: Micros, e: EntryKey, a: AgentKey, up: bool, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        entry.up[a.index()] = up;
        if up {
            return;
        }
        let mut again: Vec<JobKey> = entry
            .sent
            .iter()
            .filter(|(_, agent)| **agent == a)
            .map(|(&key, _)| key)
            .collect();
        again.sort_unstable();
        for key in again {
            self.route(e, key, out);
        }
    }

    fn restart(&mut self, _now: Micros, node: Node) {
        match node {
            Node::Entry(e) => {
                let entry = &mut self.entries[e.index()];
                let up = vec![false; entry.up.len()];
                *entry = Entry {
                    up,
                    ..Entry::default()
                };
            }
            Node::Agent(a) => self.agents[a.index()] = Agent::default(),
        }
    }

    fn tick(&mut self, _now: Micros, _live: &Live, _out: &mut Actions) {}
}
