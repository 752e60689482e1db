//! Processes, links and targets in virtual time, around the decisions of a [`Policy`].

use crate::ids::{AgentKey, EntryKey, JobKey};
use crate::units::Micros;

use super::demand::Demand;
use super::events::Events;
use super::links::{Links, Site};
use super::meter::Meter;
use super::policy::{
    Action, Actions, Arriving, HEARTBEAT, Live, Message, Node, Policy, Refusal, TICK,
};
use super::target::Target;

/// Time from the loss of a connection until both ends know.
pub const DETECT: Micros = Micros::from_ms(1_500);
/// Time from the start of a process until it is connected.
pub const CONNECT: Micros = Micros::from_ms(100);
/// Time between measurements of service.
const SAMPLE: Micros = Micros::from_ms(50);

/// A request of the run.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// As the policy sees it.
    pub seen: Arriving,
    /// The entry that its caller reached.
    pub entry: EntryKey,
    /// Slot time that it takes on a target at full rate.
    pub cost: Micros,
    /// Whether it is one of the long ones.
    pub long: bool,
    /// When it arrived at its entry.
    pub arrived: Micros,
    /// When it first began on a target; its wait ends then.
    pub started: Option<Micros>,
    /// How often it began on a target.
    pub runs: u32,
    /// How often it ran to its end on a target.
    pub ends: u32,
    /// What its caller was told.
    pub fate: Fate,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Nothing yet.
    Open,
    /// The whole answer, at this moment.
    Answered(Micros),
    /// A refusal.
    Refused(Refusal),
    /// Its entry was lost with it.
    Lost,
}

/// A change that an experiment schedules.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is lost.
    Kill(Node),
    /// A process starts again, empty.
    Start(Node),
    /// A target's rate becomes this percent of full.
    Rate(AgentKey, u32),
    /// Two processes no longer reach each other.
    Cut(Node, Node),
    /// Two processes reach each other again.
    Heal(Node, Node),
}

/// Where processes stand, and what targets can run.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Availability zones.
    pub zones: usize,
    /// Entries, spread over the zones.
    pub entries: usize,
    /// Agents, spread over the zones.
    pub agents: usize,
    /// Slots of each target.
    pub slots: u16,
    /// Client accounts.
    pub accounts: usize,
}

#[derive(Debug)]
enum Event {
    Arrive,
    Deliver(Node, Node, u64, Message),
    Finish(AgentKey, JobKey, u64),
    Link(EntryKey, AgentKey, bool, u64),
    Fault(Fault),
    Tick,
    Sample,
}

/// One run of a policy.
#[derive(Debug)]
pub struct World<P> {
    policy: P,
    now: Micros,
    events: Events<Event>,
    links: Links,
    live: Live,
    targets: Vec<Target>,
    demand: Demand,
    /// All requests so far.
    pub requests: Vec<Request>,
    /// What was measured.
    pub meter: Meter,
}

impl<P: Policy> World<P> {
    /// A world at time zero, all processes connected.
    pub fn new(layout: &Layout, demand: Demand, policy: P) -> Self {
        let mut world = World {
            policy,
            now: Micros::ZERO,
            events: Events::default(),
            links: Links::new(Site::spread(layout)),
            live: Live {
                entries: vec![true; layout.entries],
                agents: vec![true; layout.agents],
            },
            targets: vec![Target::new(layout.slots); layout.agents],
            demand,
            requests: Vec::new(),
            meter: Meter::new(layout.accounts, layout.agents * layout.slots as usize),
        };
        world.events.push(Micros::ZERO, Event::Tick);
        world.events.push(SAMPLE, Event::Sample);
        for e in 0..layout.entries {
            for a in 0..layout.agents {
                let (e, a) = (EntryKey::from(e), AgentKey::from(a));
                world.events.push(Micros::ZERO, Event::Link(e, a, true, 0));
            }
        }
        world.next_arrival();
        world
    }

    /// Schedules a fault.
    pub fn fault(&mut self, at: Micros, fault: Fault) {
        self.events.push(at, Event::Fault(fault));
    }

    /// Runs until this moment.
    pub fn run(&mut self, until: Micros) {
        while let Some((at, event)) = self.events.pop() {
            if at > until {
                self.events.push(at, event);
                break;
            }
            self.meter.pass(at);
            self.now = at;
            self.handle(event);
        }
        self.meter.pass(until);
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let mut out = Actions::new();
        match event {
            Event::Arrive => self.arrive(&mut out),
            Event::Deliver(from, to, epoch, message) => {
                if self.links.stands(from, to, epoch) && self.live.runs(to) {
                    self.policy.deliver(self.now, from, to, message, &mut out);
                }
            }
            Event::Finish(agent, key, version) => self.finish(agent, key, version, &mut out),
            Event::Link(e, a, up, epoch) => self.link(e, a, up, epoch, &mut out),
            Event::Fault(fault) => self.strike(fault),
            Event::Tick => self.tick(&mut out),
            Event::Sample => {
                self.meter.sample();
                self.events.push(self.now + SAMPLE, Event::Sample);
            }
        }
        self.act(out);
    }

    fn next_arrival(&mut self) {
        if let Some(at) = self.demand.next_moment() {
            self.events.push(at, Event::Arrive);
        }
    }

    fn arrive(&mut self, out: &mut Actions) {
        let key = JobKey::from(self.requests.len());
        let mut request = self.demand.draw(key, self.now);
        self.next_arrival();
        let entry = self.balance(request.entry);
        request.entry = entry;
        self.requests.push(request);
        self.meter.waits(request.seen.account);
        if !self.live.runs(Node::Entry(entry)) {
            self.close(key, Fate::Refused(Refusal::NotRun));
            return;
        }
        self.policy.arrive(self.now, entry, request.seen, out);
    }

    /// The platform's balancer: a lost entry is left out once its loss is known.
    fn balance(&self, entry: EntryKey) -> EntryKey {
        let n = self.live.entries.len();
        let known = |e: usize| self.links.known_up(e, self.now);
        let first = entry.index();
        let found = (0..n).map(|i| (first + i) % n).find(|&e| known(e));
        found.map_or(entry, EntryKey::from)
    }

    fn act(&mut self, out: Actions) {
        for action in out {
            match action {
                Action::Send(from, to, message) => self.send(from, to, message),
                Action::Start(agent, key) => self.start(agent, key),
                Action::Refuse(key, why) => self.close(key, Fate::Refused(why)),
                Action::Answer(key) => self.close(key, Fate::Answered(self.now)),
            }
        }
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        self.meter.message(from, to, &message);
        let (delay, epoch) = self.links.way(from, to);
        let event = Event::Deliver(from, to, epoch, message);
        self.events.push(self.now + delay, event);
    }

    fn start(&mut self, agent: AgentKey, key: JobKey) {
        let request = &mut self.requests[key.index()];
        if request.started.is_none() {
            request.started = Some(self.now);
            if request.fate == Fate::Open {
                self.meter.unwaits(request.seen.account);
            }
        }
        request.runs += 1;
        self.meter.starts(request.seen.account);
        let target = &mut self.targets[agent.index()];
        let (at, version) = target.start(self.now, key, request.cost);
        self.events.push(at, Event::Finish(agent, key, version));
    }

    fn finish(&mut self, agent: AgentKey, key: JobKey, version: u64, out: &mut Actions) {
        let Some(spent) = self.targets[agent.index()].finish(self.now, key, version) else {
            return;
        };
        let request = &mut self.requests[key.index()];
        request.ends += 1;
        self.meter.stops(request.seen.account);
        self.policy.finished(self.now, agent, key, spent, out);
    }

    fn close(&mut self, key: JobKey, fate: Fate) {
        let request = &mut self.requests[key.index()];
        if request.fate != Fate::Open {
            return;
        }
        request.fate = fate;
        if request.started.is_none() {
            self.meter.unwaits(request.seen.account);
        }
    }

    fn link(&mut self, e: EntryKey, a: AgentKey, up: bool, epoch: u64, out: &mut Actions) {
        let (entry, agent) = (Node::Entry(e), Node::Agent(a));
        if !self.links.stands(entry, agent, epoch) {
            return;
        }
        if up {
            if !(self.live.runs(entry) && self.live.runs(agent)) {
                return;
            }
            self.policy.link(self.now, e, a, false, out);
            self.links.connect(e, a);
        }
        self.policy.link(self.now, e, a, up, out);
    }

    fn tick(&mut self, out: &mut Actions) {
        if self.now.0.is_multiple_of(HEARTBEAT.0) {
            self.report(out);
        }
        self.policy.tick(self.now, &self.live, out);
        self.events.push(self.now + TICK, Event::Tick);
    }

    fn report(&mut self, out: &mut Actions) {
        for (i, target) in self.targets.iter().enumerate() {
            if self.live.agents[i] {
                let jobs = target.running(self.now);
                self.policy.running(AgentKey::from(i), &jobs, out);
            }
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => self.kill(node),
            Fault::Start(node) => {
                self.policy.restart(self.now, node);
                self.set_live(node, true);
                self.reconnect(node);
            }
            Fault::Rate(agent, percent) => {
                let target = &mut self.targets[agent.index()];
                for (key, at, version) in target.set_rate(self.now, percent) {
                    self.events.push(at, Event::Finish(agent, key, version));
                }
            }
            Fault::Cut(a, b) => self.cut(a, b),
            Fault::Heal(a, b) => {
                self.links.heal(a, b);
                self.relink(a, b);
            }
        }
    }

    fn kill(&mut self, node: Node) {
        self.set_live(node, false);
        match node {
            Node::Agent(a) => {
                for key in self.targets[a.index()].clear() {
                    self.meter.stops(self.requests[key.index()].seen.account);
                }
                for e in 0..self.live.entries.len() {
                    self.cut(Node::Entry(EntryKey::from(e)), node);
                }
            }
            Node::Entry(e) => {
                self.links.lose_entry(e, self.now);
                for a in 0..self.live.agents.len() {
                    self.cut(node, Node::Agent(AgentKey::from(a)));
                }
            }
        }
    }

    fn cut(&mut self, a: Node, b: Node) {
        let epoch = self.links.cut(a, b);
        if let (Node::Entry(e), Node::Agent(a)) = (a, b) {
            let event = Event::Link(e, a, false, epoch);
            self.events.push(self.now + DETECT, event);
        }
    }

    fn reconnect(&mut self, node: Node) {
        match node {
            Node::Agent(_) => {
                for e in 0..self.live.entries.len() {
                    self.restore(Node::Entry(EntryKey::from(e)), node);
                }
            }
            Node::Entry(e) => {
                self.links.find_entry(e);
                for a in 0..self.live.agents.len() {
                    self.restore(node, Node::Agent(AgentKey::from(a)));
                }
            }
        }
    }

    fn restore(&mut self, a: Node, b: Node) {
        if self.live.runs(a) && self.live.runs(b) {
            self.links.heal(a, b);
            self.relink(a, b);
        }
    }

    fn relink(&mut self, a: Node, b: Node) {
        if let (Node::Entry(e), Node::Agent(g)) = (a, b) {
            let epoch = self.links.epoch(a, b);
            let event = Event::Link(e, g, true, epoch);
            self.events.push(self.now + CONNECT, event);
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
            self.lose_requests(e);
        }
    }

    /// Callers of a lost entry see their connections break.
    fn lose_requests(&mut self, entry: EntryKey) {
        let open: Vec<JobKey> = self
            .requests
            .iter()
            .filter(|r| r.fate == Fate::Open && r.entry == entry)
            .map(|r| r.seen.key)
            .collect();
        for key in open {
            self.close(key, Fate::Lost);
        }
    }
}
