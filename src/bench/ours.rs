//! The fleet's own decisions: a [`Scheduler`] at each entry and a [`SlotOffers`] at each agent.

use std::collections::{BTreeMap, HashMap};

use crate::dispatch_table::DispatchTable;
use crate::ids::{AgentKey, BootId, DispatchId, EntryKey, JobKey, OfferId};
use crate::scheduler::{Arrival, Assignment, Job, Scheduler};
use crate::slot_offers::{SlotOffers, Step, Steps, Verdict};
use crate::units::Micros;
use crate::wire::{Backlog, DispatchState};

use super::member::Member;
use super::policy::{Action, Actions, Arriving, HEARTBEAT, Live, Message, Node, Policy, Refusal};
use super::world::Layout;

/// Requests that an account may have waiting at one entry.
const QUEUE_LIMIT: u32 = 400;
/// Longest time for which an entry waits to learn what became of a dispatch.
const ASK_TIMEOUT: Micros = Micros::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Sent {
    agent: AgentKey,
    boot: u64,
    id: DispatchId,
    idempotent: bool,
    /// When the agent was lost, until the entry knows what became of the dispatch.
    lost: Option<Micros>,
}

#[derive(Debug)]
struct Entry {
    scheduler: Scheduler,
    boot: BootId,
    seq: u64,
    jobs: HashMap<JobKey, Arriving>,
    sent: BTreeMap<JobKey, Sent>,
    up: Vec<bool>,
    member: Member,
}

#[derive(Debug)]
struct Agent {
    pull: SlotOffers,
    dispatches: DispatchTable,
    boot: u64,
    runs: HashMap<JobKey, (EntryKey, DispatchId)>,
    done: HashMap<DispatchId, Micros>,
}

/// The fleet's policy.
#[derive(Debug)]
pub struct Ours {
    slots: u16,
    accounts: usize,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    beat: Micros,
}

impl Ours {
    /// A policy for the layout's processes.
    pub fn new(layout: &Layout) -> Self {
        let entry = |i: usize| {
            let me = EntryKey::from(i);
            let member = Member::new(Micros::ZERO, me, layout.entries, layout.accounts);
            Entry::new(BootId(i as u64), layout.agents, member)
        };
        Ours {
            slots: layout.slots,
            accounts: layout.accounts,
            entries: (0..layout.entries).map(entry).collect(),
            agents: (0..layout.agents)
                .map(|_| Agent::new(layout.slots, 0))
                .collect(),
            beat: Micros::ZERO,
        }
    }

    fn dispatch(&mut self, e: EntryKey, assignment: Assignment, out: &mut Actions) {
        let Assignment { job, agent, offer } = assignment;
        let boot = self.agents[agent.index()].boot;
        let entry = &mut self.entries[e.index()];
        entry.seq += 1;
        let id = DispatchId {
            boot: entry.boot,
            seq: entry.seq,
        };
        let sent = Sent {
            agent,
            boot,
            id,
            idempotent: entry.jobs[&job].idempotent,
            lost: None,
        };
        entry.sent.insert(job, sent);
        let message = Message::Dispatch(job, id, offer, entry.scheduler.backlog());
        out.push(to_agent(e, agent, message));
    }

    fn give_back(&mut self, now: Micros, e: EntryKey, key: JobKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        entry.sent.remove(&key);
        if let Some(assignment) = entry.scheduler.requeue(now, key) {
            self.dispatch(e, assignment, out);
        }
    }

    fn at_entry(
        &mut self,
        now: Micros,
        e: EntryKey,
        a: AgentKey,
        message: Message,
        out: &mut Actions,
    ) {
        let entry = &mut self.entries[e.index()];
        match message {
            Message::Offer(offer) => match entry.scheduler.offer(now, a, offer) {
                Some(assignment) => self.dispatch(e, assignment, out),
                None => {
                    let message = Message::Parked(offer, entry.scheduler.backlog());
                    out.push(to_agent(e, a, message));
                }
            },
            Message::Void(offer) => entry.scheduler.withdraw(a, offer),
            Message::Decline(key) if entry.has_sent(key, a) => self.give_back(now, e, key, out),
            Message::End(key, spent) if entry.has_sent(key, a) => {
                entry.sent.remove(&key);
                entry.jobs.remove(&key);
                entry.scheduler.complete(now, key, spent);
                out.push(Action::Answer(key));
            }
            Message::Progress(key, spent) => entry.scheduler.progress(key, spent),
            Message::Known(key, begun) => {
                let held = entry.sent.get_mut(&key).filter(|s| s.agent == a);
                match held {
                    Some(sent) if begun => sent.lost = None,
                    Some(_) => self.give_back(now, e, key, out),
                    None => {}
                }
            }
            _ => {}
        }
    }

    fn at_agent(
        &mut self,
        now: Micros,
        e: EntryKey,
        a: AgentKey,
        message: Message,
        out: &mut Actions,
    ) {
        let agent = &mut self.agents[a.index()];
        match message {
            Message::Parked(offer, backlog) => {
                let steps = agent.pull.parked(now, e, offer, backlog);
                push_steps(a, steps, out);
            }
            Message::Heartbeat(backlog) => agent.pull.update_backlog(now, e, backlog),
            Message::Dispatch(key, id, offer, backlog) => {
                self.take(now, e, a, (key, id), (offer, backlog), out);
            }
            Message::Ask(key, id) => {
                let known = agent.dispatches.query(id);
                if let Some(&spent) = agent.done.get(&id) {
                    out.push(to_entry(a, e, Message::End(key, spent)));
                } else {
                    let begun = known != DispatchState::NeverSeen;
                    out.push(to_entry(a, e, Message::Known(key, begun)));
                }
            }
            _ => {}
        }
    }

    fn take(
        &mut self,
        now: Micros,
        e: EntryKey,
        a: AgentKey,
        (key, id): (JobKey, DispatchId),
        (offer, backlog): (OfferId, Backlog),
        out: &mut Actions,
    ) {
        let agent = &mut self.agents[a.index()];
        let (verdict, steps) = agent.pull.dispatched(now, e, offer, backlog);
        push_steps(a, steps, out);
        if verdict == Verdict::Decline || !agent.dispatches.begin(id) {
            out.push(to_entry(a, e, Message::Decline(key)));
            return;
        }
        agent.runs.insert(key, (e, id));
        out.push(Action::Start(a, key));
    }

    fn agent_lost(&mut self, now: Micros, e: EntryKey, a: AgentKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        entry.up[a.index()] = false;
        entry.scheduler.remove_agent(a);
        let mut again = Vec::new();
        for (&key, sent) in entry.sent.iter_mut().filter(|(_, s)| s.agent == a) {
            if sent.idempotent {
                again.push(key);
            } else {
                sent.lost.get_or_insert(now);
            }
        }
        for key in again {
            self.give_back(now, e, key, out);
        }
    }

    fn agent_found(&mut self, e: EntryKey, a: AgentKey, out: &mut Actions) {
        let boot = self.agents[a.index()].boot;
        let entry = &mut self.entries[e.index()];
        entry.up[a.index()] = true;
        let lost = entry
            .sent
            .iter()
            .filter(|(_, s)| s.agent == a && s.boot == boot && s.lost.is_some());
        for (&key, sent) in lost {
            out.push(to_agent(e, a, Message::Ask(key, sent.id)));
        }
    }

    fn give_up(&mut self, now: Micros, e: EntryKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        let late = |s: &Sent| s.lost.is_some_and(|at| now - at >= ASK_TIMEOUT);
        let keys: Vec<JobKey> = entry
            .sent
            .iter()
            .filter(|(_, s)| late(s))
            .map(|(&key, _)| key)
            .collect();
        for key in keys {
            entry.sent.remove(&key);
            entry.jobs.remove(&key);
            entry.scheduler.abort(key, Micros::ZERO);
            out.push(Action::Refuse(key, Refusal::Unknown));
        }
    }

    fn exchange(&mut self, now: Micros, e: EntryKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        let boot = entry.boot;
        for datagram in entry.member.tick(now, &mut entry.scheduler) {
            let message = Message::Gossip(boot, datagram.payload);
            out.push(Action::Send(
                Node::Entry(e),
                Node::Entry(datagram.to),
                message,
            ));
        }
    }
}

impl Entry {
    fn new(boot: BootId, agents: usize, member: Member) -> Self {
        Entry {
            scheduler: Scheduler::new(),
            boot,
            seq: 0,
            jobs: HashMap::new(),
            sent: BTreeMap::new(),
            up: vec![false; agents],
            member,
        }
    }

    fn has_sent(&self, key: JobKey, agent: AgentKey) -> bool {
        self.sent.get(&key).is_some_and(|s| s.agent == agent)
    }
}

impl Agent {
    fn new(slots: u16, boot: u64) -> Self {
        Agent {
            pull: SlotOffers::new(slots),
            dispatches: DispatchTable::new(),
            boot,
            runs: HashMap::new(),
            done: HashMap::new(),
        }
    }
}

impl Policy for Ours {
    const NAME: &'static str = "balsampitch";

    fn arrive(&mut self, now: Micros, e: EntryKey, job: Arriving, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        let wanted = Job {
            account: job.account,
            cost: job.hint,
            limit: QUEUE_LIMIT,
            prefix: job.prefix,
            deadline: None,
        };
        entry.jobs.insert(job.key, job);
        match entry.scheduler.submit(now, job.key, wanted) {
            Arrival::Assigned(assignment) => self.dispatch(e, assignment, out),
            Arrival::Queued => {}
            Arrival::Full | Arrival::TooLate => {
                entry.jobs.remove(&job.key);
                out.push(Action::Refuse(job.key, Refusal::NotRun));
            }
        }
    }

    fn deliver(&mut self, now: Micros, from: Node, to: Node, message: Message, out: &mut Actions) {
        match (from, to) {
            (Node::Agent(a), Node::Entry(e)) => self.at_entry(now, e, a, message, out),
            (Node::Entry(e), Node::Agent(a)) => self.at_agent(now, e, a, message, out),
            (Node::Entry(from), Node::Entry(e)) => {
                if let Message::Gossip(boot, payload) = message {
                    let member = &mut self.entries[e.index()].member;
                    member.receive(now, from, boot, &payload);
                    self.exchange(now, e, out);
                }
            }
            (Node::Agent(_), Node::Agent(_)) => {}
        }
    }

    fn finished(
        &mut self,
        _now: Micros,
        a: AgentKey,
        key: JobKey,
        spent: Micros,
        out: &mut Actions,
    ) {
        let agent = &mut self.agents[a.index()];
        if let Some((e, id)) = agent.runs.remove(&key) {
            agent.dispatches.mark_done(id);
            agent.done.insert(id, spent);
            out.push(to_entry(a, e, Message::End(key, spent)));
        }
        let steps = agent.pull.finished();
        push_steps(a, steps, out);
    }

    fn running(&mut self, a: AgentKey, jobs: &[(JobKey, Micros)], out: &mut Actions) {
        for &(key, spent) in jobs {
            if let Some(&(e, _)) = self.agents[a.index()].runs.get(&key) {
                out.push(to_entry(a, e, Message::Progress(key, spent)));
            }
        }
    }

    fn link(&mut self, now: Micros, e: EntryKey, a: AgentKey, up: bool, out: &mut Actions) {
        let pull = &mut self.agents[a.index()].pull;
        let steps = if up {
            pull.connected(now, e)
        } else {
            pull.disconnected(e)
        };
        push_steps(a, steps, out);
        if up {
            self.agent_found(e, a, out);
        } else {
            self.agent_lost(now, e, a, out);
        }
    }

    fn restart(&mut self, now: Micros, node: Node) {
        match node {
            Node::Entry(e) => {
                let agents = self.agents.len();
                let boot = BootId(self.entries[e.index()].boot.0 + (1 << 32));
                let member = Member::new(now, e, self.entries.len(), self.accounts);
                self.entries[e.index()] = Entry::new(boot, agents, member);
            }
            Node::Agent(a) => {
                let boot = self.agents[a.index()].boot + 1;
                self.agents[a.index()] = Agent::new(self.slots, boot);
            }
        }
    }

    fn tick(&mut self, now: Micros, live: &Live, out: &mut Actions) {
        let beat = now >= self.beat;
        for i in 0..self.entries.len() {
            let e = EntryKey::from(i);
            if !live.runs(Node::Entry(e)) {
                continue;
            }
            self.give_up(now, e, out);
            if beat {
                let entry = &self.entries[i];
                let message = Message::Heartbeat(entry.scheduler.backlog());
                let up = (0..entry.up.len()).filter(|&a| entry.up[a]);
                out.extend(up.map(|a| to_agent(e, AgentKey::from(a), message.clone())));
            }
            if now >= self.entries[i].member.wake() {
                self.exchange(now, e, out);
            }
        }
        if beat {
            self.beat = now + HEARTBEAT;
        }
    }
}

fn to_agent(e: EntryKey, a: AgentKey, message: Message) -> Action {
    Action::Send(Node::Entry(e), Node::Agent(a), message)
}

fn to_entry(a: AgentKey, e: EntryKey, message: Message) -> Action {
    Action::Send(Node::Agent(a), Node::Entry(e), message)
}

fn push_steps(a: AgentKey, steps: Steps, out: &mut Actions) {
    out.extend(steps.into_iter().map(|step| match step {
        Step::Offer(e, id) => to_entry(a, e, Message::Offer(id)),
        Step::Withdraw(e, id) => to_entry(a, e, Message::Void(id)),
    }));
}
