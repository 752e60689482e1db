//! The fleet's policy: the real [`Scheduler`] and exchange at each entry, and the real
//! [`SlotOffers`] and [`DispatchTable`] at each agent.

use std::collections::{BTreeMap, HashMap};

use crate::dispatch_table::DispatchTable;
use crate::ids::{AgentKey, BootId, DispatchId, EntryKey, JobKey, OfferId};
use crate::scheduler::{Arrival, Assignment, Job, Scheduler};
use crate::slot_offers::{SlotOffers, Step, Steps, Verdict};
use crate::units::Micros;
use crate::wire::{Backlog, DispatchState};

use super::member::Member;
use super::policy::{
    Action, Actions, HEARTBEAT_INTERVAL, LiveNodes, Message, Node, Policy, Refusal, RequestInfo,
};
use super::simulation::Layout;

/// Queue limit of each client account at one entry.
const QUEUE_LIMIT: u32 = 400;
/// How long an entry waits for the state of a non-idempotent request after it lost the connection
/// to the agent that the request was dispatched to. After that it answers the caller that the
/// outcome is unknown.
const QUERY_TIMEOUT: Micros = Micros::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Dispatched {
    agent: AgentKey,
    boot: u64,
    id: DispatchId,
    idempotent: bool,
    /// When the connection to the agent was lost. `None` if it was not, or if the agent has since
    /// reported the request as started.
    disconnected_at: Option<Micros>,
}

#[derive(Debug)]
struct Entry {
    scheduler: Scheduler,
    boot: BootId,
    seq: u64,
    jobs: HashMap<JobKey, RequestInfo>,
    dispatched: BTreeMap<JobKey, Dispatched>,
    connected: Vec<bool>,
    member: Member,
}

#[derive(Debug)]
struct Agent {
    offers: SlotOffers,
    dispatch_table: DispatchTable,
    boot: u64,
    running: HashMap<JobKey, (EntryKey, DispatchId)>,
    finished: HashMap<DispatchId, Micros>,
}

/// The policy of the real fleet.
#[derive(Debug)]
pub struct FleetPolicy {
    slots: u16,
    accounts: usize,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    next_heartbeat: Micros,
}

impl FleetPolicy {
    /// Creates the policy for the nodes of the layout.
    pub fn new(layout: &Layout) -> Self {
        let entry = |i: usize| {
            let me = EntryKey::from(i);
            let member = Member::new(Micros::ZERO, me, layout.entries, layout.accounts);
            Entry::new(BootId(i as u64), layout.agents, member)
        };
        FleetPolicy {
            slots: layout.slots,
            accounts: layout.accounts,
            entries: (0..layout.entries).map(entry).collect(),
            agents: (0..layout.agents)
                .map(|_| Agent::new(layout.slots, 0))
                .collect(),
            next_heartbeat: Micros::ZERO,
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
        let dispatched = Dispatched {
            agent,
            boot,
            id,
            idempotent: entry.jobs[&job].idempotent,
            disconnected_at: None,
        };
        entry.dispatched.insert(job, dispatched);
        let message = Message::Dispatch(job, id, offer, entry.scheduler.backlog());
        out.push(to_agent(e, agent, message));
    }

    fn requeue(&mut self, now: Micros, e: EntryKey, key: JobKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        entry.dispatched.remove(&key);
        if let Some(assignment) = entry.scheduler.requeue(now, key) {
            self.dispatch(e, assignment, out);
        }
    }

    fn handle_at_entry(
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
            Message::Withdraw(offer) => entry.scheduler.withdraw(a, offer),
            Message::Decline(key) if entry.is_dispatched(key, a) => self.requeue(now, e, key, out),
            Message::End(key, spent) if entry.is_dispatched(key, a) => {
                entry.dispatched.remove(&key);
                entry.jobs.remove(&key);
                entry.scheduler.complete(now, key, spent);
                out.push(Action::Answer(key));
            }
            Message::Progress(key, spent) => entry.scheduler.progress(key, spent),
            Message::State(key, started) => {
                let matching = entry.dispatched.get_mut(&key).filter(|d| d.agent == a);
                match matching {
                    Some(dispatched) if started => dispatched.disconnected_at = None,
                    Some(_) => self.requeue(now, e, key, out),
                    None => {}
                }
            }
            _ => {}
        }
    }

    fn handle_at_agent(
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
                let steps = agent.offers.parked(now, e, offer, backlog);
                push_steps(a, steps, out);
            }
            Message::Heartbeat(backlog) => agent.offers.update_backlog(now, e, backlog),
            Message::Dispatch(key, id, offer, backlog) => {
                self.accept_dispatch(now, e, a, (key, id), (offer, backlog), out);
            }
            Message::Query(key, id) => {
                let state = agent.dispatch_table.query(id);
                if let Some(&spent) = agent.finished.get(&id) {
                    out.push(to_entry(a, e, Message::End(key, spent)));
                } else {
                    let started = state != DispatchState::NeverSeen;
                    out.push(to_entry(a, e, Message::State(key, started)));
                }
            }
            _ => {}
        }
    }

    fn accept_dispatch(
        &mut self,
        now: Micros,
        e: EntryKey,
        a: AgentKey,
        (key, id): (JobKey, DispatchId),
        (offer, backlog): (OfferId, Backlog),
        out: &mut Actions,
    ) {
        let agent = &mut self.agents[a.index()];
        let (verdict, steps) = agent.offers.dispatched(now, e, offer, backlog);
        push_steps(a, steps, out);
        if verdict == Verdict::Decline || !agent.dispatch_table.begin(id) {
            out.push(to_entry(a, e, Message::Decline(key)));
            return;
        }
        agent.running.insert(key, (e, id));
        out.push(Action::Start(a, key));
    }

    fn agent_disconnected(&mut self, now: Micros, e: EntryKey, a: AgentKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        entry.connected[a.index()] = false;
        entry.scheduler.remove_agent(a);
        let mut idempotent_keys = Vec::new();
        for (&key, dispatched) in entry.dispatched.iter_mut().filter(|(_, d)| d.agent == a) {
            if dispatched.idempotent {
                idempotent_keys.push(key);
            } else {
                dispatched.disconnected_at.get_or_insert(now);
            }
        }
        for key in idempotent_keys {
            self.requeue(now, e, key, out);
        }
    }

    fn agent_connected(&mut self, e: EntryKey, a: AgentKey, out: &mut Actions) {
        let boot = self.agents[a.index()].boot;
        let entry = &mut self.entries[e.index()];
        entry.connected[a.index()] = true;
        let unresolved = entry
            .dispatched
            .iter()
            .filter(|(_, d)| d.agent == a && d.boot == boot && d.disconnected_at.is_some());
        for (&key, dispatched) in unresolved {
            out.push(to_agent(e, a, Message::Query(key, dispatched.id)));
        }
    }

    fn expire_unresolved(&mut self, now: Micros, e: EntryKey, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        let expired = |d: &Dispatched| {
            d.disconnected_at
                .is_some_and(|at| now - at >= QUERY_TIMEOUT)
        };
        let keys: Vec<JobKey> = entry
            .dispatched
            .iter()
            .filter(|(_, d)| expired(d))
            .map(|(&key, _)| key)
            .collect();
        for key in keys {
            entry.dispatched.remove(&key);
            entry.jobs.remove(&key);
            entry.scheduler.abort(key, Micros::ZERO);
            out.push(Action::Refuse(key, Refusal::Unknown));
        }
    }

    fn run_exchange(&mut self, now: Micros, e: EntryKey, out: &mut Actions) {
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
            dispatched: BTreeMap::new(),
            connected: vec![false; agents],
            member,
        }
    }

    fn is_dispatched(&self, key: JobKey, agent: AgentKey) -> bool {
        self.dispatched.get(&key).is_some_and(|d| d.agent == agent)
    }
}

impl Agent {
    fn new(slots: u16, boot: u64) -> Self {
        Agent {
            offers: SlotOffers::new(slots),
            dispatch_table: DispatchTable::new(),
            boot,
            running: HashMap::new(),
            finished: HashMap::new(),
        }
    }
}

impl Policy for FleetPolicy {
    const NAME: &'static str = "balsampitch";

    fn on_request(&mut self, now: Micros, e: EntryKey, job: RequestInfo, out: &mut Actions) {
        let entry = &mut self.entries[e.index()];
        let submission = Job {
            account: job.account,
            cost: job.hint,
            limit: QUEUE_LIMIT,
            prefix: job.prefix,
            deadline: None,
        };
        entry.jobs.insert(job.key, job);
        match entry.scheduler.submit(now, job.key, submission) {
            Arrival::Assigned(assignment) => self.dispatch(e, assignment, out),
            Arrival::Queued => {}
            Arrival::Full | Arrival::TooLate => {
                entry.jobs.remove(&job.key);
                out.push(Action::Refuse(job.key, Refusal::NotRun));
            }
        }
    }

    fn on_message(
        &mut self,
        now: Micros,
        from: Node,
        to: Node,
        message: Message,
        out: &mut Actions,
    ) {
        match (from, to) {
            (Node::Agent(a), Node::Entry(e)) => self.handle_at_entry(now, e, a, message, out),
            (Node::Entry(e), Node::Agent(a)) => self.handle_at_agent(now, e, a, message, out),
            (Node::Entry(from), Node::Entry(e)) => {
                if let Message::Gossip(boot, payload) = message {
                    let member = &mut self.entries[e.index()].member;
                    member.receive(now, from, boot, &payload);
                    self.run_exchange(now, e, out);
                }
            }
            (Node::Agent(_), Node::Agent(_)) => {}
        }
    }

    fn on_finished(
        &mut self,
        _now: Micros,
        a: AgentKey,
        key: JobKey,
        spent: Micros,
        out: &mut Actions,
    ) {
        let agent = &mut self.agents[a.index()];
        if let Some((e, id)) = agent.running.remove(&key) {
            agent.dispatch_table.mark_done(id);
            agent.finished.insert(id, spent);
            out.push(to_entry(a, e, Message::End(key, spent)));
        }
        let steps = agent.offers.finished();
        push_steps(a, steps, out);
    }

    fn on_progress(&mut self, a: AgentKey, jobs: &[(JobKey, Micros)], out: &mut Actions) {
        for &(key, spent) in jobs {
            if let Some(&(e, _)) = self.agents[a.index()].running.get(&key) {
                out.push(to_entry(a, e, Message::Progress(key, spent)));
            }
        }
    }

    fn on_link_change(
        &mut self,
        now: Micros,
        e: EntryKey,
        a: AgentKey,
        up: bool,
        out: &mut Actions,
    ) {
        let offers = &mut self.agents[a.index()].offers;
        let steps = if up {
            offers.connected(now, e)
        } else {
            offers.disconnected(e)
        };
        push_steps(a, steps, out);
        if up {
            self.agent_connected(e, a, out);
        } else {
            self.agent_disconnected(now, e, a, out);
        }
    }

    fn on_restart(&mut self, now: Micros, node: Node) {
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

    fn on_tick(&mut self, now: Micros, live: &LiveNodes, out: &mut Actions) {
        let heartbeat = now >= self.next_heartbeat;
        for i in 0..self.entries.len() {
            let e = EntryKey::from(i);
            if !live.is_up(Node::Entry(e)) {
                continue;
            }
            self.expire_unresolved(now, e, out);
            if heartbeat {
                let entry = &self.entries[i];
                let message = Message::Heartbeat(entry.scheduler.backlog());
                let up = (0..entry.connected.len()).filter(|&a| entry.connected[a]);
                out.extend(up.map(|a| to_agent(e, AgentKey::from(a), message.clone())));
            }
            if now >= self.entries[i].member.next_tick() {
                self.run_exchange(now, e, out);
            }
        }
        if heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
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
        Step::Withdraw(e, id) => to_entry(a, e, Message::Withdraw(id)),
    }));
}
