//! Discrete-event simulation of nodes, links and targets, driven by the decisions of a [`Policy`].

use crate::ids::{AgentKey, EntryKey, JobKey};
use crate::units::Micros;

use super::demand::Demand;
use super::event_queue::EventQueue;
use super::meter::Meter;
use super::network::{Network, Placement};
use super::policy::{
    Action, Actions, HEARTBEAT_INTERVAL, LiveNodes, Message, Node, Policy, Refusal, RequestInfo,
    TICK_INTERVAL,
};
use super::target::Target;

/// Time from the loss of a connection until both ends detect it.
pub const DETECTION_DELAY: Micros = Micros::from_ms(1_500);
/// Time to establish a connection after a node starts or a cut link is healed.
pub const CONNECT_DELAY: Micros = Micros::from_ms(100);
/// Time between samples of the service that each client account received.
const SAMPLE_INTERVAL: Micros = Micros::from_ms(50);

/// A request and its progress so far.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The part that the policy sees.
    pub info: RequestInfo,
    /// Entry that received it.
    pub entry: EntryKey,
    /// Slot time that it needs on a target at full rate.
    pub cost: Micros,
    /// Whether it belongs to the class of long requests.
    pub long: bool,
    /// Time of arrival at the entry.
    pub arrived_at: Micros,
    /// Time at which it first started on a target, which ends its waiting time; `None` before.
    pub started_at: Option<Micros>,
    /// Number of times it started on a target.
    pub start_count: u32,
    /// Number of times it finished on a target.
    pub finish_count: u32,
    /// Result returned to the caller.
    pub outcome: Outcome,
}

/// Result of a request as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No response yet.
    Pending,
    /// Complete response at this time.
    Answered(Micros),
    /// Refused without a result.
    Refused(Refusal),
    /// The entry failed and the caller's connection broke.
    EntryLost,
}

/// A fault, or the end of one, scheduled by an experiment.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Stop a node.
    Kill(Node),
    /// Restart a node with empty state.
    Start(Node),
    /// Set the rate of an agent's target, in percent of the full rate.
    Rate(AgentKey, u32),
    /// Cut the link between two nodes.
    Cut(Node, Node),
    /// Heal the link between two nodes.
    Heal(Node, Node),
}

/// Size of the simulated deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of entries, spread evenly over the zones.
    pub entries: usize,
    /// Number of agents, spread evenly over the zones. Each has one target.
    pub agents: usize,
    /// Slots per target.
    pub slots: u16,
    /// Number of client accounts.
    pub accounts: usize,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Deliver(Node, Node, u64, Message),
    Finish(AgentKey, JobKey, u64),
    Link(EntryKey, AgentKey, bool, u64),
    Fault(Fault),
    Tick,
    Sample,
}

/// A run of one policy.
#[derive(Debug)]
pub struct Simulation<P> {
    policy: P,
    now: Micros,
    events: EventQueue<Event>,
    network: Network,
    live: LiveNodes,
    targets: Vec<Target>,
    demand: Demand,
    /// All requests so far; the index of each is its key.
    pub requests: Vec<Request>,
    /// Measurements of the run.
    pub meter: Meter,
}

impl<P: Policy> Simulation<P> {
    /// Creates a simulation at time zero with all nodes up. Entries and agents connect at the
    /// start.
    pub fn new(layout: &Layout, demand: Demand, policy: P) -> Self {
        let mut sim = Simulation {
            policy,
            now: Micros::ZERO,
            events: EventQueue::default(),
            network: Network::new(Placement::spread(layout)),
            live: LiveNodes {
                entries: vec![true; layout.entries],
                agents: vec![true; layout.agents],
            },
            targets: vec![Target::new(layout.slots); layout.agents],
            demand,
            requests: Vec::new(),
            meter: Meter::new(layout.accounts, layout.agents * layout.slots as usize),
        };
        sim.events.push(Micros::ZERO, Event::Tick);
        sim.events.push(SAMPLE_INTERVAL, Event::Sample);
        for e in 0..layout.entries {
            for a in 0..layout.agents {
                let (e, a) = (EntryKey::from(e), AgentKey::from(a));
                sim.events.push(Micros::ZERO, Event::Link(e, a, true, 0));
            }
        }
        sim.schedule_arrival();
        sim
    }

    /// Schedules a fault at this time.
    pub fn schedule_fault(&mut self, at: Micros, fault: Fault) {
        self.events.push(at, Event::Fault(fault));
    }

    /// Processes all events up to this time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some((at, event)) = self.events.pop() {
            if at > until {
                self.events.push(at, event);
                break;
            }
            self.meter.advance(at);
            self.now = at;
            self.handle(event);
        }
        self.meter.advance(until);
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let mut out = Actions::new();
        match event {
            Event::Arrival => self.on_arrival(&mut out),
            Event::Deliver(from, to, epoch, message) => {
                if self.network.is_current(from, to, epoch) && self.live.is_up(to) {
                    self.policy
                        .on_message(self.now, from, to, message, &mut out);
                }
            }
            Event::Finish(agent, key, version) => self.finish(agent, key, version, &mut out),
            Event::Link(e, a, up, epoch) => self.link(e, a, up, epoch, &mut out),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Tick => self.tick(&mut out),
            Event::Sample => {
                self.meter.sample();
                self.events.push(self.now + SAMPLE_INTERVAL, Event::Sample);
            }
        }
        self.execute(out);
    }

    fn schedule_arrival(&mut self) {
        if let Some(at) = self.demand.next_arrival() {
            self.events.push(at, Event::Arrival);
        }
    }

    fn on_arrival(&mut self, out: &mut Actions) {
        let key = JobKey::from(self.requests.len());
        let mut request = self.demand.draw_request(key, self.now);
        self.schedule_arrival();
        let entry = self.select_entry(request.entry);
        request.entry = entry;
        self.requests.push(request);
        self.meter.request_queued(request.info.account);
        if !self.live.is_up(Node::Entry(entry)) {
            self.set_outcome(key, Outcome::Refused(Refusal::NotRun));
            return;
        }
        self.policy.on_request(self.now, entry, request.info, out);
    }

    /// Models the platform's load balancer: a request for an entry that is no longer in rotation
    /// goes to the next one that is.
    fn select_entry(&self, entry: EntryKey) -> EntryKey {
        let n = self.live.entries.len();
        let in_rotation = |e: usize| self.network.in_rotation(e, self.now);
        let first = entry.index();
        let index = (0..n).map(|i| (first + i) % n).find(|&e| in_rotation(e));
        index.map_or(entry, EntryKey::from)
    }

    fn execute(&mut self, out: Actions) {
        for action in out {
            match action {
                Action::Send(from, to, message) => self.send(from, to, message),
                Action::Start(agent, key) => self.start(agent, key),
                Action::Refuse(key, why) => self.set_outcome(key, Outcome::Refused(why)),
                Action::Answer(key) => self.set_outcome(key, Outcome::Answered(self.now)),
            }
        }
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        self.meter.record_message(from, to, &message);
        let (delay, epoch) = self.network.delay_and_epoch(from, to);
        let event = Event::Deliver(from, to, epoch, message);
        self.events.push(self.now + delay, event);
    }

    fn start(&mut self, agent: AgentKey, key: JobKey) {
        let request = &mut self.requests[key.index()];
        if request.started_at.is_none() {
            request.started_at = Some(self.now);
            if request.outcome == Outcome::Pending {
                self.meter.request_dequeued(request.info.account);
            }
        }
        request.start_count += 1;
        self.meter.run_started(request.info.account);
        let target = &mut self.targets[agent.index()];
        let (at, version) = target.start(self.now, key, request.cost);
        self.events.push(at, Event::Finish(agent, key, version));
    }

    fn finish(&mut self, agent: AgentKey, key: JobKey, version: u64, out: &mut Actions) {
        let Some(spent) = self.targets[agent.index()].finish(self.now, key, version) else {
            return;
        };
        let request = &mut self.requests[key.index()];
        request.finish_count += 1;
        self.meter.run_stopped(request.info.account);
        self.policy.on_finished(self.now, agent, key, spent, out);
    }

    fn set_outcome(&mut self, key: JobKey, outcome: Outcome) {
        let request = &mut self.requests[key.index()];
        if request.outcome != Outcome::Pending {
            return;
        }
        request.outcome = outcome;
        if request.started_at.is_none() {
            self.meter.request_dequeued(request.info.account);
        }
    }

    fn link(&mut self, e: EntryKey, a: AgentKey, up: bool, epoch: u64, out: &mut Actions) {
        let (entry, agent) = (Node::Entry(e), Node::Agent(a));
        if !self.network.is_current(entry, agent, epoch) {
            return;
        }
        if up {
            if !(self.live.is_up(entry) && self.live.is_up(agent)) {
                return;
            }
            self.policy.on_link_change(self.now, e, a, false, out);
            self.network.connect(e, a);
        }
        self.policy.on_link_change(self.now, e, a, up, out);
    }

    fn tick(&mut self, out: &mut Actions) {
        if self.now.0.is_multiple_of(HEARTBEAT_INTERVAL.0) {
            self.report_progress(out);
        }
        self.policy.on_tick(self.now, &self.live, out);
        self.events.push(self.now + TICK_INTERVAL, Event::Tick);
    }

    fn report_progress(&mut self, out: &mut Actions) {
        for (i, target) in self.targets.iter().enumerate() {
            if self.live.agents[i] {
                let jobs = target.progress(self.now);
                self.policy.on_progress(AgentKey::from(i), &jobs, out);
            }
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => self.kill(node),
            Fault::Start(node) => {
                self.policy.on_restart(self.now, node);
                self.set_live(node, true);
                self.heal_links(node);
            }
            Fault::Rate(agent, percent) => {
                let target = &mut self.targets[agent.index()];
                for (key, at, version) in target.set_rate(self.now, percent) {
                    self.events.push(at, Event::Finish(agent, key, version));
                }
            }
            Fault::Cut(a, b) => self.cut_link(a, b),
            Fault::Heal(a, b) => {
                self.network.heal(a, b);
                self.schedule_connect(a, b);
            }
        }
    }

    fn kill(&mut self, node: Node) {
        self.set_live(node, false);
        match node {
            Node::Agent(a) => {
                for key in self.targets[a.index()].clear() {
                    self.meter
                        .run_stopped(self.requests[key.index()].info.account);
                }
                for e in 0..self.live.entries.len() {
                    self.cut_link(Node::Entry(EntryKey::from(e)), node);
                }
            }
            Node::Entry(e) => {
                self.network.mark_entry_down(e, self.now);
                for a in 0..self.live.agents.len() {
                    self.cut_link(node, Node::Agent(AgentKey::from(a)));
                }
            }
        }
    }

    fn cut_link(&mut self, a: Node, b: Node) {
        let epoch = self.network.cut(a, b);
        if let (Node::Entry(e), Node::Agent(a)) = (a, b) {
            let event = Event::Link(e, a, false, epoch);
            self.events.push(self.now + DETECTION_DELAY, event);
        }
    }

    fn heal_links(&mut self, node: Node) {
        match node {
            Node::Agent(_) => {
                for e in 0..self.live.entries.len() {
                    self.heal_if_up(Node::Entry(EntryKey::from(e)), node);
                }
            }
            Node::Entry(e) => {
                self.network.mark_entry_up(e);
                for a in 0..self.live.agents.len() {
                    self.heal_if_up(node, Node::Agent(AgentKey::from(a)));
                }
            }
        }
    }

    fn heal_if_up(&mut self, a: Node, b: Node) {
        if self.live.is_up(a) && self.live.is_up(b) {
            self.network.heal(a, b);
            self.schedule_connect(a, b);
        }
    }

    fn schedule_connect(&mut self, a: Node, b: Node) {
        if let (Node::Entry(e), Node::Agent(g)) = (a, b) {
            let epoch = self.network.epoch(a, b);
            let event = Event::Link(e, g, true, epoch);
            self.events.push(self.now + CONNECT_DELAY, event);
        }
    }

    fn set_live(&mut self, node: Node, up: bool) {
        match node {
            Node::Entry(e) => self.live.entries[e.index()] = up,
            Node::Agent(a) => self.live.agents[a.index()] = up,
        }
        if let Node::Entry(e) = node
            && !up
        {
            self.drop_requests(e);
        }
    }

    /// Marks the pending requests of a failed entry as lost, as their callers' connections break.
    fn drop_requests(&mut self, entry: EntryKey) {
        let pending: Vec<JobKey> = self
            .requests
            .iter()
            .filter(|r| r.outcome == Outcome::Pending && r.entry == entry)
            .map(|r| r.info.key)
            .collect();
        for key in pending {
            self.set_outcome(key, Outcome::EntryLost);
        }
    }
}
