//! Two entries, two agents and the links between them, with faults to order.

use std::collections::HashMap;

use balsampitch::attempt::{Action, Attempt, DEFAULT_AGENT_TIMEOUT, Event, RequestPolicy};
use balsampitch::dispatch_ids::DispatchIds;
use balsampitch::dispatch_table::DispatchTable;
use balsampitch::ids::{AgentKey, BootId, DispatchId};
use balsampitch::problem::Reason;
use balsampitch::replay_buffer::ReplayBuffer;
use balsampitch::units::Micros;
use balsampitch::wire::{DispatchState, Finish};

use crate::nodes::{Agent, Answer, Down, Entry, Link, Up};
use crate::oracle::{Caller, Piece, Runs, Verdict, judge, pieces};
use crate::step::{AGENTS, ENTRIES, Faults, LINKS, SLOTS, Step};

pub struct World {
    faults: Faults,
    now: Micros,
    boots: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    links: Vec<Link>,
    callers: Vec<Caller>,
    runs: Runs,
}

fn entry_of(link: usize) -> usize {
    link / AGENTS
}

fn agent_of(link: usize) -> usize {
    link % AGENTS
}

impl World {
    pub fn new(faults: Faults) -> Self {
        let mut world = World {
            faults,
            now: Micros::ZERO,
            boots: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            links: (0..LINKS).map(|_| Link::default()).collect(),
            callers: Vec::new(),
            runs: Runs::new(),
        };
        for _ in 0..ENTRIES {
            let entry = world.new_entry();
            world.entries.push(entry);
        }
        for _ in 0..AGENTS {
            let agent = world.new_agent();
            world.agents.push(agent);
        }
        (0..LINKS).for_each(|link| world.connect(link));
        world
    }

    pub fn verdict(&self) -> Verdict {
        judge(&self.callers, &self.runs)
    }

    pub fn unanswered(&self) -> usize {
        let open = self.entries.iter().flat_map(|e| e.attempts.values());
        open.filter(|a| a.outcome().is_none()).count()
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Arrive { entry, idempotent } => self.arrive(entry, idempotent),
            Step::Dispatch { entry, agent } => self.dispatch(entry, agent),
            Step::ToAgent(link) => self.reach_agent(link),
            Step::ToEntry(link) => self.reach_entry(link),
            Step::Stale(link) => self.stale(link),
            Step::Drop(link) => drop(self.links[link].answers.pop_front()),
            Step::Double(link) => {
                let first = self.links[link].answers.front().copied();
                self.links[link].answers.extend(first);
            }
            Step::Cut(link) => self.cut(link),
            Step::Connect(link) => self.connect(link),
            Step::Produce { agent, pick } => self.produce(agent, pick),
            Step::Crash { agent } => self.crash(agent),
            Step::RestartAgent(agent) => self.restart_agent(agent),
            Step::RestartEntry(entry) => self.restart_entry(entry),
            Step::Freeze(agent) => self.agents[agent].frozen = true,
            Step::Thaw(agent) => self.agents[agent].frozen = false,
            Step::Gone(request) => self.every(request, Event::CallerGone),
            Step::GiveUp(request) => self.every(request, Event::GiveUp(Reason::NoCapacity)),
            Step::Wait => self.wait(),
        }
    }

    /// All faults are over: what can be found out is found out.
    pub fn settle(&mut self) {
        for agent in &mut self.agents {
            agent.frozen = false;
        }
        self.run_dry();
        for _ in 0..3 {
            for link in 0..LINKS {
                self.cut(link);
                self.connect(link);
            }
            self.run_dry();
        }
        self.wait();
    }

    fn run_dry(&mut self) {
        for _ in 0..100 {
            for link in 0..LINKS {
                self.reach_agent(link);
                self.reach_entry(link);
                self.stale(link);
                self.dispatch(entry_of(link), agent_of(link));
            }
            for agent in 0..AGENTS {
                self.produce(agent, 0);
            }
        }
    }

    fn boot(&mut self) -> BootId {
        self.boots += 1;
        BootId(self.boots)
    }

    fn new_entry(&mut self) -> Entry {
        let boot = self.boot();
        Entry {
            ids: DispatchIds::new(boot),
            attempts: HashMap::new(),
            sent: HashMap::new(),
        }
    }

    fn new_agent(&mut self) -> Agent {
        Agent {
            boot: self.boot(),
            dispatches: DispatchTable::new(),
            answers: HashMap::new(),
            frozen: false,
        }
    }

    fn arrive(&mut self, entry: usize, idempotent: bool) {
        let request = self.callers.len();
        self.callers.push(Caller {
            idempotent,
            got: Vec::new(),
            outcome: None,
        });
        let attempt = Attempt::new(RequestPolicy::new(idempotent));
        self.entries[entry].attempts.insert(request, attempt);
    }

    fn dispatch(&mut self, entry: usize, agent: usize) {
        let link = entry * AGENTS + agent;
        let waiting = self.entries[entry].attempts.iter();
        let waiting = waiting.filter(|(_, a)| a.waiting()).map(|(r, _)| *r).min();
        let Some(request) = waiting.filter(|_| self.links[link].up) else {
            return;
        };
        let id = self.entries[entry].ids.allocate();
        self.entries[entry].sent.insert(id, agent);
        let event = Event::Dispatched {
            agent: AgentKey(agent as u32),
            boot: self.agents[agent].boot,
            dispatch: id,
        };
        self.event(entry, request, event, None);
        self.send(link, Down::Dispatch { id, request });
    }

    fn send(&mut self, link: usize, frame: Down) {
        if self.links[link].up {
            self.links[link].down.push_back(frame);
        }
    }

    fn answer(&mut self, link: usize, frame: Up) {
        if self.links[link].up {
            self.links[link].answers.push_back(frame);
        }
    }

    fn reach_agent(&mut self, link: usize) {
        if self.agents[agent_of(link)].frozen {
            return;
        }
        if let Some(frame) = self.links[link].down.pop_front() {
            self.at_agent(link, frame);
        }
    }

    fn stale(&mut self, link: usize) {
        if self.agents[agent_of(link)].frozen {
            return;
        }
        if let Some(frame) = self.links[link].stale.pop_front() {
            self.at_agent(link, frame);
        }
    }

    fn at_agent(&mut self, link: usize, frame: Down) {
        let unbarred = self.faults.unbarred;
        let agent = &mut self.agents[agent_of(link)];
        match frame {
            Down::Dispatch { id, request } => self.begin(link, id, request),
            Down::Ask { id, next, floor } => {
                agent.dispatches.raise_floor(id.boot, floor);
                let saved = agent.dispatches.clone();
                let known = agent.dispatches.query(id);
                if unbarred {
                    agent.dispatches = saved;
                }
                self.resume(link, id, known, next);
            }
            Down::Cancel(id) => {
                if let Some(answer) = agent.answers.get_mut(&id) {
                    answer.end.get_or_insert(Finish::Cancelled);
                    agent.dispatches.mark_done(id);
                }
            }
            Down::Settled { id, floor } => {
                agent.answers.remove(&id);
                agent.dispatches.mark_forgotten(id);
                agent.dispatches.raise_floor(id.boot, floor);
            }
        }
    }

    fn begin(&mut self, link: usize, id: DispatchId, request: usize) {
        let rebegun = self.faults.rebegun;
        let agent = &mut self.agents[agent_of(link)];
        if agent.answers.values().filter(|a| a.end.is_none()).count() >= SLOTS {
            let known = agent.dispatches.query(id);
            let frame = match known {
                DispatchState::NeverSeen => Up::Declined(id),
                known => Up::State(id, known),
            };
            self.answer(link, frame);
            return;
        }
        if !agent.dispatches.begin(id) && !rebegun {
            let known = agent.dispatches.query(id);
            self.answer(link, Up::State(id, known));
            return;
        }
        let run = self.runs.entry(request).or_default();
        *run += 1;
        let answer = Answer {
            link,
            request,
            run: *run,
            kept: ReplayBuffer::new(),
            end: None,
        };
        agent.answers.insert(id, answer);
    }

    fn resume(&mut self, link: usize, id: DispatchId, known: DispatchState, next: u64) {
        self.answer(link, Up::State(id, known));
        let agent = &self.agents[agent_of(link)];
        let Some(answer) = agent.answers.get(&id) else {
            return;
        };
        let rest = answer.kept.iter_from(next).into_iter().flatten();
        let rest: Vec<Piece> = rest.map(|(_, piece)| *piece).collect();
        let end = answer.end.map(|finish| (finish, answer.kept.next_seq()));
        rest.into_iter()
            .for_each(|piece| self.answer(link, Up::Piece(id, piece)));
        if let Some((finish, total)) = end {
            self.answer(link, Up::End(id, finish, total));
        }
    }

    /// The target gives one more piece of one answer, or ends it.
    fn produce(&mut self, agent: usize, pick: usize) {
        let held = &mut self.agents[agent];
        let running = held.answers.iter().filter(|(_, a)| a.end.is_none());
        let mut running: Vec<DispatchId> = running.map(|(id, _)| *id).collect();
        running.sort();
        if held.frozen || running.is_empty() {
            return;
        }
        let id = running[pick % running.len()];
        let answer = held.answers.get_mut(&id).expect("a running answer");
        let (link, seq) = (answer.link, answer.kept.next_seq());
        let frame = if seq < pieces(answer.request) {
            let piece = Piece {
                request: answer.request,
                run: answer.run,
                seq,
            };
            answer.kept.push(piece, 1);
            Up::Piece(id, piece)
        } else {
            answer.end = Some(Finish::Whole);
            held.dispatches.mark_done(id);
            Up::End(id, Finish::Whole, seq)
        };
        self.answer(link, frame);
    }

    fn crash(&mut self, agent: usize) {
        let held = &mut self.agents[agent];
        let mut frames = Vec::new();
        for (id, answer) in held.answers.iter_mut().filter(|(_, a)| a.end.is_none()) {
            let total = answer.kept.next_seq();
            let finish = match total {
                0 => Finish::Crashed,
                _ => Finish::Cut,
            };
            answer.end = Some(finish);
            held.dispatches.mark_done(*id);
            frames.push((answer.link, Up::End(*id, finish, total)));
        }
        frames.sort_by_key(|(link, _)| *link);
        frames
            .into_iter()
            .for_each(|(link, f)| self.answer(link, f));
    }

    fn reach_entry(&mut self, link: usize) {
        let Some(frame) = self.links[link].answers.pop_front() else {
            return;
        };
        let (id, piece) = match frame {
            Up::Piece(id, piece) => (id, Some(piece)),
            Up::Declined(id) | Up::End(id, _, _) | Up::State(id, _) => (id, None),
        };
        let entry = entry_of(link);
        let Some(request) = self.receiver(entry, id) else {
            self.send(link, self.settled(entry, id));
            return;
        };
        let attempt = &self.entries[entry].attempts[&request];
        let next = attempt.next();
        let id = match attempt.dispatch() {
            Some(current) if self.faults.misaddressed => current,
            _ => id,
        };
        let due = |seq| if self.faults.renumbered { next } else { seq };
        let event = match frame {
            Up::Declined(_) => Event::Declined(id),
            Up::Piece(_, piece) if due(piece.seq) == 0 => Event::Head(id),
            Up::Piece(_, piece) => Event::Chunk {
                dispatch: id,
                seq: due(piece.seq),
                len: 1,
            },
            Up::End(_, finish, total) => {
                let total = if self.faults.unmeasured { next } else { total };
                let chunks = total.saturating_sub(1);
                Event::End {
                    dispatch: id,
                    finish,
                    chunks,
                    bytes: chunks,
                }
            }
            Up::State(_, known) => Event::State(id, known),
        };
        self.event(entry, request, event, piece);
    }

    /// The request that a frame of this dispatch is for.
    fn receiver(&self, entry: usize, id: DispatchId) -> Option<usize> {
        let attempts = &self.entries[entry].attempts;
        let open = |a: &Attempt| a.dispatch().is_some();
        let mut exact = attempts.iter().filter(|(_, a)| a.dispatch() == Some(id));
        let other = attempts.iter().filter(|(_, a)| open(a)).map(|(r, _)| *r);
        let exact = exact.next().map(|(r, _)| *r);
        exact.or_else(|| other.min().filter(|_| self.faults.misaddressed))
    }

    fn settled(&self, entry: usize, id: DispatchId) -> Down {
        let floor = self.entries[entry].ids.floor();
        Down::Settled { id, floor }
    }

    fn event(&mut self, entry: usize, request: usize, event: Event, piece: Option<Piece>) {
        let Some(attempt) = self.entries[entry].attempts.get_mut(&request) else {
            return;
        };
        let actions = attempt.handle(self.now, event);
        let outcome = attempt.outcome();
        actions
            .into_iter()
            .for_each(|action| self.act(entry, request, action, piece));
        if self.callers[request].outcome.is_none() {
            self.callers[request].outcome = outcome;
        }
    }

    fn act(&mut self, entry: usize, request: usize, action: Action, piece: Option<Piece>) {
        match action {
            Action::Deliver => self.callers[request].got.extend(piece),
            Action::Requeue if self.faults.forgetful => {
                let idempotent = self.callers[request].idempotent;
                let fresh = Attempt::new(RequestPolicy::new(idempotent).retries(0));
                self.entries[entry].attempts.insert(request, fresh);
            }
            Action::Ask { dispatch, next } => {
                let floor = self.entries[entry].ids.floor();
                self.tell_holder(entry, dispatch, |id| Down::Ask { id, next, floor });
            }
            Action::Cancel(id) => {
                self.entries[entry].ids.close(id);
                self.tell_holder(entry, id, Down::Cancel);
            }
            Action::Settle(id) => {
                self.entries[entry].ids.close(id);
                let floor = self.entries[entry].ids.floor();
                self.tell_holder(entry, id, |id| Down::Settled { id, floor });
            }
            Action::Close(id) => self.entries[entry].ids.close(id),
            Action::Requeue
            | Action::Refuse(_)
            | Action::Complete
            | Action::Abort
            | Action::Crash => {}
        }
    }

    /// Sends to the agent that the dispatch went to.
    fn tell_holder(&mut self, entry: usize, id: DispatchId, frame: impl Fn(DispatchId) -> Down) {
        let agent = self.entries[entry].sent.get(&id).copied();
        if let Some(agent) = agent {
            self.send(entry * AGENTS + agent, frame(id));
        }
    }

    fn every(&mut self, request: usize, event: Event) {
        (0..ENTRIES).for_each(|entry| self.event(entry, request, event, None));
    }

    fn all(&mut self, entry: usize, event: Event) {
        let mut requests: Vec<usize> = self.entries[entry].attempts.keys().copied().collect();
        requests.sort_unstable();
        requests
            .into_iter()
            .for_each(|request| self.event(entry, request, event, None));
    }

    fn cut(&mut self, link: usize) {
        let held = &mut self.links[link];
        held.up = false;
        held.answers.clear();
        let rest = std::mem::take(&mut held.down);
        held.stale.extend(rest);
        let agent = AgentKey(agent_of(link) as u32);
        self.all(entry_of(link), Event::Disconnected(agent));
    }

    fn connect(&mut self, link: usize) {
        if self.links[link].up {
            return;
        }
        self.links[link].up = true;
        let agent = agent_of(link);
        let key = AgentKey(agent as u32);
        let mut boot = self.agents[agent].boot;
        if self.faults.bootless {
            boot = BootId(ENTRIES as u64 + 1 + agent as u64);
        }
        self.all(entry_of(link), Event::Reconnected(key, boot));
    }

    fn restart_agent(&mut self, agent: usize) {
        self.agents[agent] = self.new_agent();
        for link in (0..LINKS).filter(|l| agent_of(*l) == agent) {
            self.cut(link);
            self.links[link].stale.clear();
        }
    }

    /// The entry's callers see their connections break; nobody is told anything.
    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry();
        (0..LINKS)
            .filter(|l| entry_of(*l) == entry)
            .for_each(|link| self.cut(link));
    }

    fn wait(&mut self) {
        self.now += DEFAULT_AGENT_TIMEOUT;
        (0..ENTRIES).for_each(|entry| self.all(entry, Event::Tick));
    }
}
