//! State machine test of schedulers and agents' slot offers over unreliable connections, against an
//! oracle that tracks every request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{Arrival, Assignment, Job, Scheduler};
use crate::ids::{AccountKey, AgentKey, EntryKey, JobKey, OfferId};
use crate::retry_budget::RetryBudget;
use crate::slot_offers::{SlotOffers, Step as AgentStep, Steps, Verdict};
use crate::units::Micros;
use crate::wire::Backlog;

const ENTRIES: u32 = 2;
const AGENTS: u32 = 2;
const SLOTS: u16 = 2;
const COST: Micros = Micros::from_ms(10);

/// Faults that a test can inject, to show that the checks detect them.
const NONE: u8 = 0;
const DROP_DECLINES: u8 = 1;
const DROP_WITHDRAWALS: u8 = 2;
const DROP_PARKED: u8 = 3;
const END_TWICE: u8 = 4;

#[derive(Clone, Debug)]
enum Event {
    Arrive(u32, u32),
    ToAgent(u32, u32),
    ToEntry(u32, u32),
    Finish(u32),
    Disconnect(u32, u32),
    Connect(u32, u32),
}

#[derive(Clone, Debug)]
enum Frame {
    Offer(OfferId),
    Withdraw(OfferId),
    Parked(OfferId, Backlog),
    Dispatch(JobKey, OfferId, Backlog),
    Decline(JobKey),
    End(JobKey),
}

/// State of a request in the oracle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting(u32),
    Sent(u32, u32),
    Running(u32, u32),
    Ended,
}

#[derive(Clone, Debug, Default)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Event> {
        let (e, a) = (0..ENTRIES, 0..AGENTS);
        prop_oneof![
            6 => (e.clone(), 0..3u32).prop_map(|(e, k)| Event::Arrive(e, k)),
            12 => (e.clone(), a.clone()).prop_map(|(e, a)| Event::ToAgent(e, a)),
            12 => (e.clone(), a.clone()).prop_map(|(e, a)| Event::ToEntry(e, a)),
            4 => a.clone().prop_map(Event::Finish),
            1 => (e.clone(), a.clone()).prop_map(|(e, a)| Event::Disconnect(e, a)),
            2 => (e, a).prop_map(|(e, a)| Event::Connect(e, a)),
        ]
        .boxed()
    }

    fn apply(state: Model, _: &Event) -> Model {
        state
    }
}

struct Fleet<const FAULT: u8> {
    now: Micros,
    schedulers: Vec<Scheduler>,
    agents: Vec<SlotOffers>,
    to_agent: BTreeMap<(u32, u32), VecDeque<Frame>>,
    to_entry: BTreeMap<(u32, u32), VecDeque<Frame>>,
    connected: BTreeSet<(u32, u32)>,
    withdrawn: BTreeSet<(u32, u32, OfferId)>,
    states: BTreeMap<JobKey, RequestState>,
}

impl<const FAULT: u8> Fleet<FAULT> {
    fn new() -> Self {
        let mut fleet = Fleet {
            now: Micros::ZERO,
            schedulers: (0..ENTRIES).map(|_| Scheduler::new()).collect(),
            agents: (0..AGENTS).map(|_| SlotOffers::new(SLOTS)).collect(),
            to_agent: BTreeMap::new(),
            to_entry: BTreeMap::new(),
            connected: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            states: BTreeMap::new(),
        };
        fleet.connect_all();
        fleet
    }

    fn connect_all(&mut self) {
        for e in 0..ENTRIES {
            (0..AGENTS).for_each(|a| self.connect(e, a));
        }
    }

    fn handle(&mut self, event: Event) {
        self.now += Micros(1);
        match event {
            Event::Arrive(e, account) => self.arrive(e, account),
            Event::ToAgent(e, a) => self.at_agent(e, a),
            Event::ToEntry(e, a) => self.at_entry(e, a),
            Event::Finish(a) => self.finish(a),
            Event::Disconnect(e, a) => self.disconnect(e, a),
            Event::Connect(e, a) => self.connect(e, a),
        }
        self.check();
    }

    fn arrive(&mut self, e: u32, account: u32) {
        let key = JobKey::from(self.states.len());
        let job = Job {
            account: AccountKey(account),
            cost: COST,
            limit: 100,
            prefix: None,
            deadline: None,
        };
        self.states.insert(key, RequestState::Waiting(e));
        match self.schedulers[e as usize].submit(self.now, key, job) {
            Arrival::Assigned(assignment) => self.dispatch(e, assignment),
            Arrival::Queued => {}
            Arrival::Full | Arrival::TooLate => panic!("neither limit nor deadline is reached"),
        }
    }

    fn dispatch(&mut self, e: u32, Assignment { job, agent, offer }: Assignment) {
        let a = agent.0;
        assert!(
            self.connected.contains(&(e, a)),
            "an offer outlives its connection"
        );
        assert!(
            !self.withdrawn.contains(&(e, a, offer)),
            "an offer outlives its withdrawal"
        );
        assert_eq!(
            self.states[&job],
            RequestState::Waiting(e),
            "dispatched twice"
        );
        self.states.insert(job, RequestState::Sent(e, a));
        let backlog = self.schedulers[e as usize].backlog();
        let frame = Frame::Dispatch(job, offer, backlog);
        self.to_agent.entry((e, a)).or_default().push_back(frame);
    }

    fn requeue(&mut self, e: u32, job: JobKey) {
        self.states.insert(job, RequestState::Waiting(e));
        let assigned = self.schedulers[e as usize].requeue(self.now, job);
        if let Some(assignment) = assigned {
            self.dispatch(e, assignment);
        }
    }

    fn at_entry(&mut self, e: u32, a: u32) {
        let queue = self.to_entry.entry((e, a)).or_default();
        let Some(frame) = queue.pop_front() else {
            return;
        };
        let (agent, now) = (AgentKey(a), self.now);
        let scheduler = &mut self.schedulers[e as usize];
        match frame {
            Frame::Offer(offer) => match scheduler.offer(now, agent, offer) {
                Some(assignment) => self.dispatch(e, assignment),
                None => {
                    let frame = Frame::Parked(offer, scheduler.backlog());
                    self.to_agent.entry((e, a)).or_default().push_back(frame);
                }
            },
            Frame::Withdraw(offer) => {
                self.withdrawn.insert((e, a, offer));
                if FAULT != DROP_WITHDRAWALS {
                    scheduler.withdraw(agent, offer);
                }
            }
            Frame::Decline(job) if FAULT != DROP_DECLINES => self.requeue(e, job),
            Frame::End(job) => {
                scheduler.complete(now, job, COST);
                self.states.insert(job, RequestState::Ended);
            }
            _ => {}
        }
    }

    fn at_agent(&mut self, e: u32, a: u32) {
        let queue = self.to_agent.entry((e, a)).or_default();
        let Some(frame) = queue.pop_front() else {
            return;
        };
        let (entry, now) = (EntryKey(e), self.now);
        let slots = &mut self.agents[a as usize];
        match frame {
            Frame::Parked(offer, backlog) if FAULT != DROP_PARKED => {
                let steps = slots.parked(now, entry, offer, backlog);
                self.send(a, steps);
            }
            Frame::Dispatch(job, offer, backlog) => {
                let (verdict, steps) = slots.dispatched(now, entry, offer, backlog);
                self.send(a, steps);
                if verdict == Verdict::Accept {
                    self.states.insert(job, RequestState::Running(e, a));
                } else {
                    let frame = Frame::Decline(job);
                    self.to_entry.entry((e, a)).or_default().push_back(frame);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, a: u32, steps: Steps) {
        for step in steps {
            let (e, frame) = match step {
                AgentStep::Offer(e, id) => (e.0, Frame::Offer(id)),
                AgentStep::Withdraw(e, id) => (e.0, Frame::Withdraw(id)),
            };
            if self.connected.contains(&(e, a)) {
                self.to_entry.entry((e, a)).or_default().push_back(frame);
            }
        }
    }

    fn finish(&mut self, a: u32) {
        let running = |p: &RequestState| matches!(p, RequestState::Running(_, at) if *at == a);
        let Some((&job, &place)) = self.states.iter().find(|(_, p)| running(p)) else {
            return;
        };
        let RequestState::Running(e, _) = place else {
            return;
        };
        self.states.insert(job, RequestState::Sent(e, a));
        let ends = self.to_entry.entry((e, a)).or_default();
        ends.push_back(Frame::End(job));
        let steps = self.agents[a as usize].finished();
        self.send(a, steps);
        if FAULT == END_TWICE {
            let steps = self.agents[a as usize].finished();
            self.send(a, steps);
        }
    }

    /// Both ends detect the disconnection: the entry requeues its dispatches, the agent stops them.
    fn disconnect(&mut self, e: u32, a: u32) {
        if !self.connected.remove(&(e, a)) {
            return;
        }
        self.to_agent.remove(&(e, a));
        self.to_entry.remove(&(e, a));
        let steps = self.agents[a as usize].disconnected(EntryKey(e));
        self.send(a, steps);
        self.schedulers[e as usize].remove_agent(AgentKey(a));
        let mine =
            |p: &RequestState| *p == RequestState::Sent(e, a) || *p == RequestState::Running(e, a);
        let jobs: Vec<_> = self.states.iter().filter(|(_, p)| mine(p)).collect();
        let jobs: Vec<_> = jobs.into_iter().map(|(&k, &p)| (k, p)).collect();
        for (job, place) in jobs {
            if place == RequestState::Running(e, a) {
                let steps = self.agents[a as usize].finished();
                self.send(a, steps);
            }
            self.requeue(e, job);
        }
    }

    fn connect(&mut self, e: u32, a: u32) {
        if !self.connected.insert((e, a)) {
            return;
        }
        self.withdrawn.retain(|v| (v.0, v.1) != (e, a));
        let steps = self.agents[a as usize].connected(self.now, EntryKey(e));
        self.send(a, steps);
    }

    fn check(&self) {
        for e in 0..ENTRIES {
            let waiting = self
                .states
                .values()
                .filter(|p| **p == RequestState::Waiting(e));
            let reported = self.schedulers[e as usize].backlog().waiting as usize;
            assert_eq!(reported, waiting.count(), "the waiting count is wrong");
        }
        for a in 0..AGENTS {
            let running = |p: &&RequestState| matches!(p, RequestState::Running(_, at) if *at == a);
            let count = self.states.values().filter(running).count();
            let busy = self.agents[a as usize].busy() as usize;
            assert_eq!(busy, count, "the busy count is wrong");
            assert!(busy <= SLOTS as usize, "more runs than slots");
        }
    }

    /// Delivers all frames; then no slot may be free while requests wait.
    fn settle(&mut self) {
        self.connect_all();
        loop {
            let full = |q: &VecDeque<Frame>| !q.is_empty();
            if let Some((&(e, a), _)) = self.to_agent.iter().find(|(_, q)| full(q)) {
                self.at_agent(e, a);
            } else if let Some((&(e, a), _)) = self.to_entry.iter().find(|(_, q)| full(q)) {
                self.at_entry(e, a);
            } else {
                break;
            }
        }
        self.check();
        let busy: u16 = self.agents.iter().map(SlotOffers::busy).sum();
        let waiting = self.states.values();
        let waits = waiting
            .filter(|p| matches!(p, RequestState::Waiting(_)))
            .count();
        let free = u32::from(busy) < AGENTS * u32::from(SLOTS);
        assert!(!free || waits == 0, "a slot is free while work waits");
    }

    fn drain(&mut self) {
        self.settle();
        while self.agents.iter().any(|p| p.busy() > 0) {
            (0..AGENTS).for_each(|a| self.finish(a));
            self.settle();
        }
        let lost = self.states.values().any(|p| *p != RequestState::Ended);
        assert!(!lost, "a request is lost");
    }
}

impl<const FAULT: u8> StateMachineTest for Fleet<FAULT> {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &Model) -> Self {
        Fleet::new()
    }

    fn apply(mut fleet: Self, _: &Model, event: Event) -> Self {
        fleet.handle(event);
        fleet
    }

    fn teardown(mut fleet: Self, _: Model) {
        fleet.drain();
    }
}

fn fuzz<const FAULT: u8>() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        max_shrink_iters: 0,
        ..Config::default()
    };
    proptest!(config, |((initial, events, _seen) in Model::sequential_strategy(1..120))| {
        Fleet::<FAULT>::test_sequential(Config::default(), initial, events, None);
    });
}

#[test]
fn every_request_is_run_once_and_no_slot_idles() {
    fuzz::<NONE>();
}

macro_rules! caught {
    ($($name:ident: $fault:ident, $says:literal;)*) => {
        $(
            #[test]
            #[should_panic(expected = $says)]
            fn $name() {
                fuzz::<$fault>();
            }
        )*
    };
}

caught! {
    a_dropped_decline_is_caught: DROP_DECLINES, "is lost";
    a_dropped_withdrawal_is_caught: DROP_WITHDRAWALS, "an offer outlives its withdrawal";
    a_dropped_parked_is_caught: DROP_PARKED, "a slot is free while work waits";
    a_slot_freed_twice_is_caught: END_TWICE, "the busy count is wrong";
}

macro_rules! cases {
    ($check:ident: $($name:ident($($arg:expr),* $(,)?);)*) => {
        $(#[test] fn $name() { $check($($arg),*) })*
    };
}

const HINT: Micros = Micros::from_ms(100);

fn job(prefix: Option<u64>) -> Job {
    Job {
        account: AccountKey(0),
        cost: HINT,
        limit: 10,
        prefix,
        deadline: None,
    }
}

/// A request has run on agent 0 for ten times the expected slot time, and an offer of agent 1 is
/// parked.
fn overdue() -> Scheduler {
    let mut scheduler = Scheduler::new();
    scheduler.submit(Micros::ZERO, JobKey(0), job(None));
    scheduler.offer(Micros::ZERO, AgentKey(0), OfferId(0));
    scheduler.progress(JobKey(0), Micros(10 * HINT.0));
    scheduler.offer(Micros::ZERO, AgentKey(1), OfferId(1));
    scheduler
}

fn hedges(after: fn(&mut Scheduler), agent: Option<AgentKey>) {
    let mut scheduler = overdue();
    after(&mut scheduler);
    let hedge = scheduler.hedge(Micros::ZERO, JobKey(0), &mut RetryBudget::new(100));
    assert_eq!(hedge.map(|h| h.agent), agent);
}

fn hedged(scheduler: &mut Scheduler) {
    let hedge = scheduler.hedge(Micros::ZERO, JobKey(0), &mut RetryBudget::new(100));
    assert!(hedge.is_some());
    scheduler.offer(Micros::ZERO, AgentKey(2), OfferId(2));
}

cases! { hedges:
    an_overdue_request_is_hedged(|_| {}, Some(AgentKey(1)));
    one_hedge_at_a_time(hedged, None);
    a_cleared_hedge_can_be_repeated(|s| { hedged(s); s.clear_hedge(JobKey(0)); },
        Some(AgentKey(2)));
    a_promoted_hedge_is_compared_with_its_own_target(|s| { hedged(s);
        s.promote_hedge(JobKey(0), AgentKey(1)); }, None);
    waiting_requests_go_before_a_hedge(|s| { s.withdraw(AgentKey(1), OfferId(1));
        s.submit(Micros::ZERO, JobKey(1), job(None)); }, None);
    a_finished_request_is_not_hedged(|s| s.abort(JobKey(0), HINT), None);
}

/// Slot time charged for the account's next request.
fn next_is_charged(over: fn(&mut Scheduler), charged: Micros) {
    let mut scheduler = Scheduler::new();
    scheduler.submit(Micros::ZERO, JobKey(0), job(None));
    scheduler.offer(Micros::ZERO, AgentKey(0), OfferId(0));
    over(&mut scheduler);
    scheduler.submit(Micros::ZERO, JobKey(1), job(None));
    scheduler.offer(Micros::ZERO, AgentKey(0), OfferId(1));
    assert_eq!(scheduler.charged(JobKey(1)), charged);
}

cases! { next_is_charged:
    an_aborted_request_leaves_the_estimate(|s| s.abort(JobKey(0), Micros(9 * HINT.0)), HINT);
    a_completed_request_updates_the_estimate(
        |s| s.complete(Micros::ZERO, JobKey(0), Micros(9 * HINT.0)), Micros(2 * HINT.0));
}

/// Checks which agent gets the account's next request when offers of agents 1 and 0 are parked, in
/// that order.
fn goes_to(prefix: Option<u64>, agent: AgentKey) {
    let mut scheduler = Scheduler::new();
    scheduler.submit(Micros::ZERO, JobKey(0), job(Some(7)));
    scheduler.offer(Micros::ZERO, AgentKey(0), OfferId(0));
    scheduler.offer(Micros::ZERO, AgentKey(1), OfferId(1));
    scheduler.offer(Micros::ZERO, AgentKey(0), OfferId(2));
    let arrival = scheduler.submit(Micros::ZERO, JobKey(1), job(prefix));
    assert!(matches!(arrival, Arrival::Assigned(a) if a.agent == agent));
}

cases! { goes_to:
    the_same_prefix_goes_to_its_target(Some(7), AgentKey(0));
    another_prefix_goes_to_the_oldest_offer(Some(8), AgentKey(1));
    no_prefix_goes_to_the_oldest_offer(None, AgentKey(1));
}
