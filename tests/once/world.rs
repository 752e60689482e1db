//! Simulation of two entries, two agents and the links between them, with injected faults.

use std::collections::HashMap;

use balsampitch::attempt::{Action, Attempt, DEFAULT_AGENT_TIMEOUT, Event, RequestPolicy};
use balsampitch::dispatch_ids::DispatchIds;
use balsampitch::dispatch_table::DispatchTable;
use balsampitch::ids::{AgentKey, BootId, DispatchId};
use balsampitch::problem::Reason;
use balsampitch::replay_buffer::ReplayBuffer;
use balsampitch::units::Micros;
use balsampitch::wire::{DispatchState, Finish};

use crate::nodes::{Agent, AgentFrame, Entry, EntryFrame, Link, Response};
use crate::oracle::{Caller, ResponseFrame, Runs, Verdict, frame_count, judge};
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

    pub fn unfinished(&self) -> usize {
        let open = self.entries.iter().flat_map(|e| e.attempts.values());
        open.filter(|a| a.outcome().is_none()).count()
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Submit { entry, idempotent } => self.submit(entry, idempotent),
            Step::Dispatch { entry, agent } => self.dispatch(entry, agent),
            Step::DeliverToAgent(link) => self.deliver_to_agent(link),
            Step::DeliverToEntry(link) => self.deliver_to_entry(link),
            Step::DeliverStale(link) => self.deliver_stale(link),
            Step::DropFrame(link) => drop(self.links[link].to_entry.pop_front()),
            Step::Duplicate(link) => {
                let first = self.links[link].to_entry.front().copied();
                self.links[link].to_entry.extend(first);
            }
            Step::Disconnect(link) => self.disconnect(link),
            Step::Connect(link) => self.connect(link),
            Step::Produce { agent, pick } => self.produce(agent, pick),
            Step::Crash { agent } => self.crash(agent),
            Step::RestartAgent(agent) => self.restart_agent(agent),
            Step::RestartEntry(entry) => self.restart_entry(entry),
            Step::Freeze(agent) => self.agents[agent].frozen = true,
            Step::Thaw(agent) => self.agents[agent].frozen = false,
            Step::CallerGone(request) => self.notify_request(request, Event::CallerGone),
            Step::GiveUp(request) => {
                self.notify_request(request, Event::GiveUp(Reason::NoCapacity))
            }
            Step::AgentTimeout => self.pass_timeout(),
        }
    }

    /// Ends all faults, reconnects every link and delivers the remaining frames, so that every request
    /// ends.
    pub fn settle(&mut self) {
        for agent in &mut self.agents {
            agent.frozen = false;
        }
        self.drain();
        for _ in 0..3 {
            for link in 0..LINKS {
                self.disconnect(link);
                self.connect(link);
            }
            self.drain();
        }
        self.pass_timeout();
    }

    fn drain(&mut self) {
        for _ in 0..100 {
            for link in 0..LINKS {
                self.deliver_to_agent(link);
                self.deliver_to_entry(link);
                self.deliver_stale(link);
                self.dispatch(entry_of(link), agent_of(link));
            }
            for agent in 0..AGENTS {
                self.produce(agent, 0);
            }
        }
    }

    fn next_boot(&mut self) -> BootId {
        self.boots += 1;
        BootId(self.boots)
    }

    fn new_entry(&mut self) -> Entry {
        let boot = self.next_boot();
        Entry {
            ids: DispatchIds::new(boot),
            attempts: HashMap::new(),
            sent: HashMap::new(),
        }
    }

    fn new_agent(&mut self) -> Agent {
        Agent {
            boot: self.next_boot(),
            dispatches: DispatchTable::new(),
            responses: HashMap::new(),
            frozen: false,
        }
    }

    fn submit(&mut self, entry: usize, idempotent: bool) {
        let request = self.callers.len();
        self.callers.push(Caller {
            idempotent,
            received: Vec::new(),
            outcome: None,
        });
        let attempt = Attempt::new(RequestPolicy::new(idempotent));
        self.entries[entry].attempts.insert(request, attempt);
    }

    fn dispatch(&mut self, entry: usize, agent: usize) {
        let link = entry * AGENTS + agent;
        let waiting = self.entries[entry].attempts.iter();
        let waiting = waiting.filter(|(_, a)| a.waiting()).map(|(r, _)| *r).min();
        let Some(request) = waiting.filter(|_| self.links[link].connected) else {
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
        self.send_to_agent(link, AgentFrame::Dispatch { id, request });
    }

    fn send_to_agent(&mut self, link: usize, frame: AgentFrame) {
        if self.links[link].connected {
            self.links[link].to_agent.push_back(frame);
        }
    }

    fn send_to_entry(&mut self, link: usize, frame: EntryFrame) {
        if self.links[link].connected {
            self.links[link].to_entry.push_back(frame);
        }
    }

    fn deliver_to_agent(&mut self, link: usize) {
        if self.agents[agent_of(link)].frozen {
            return;
        }
        if let Some(frame) = self.links[link].to_agent.pop_front() {
            self.handle_at_agent(link, frame);
        }
    }

    fn deliver_stale(&mut self, link: usize) {
        if self.agents[agent_of(link)].frozen {
            return;
        }
        if let Some(frame) = self.links[link].stale.pop_front() {
            self.handle_at_agent(link, frame);
        }
    }

    fn handle_at_agent(&mut self, link: usize, frame: AgentFrame) {
        let skip_blocking = self.faults.skip_blocking;
        let agent = &mut self.agents[agent_of(link)];
        match frame {
            AgentFrame::Dispatch { id, request } => self.begin(link, id, request),
            AgentFrame::Query { id, next, floor } => {
                agent.dispatches.raise_floor(id.boot, floor);
                let saved = agent.dispatches.clone();
                let state = agent.dispatches.query(id);
                if skip_blocking {
                    agent.dispatches = saved;
                }
                self.resume(link, id, state, next);
            }
            AgentFrame::Cancel(id) => {
                if let Some(response) = agent.responses.get_mut(&id) {
                    response.end.get_or_insert(Finish::Cancelled);
                    agent.dispatches.mark_done(id);
                }
            }
            AgentFrame::Settled { id, floor } => {
                agent.responses.remove(&id);
                agent.dispatches.mark_forgotten(id);
                agent.dispatches.raise_floor(id.boot, floor);
            }
        }
    }

    fn begin(&mut self, link: usize, id: DispatchId, request: usize) {
        let ignore_begin = self.faults.ignore_begin;
        let agent = &mut self.agents[agent_of(link)];
        if agent.responses.values().filter(|a| a.end.is_none()).count() >= SLOTS {
            let state = agent.dispatches.query(id);
            let frame = match state {
                DispatchState::NeverSeen => EntryFrame::Declined(id),
                state => EntryFrame::State(id, state),
            };
            self.send_to_entry(link, frame);
            return;
        }
        if !agent.dispatches.begin(id) && !ignore_begin {
            let state = agent.dispatches.query(id);
            self.send_to_entry(link, EntryFrame::State(id, state));
            return;
        }
        let run = self.runs.entry(request).or_default();
        *run += 1;
        let response = Response {
            link,
            request,
            run: *run,
            buffer: ReplayBuffer::new(),
            end: None,
        };
        agent.responses.insert(id, response);
    }

    fn resume(&mut self, link: usize, id: DispatchId, state: DispatchState, next: u64) {
        self.send_to_entry(link, EntryFrame::State(id, state));
        let agent = &self.agents[agent_of(link)];
        let Some(response) = agent.responses.get(&id) else {
            return;
        };
        let rest = response.buffer.iter_from(next).into_iter().flatten();
        let rest: Vec<ResponseFrame> = rest.map(|(_, content)| *content).collect();
        let end = response
            .end
            .map(|finish| (finish, response.buffer.next_seq()));
        rest.into_iter()
            .for_each(|content| self.send_to_entry(link, EntryFrame::Response(id, content)));
        if let Some((finish, total)) = end {
            self.send_to_entry(link, EntryFrame::End(id, finish, total));
        }
    }

    /// The target sends the next frame of one response, or ends it.
    fn produce(&mut self, agent: usize, pick: usize) {
        let node = &mut self.agents[agent];
        let running = node.responses.iter().filter(|(_, a)| a.end.is_none());
        let mut running: Vec<DispatchId> = running.map(|(id, _)| *id).collect();
        running.sort();
        if node.frozen || running.is_empty() {
            return;
        }
        let id = running[pick % running.len()];
        let response = node.responses.get_mut(&id).expect("a running response");
        let (link, seq) = (response.link, response.buffer.next_seq());
        let frame = if seq < frame_count(response.request) {
            let content = ResponseFrame {
                request: response.request,
                run: response.run,
                seq,
            };
            response.buffer.push(content, 1);
            EntryFrame::Response(id, content)
        } else {
            response.end = Some(Finish::Whole);
            node.dispatches.mark_done(id);
            EntryFrame::End(id, Finish::Whole, seq)
        };
        self.send_to_entry(link, frame);
    }

    fn crash(&mut self, agent: usize) {
        let node = &mut self.agents[agent];
        let mut frames = Vec::new();
        for (id, response) in node.responses.iter_mut().filter(|(_, a)| a.end.is_none()) {
            let total = response.buffer.next_seq();
            let finish = match total {
                0 => Finish::Crashed,
                _ => Finish::Cut,
            };
            response.end = Some(finish);
            node.dispatches.mark_done(*id);
            frames.push((response.link, EntryFrame::End(*id, finish, total)));
        }
        frames.sort_by_key(|(link, _)| *link);
        frames
            .into_iter()
            .for_each(|(link, f)| self.send_to_entry(link, f));
    }

    fn deliver_to_entry(&mut self, link: usize) {
        let Some(frame) = self.links[link].to_entry.pop_front() else {
            return;
        };
        let (id, content) = match frame {
            EntryFrame::Response(id, content) => (id, Some(content)),
            EntryFrame::Declined(id) | EntryFrame::End(id, _, _) | EntryFrame::State(id, _) => {
                (id, None)
            }
        };
        let entry = entry_of(link);
        let Some(request) = self.receiver(entry, id) else {
            self.send_to_agent(link, self.settled_frame(entry, id));
            return;
        };
        let attempt = &self.entries[entry].attempts[&request];
        let next = attempt.next_chunk();
        let id = match attempt.dispatch() {
            Some(current) if self.faults.ignore_dispatch => current,
            _ => id,
        };
        let due = |seq| if self.faults.ignore_seq { next } else { seq };
        let event = match frame {
            EntryFrame::Declined(_) => Event::Declined(id),
            EntryFrame::Response(_, content) if due(content.seq) == 0 => Event::Head(id),
            EntryFrame::Response(_, content) => Event::Chunk {
                dispatch: id,
                seq: due(content.seq),
                len: 1,
            },
            EntryFrame::End(_, finish, total) => {
                let total = if self.faults.ignore_length {
                    next
                } else {
                    total
                };
                let chunks = total.saturating_sub(1);
                Event::End {
                    dispatch: id,
                    finish,
                    chunks,
                    bytes: chunks,
                }
            }
            EntryFrame::State(_, state) => Event::State(id, state),
        };
        self.event(entry, request, event, content);
    }

    /// Returns the request that a frame of this dispatch belongs to.
    fn receiver(&self, entry: usize, id: DispatchId) -> Option<usize> {
        let attempts = &self.entries[entry].attempts;
        let open = |a: &Attempt| a.dispatch().is_some();
        let mut exact = attempts.iter().filter(|(_, a)| a.dispatch() == Some(id));
        let other = attempts.iter().filter(|(_, a)| open(a)).map(|(r, _)| *r);
        let exact = exact.next().map(|(r, _)| *r);
        exact.or_else(|| other.min().filter(|_| self.faults.ignore_dispatch))
    }

    fn settled_frame(&self, entry: usize, id: DispatchId) -> AgentFrame {
        let floor = self.entries[entry].ids.floor();
        AgentFrame::Settled { id, floor }
    }

    fn event(
        &mut self,
        entry: usize,
        request: usize,
        event: Event,
        content: Option<ResponseFrame>,
    ) {
        let Some(attempt) = self.entries[entry].attempts.get_mut(&request) else {
            return;
        };
        let actions = attempt.handle(self.now, event);
        let outcome = attempt.outcome();
        actions
            .into_iter()
            .for_each(|action| self.apply_action(entry, request, action, content));
        if self.callers[request].outcome.is_none() {
            self.callers[request].outcome = outcome;
        }
    }

    fn apply_action(
        &mut self,
        entry: usize,
        request: usize,
        action: Action,
        content: Option<ResponseFrame>,
    ) {
        match action {
            Action::Deliver => self.callers[request].received.extend(content),
            Action::Requeue if self.faults.forget_dispatch => {
                let idempotent = self.callers[request].idempotent;
                let fresh = Attempt::new(RequestPolicy::new(idempotent).retries(0));
                self.entries[entry].attempts.insert(request, fresh);
            }
            Action::Query { dispatch, next } => {
                let floor = self.entries[entry].ids.floor();
                self.send_to_dispatched(entry, dispatch, |id| AgentFrame::Query {
                    id,
                    next,
                    floor,
                });
            }
            Action::Cancel(id) => {
                self.entries[entry].ids.close(id);
                self.send_to_dispatched(entry, id, AgentFrame::Cancel);
            }
            Action::Settle(id) => {
                self.entries[entry].ids.close(id);
                let floor = self.entries[entry].ids.floor();
                self.send_to_dispatched(entry, id, |id| AgentFrame::Settled { id, floor });
            }
            Action::Close(id) => self.entries[entry].ids.close(id),
            Action::Requeue
            | Action::Refuse(_)
            | Action::Complete
            | Action::Abort
            | Action::RecordCrash => {}
        }
    }

    /// Sends a frame to the agent that the dispatch was sent to.
    fn send_to_dispatched(
        &mut self,
        entry: usize,
        id: DispatchId,
        frame: impl Fn(DispatchId) -> AgentFrame,
    ) {
        let agent = self.entries[entry].sent.get(&id).copied();
        if let Some(agent) = agent {
            self.send_to_agent(entry * AGENTS + agent, frame(id));
        }
    }

    fn notify_request(&mut self, request: usize, event: Event) {
        (0..ENTRIES).for_each(|entry| self.event(entry, request, event, None));
    }

    fn notify_entry(&mut self, entry: usize, event: Event) {
        let mut requests: Vec<usize> = self.entries[entry].attempts.keys().copied().collect();
        requests.sort_unstable();
        requests
            .into_iter()
            .for_each(|request| self.event(entry, request, event, None));
    }

    fn disconnect(&mut self, link: usize) {
        let link_state = &mut self.links[link];
        link_state.connected = false;
        link_state.to_entry.clear();
        let rest = std::mem::take(&mut link_state.to_agent);
        link_state.stale.extend(rest);
        let agent = AgentKey(agent_of(link) as u32);
        self.notify_entry(entry_of(link), Event::Disconnected(agent));
    }

    fn connect(&mut self, link: usize) {
        if self.links[link].connected {
            return;
        }
        self.links[link].connected = true;
        let agent = agent_of(link);
        let key = AgentKey(agent as u32);
        let mut boot = self.agents[agent].boot;
        if self.faults.ignore_boot {
            boot = BootId(ENTRIES as u64 + 1 + agent as u64);
        }
        self.notify_entry(entry_of(link), Event::Reconnected(key, boot));
    }

    fn restart_agent(&mut self, agent: usize) {
        self.agents[agent] = self.new_agent();
        for link in (0..LINKS).filter(|l| agent_of(*l) == agent) {
            self.disconnect(link);
            self.links[link].stale.clear();
        }
    }

    /// Restarts an entry. Its callers lose their connections without a response.
    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry();
        (0..LINKS)
            .filter(|l| entry_of(*l) == entry)
            .for_each(|link| self.disconnect(link));
    }

    fn pass_timeout(&mut self) {
        self.now += DEFAULT_AGENT_TIMEOUT;
        (0..ENTRIES).for_each(|entry| self.notify_entry(entry, Event::Tick));
    }
}
