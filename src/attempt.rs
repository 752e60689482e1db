//! An entry's decisions for one caller's request, over all its dispatches.
//!
//! Pure: events go in, actions come out. A request waits for a slot, is dispatched, and is passed
//! on to its caller chunk by chunk. When the agent's connection is lost, the agent is asked once
//! it is back. A refusal says `not_run` only if no dispatch can have been maybe_run.

mod types;

use crate::ids::{AgentKey, BootId, DispatchId};
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;
use crate::wire::{DispatchState, Finish};

pub use self::types::{
    Action, Actions, DEFAULT_AGENT_TIMEOUT, DEFAULT_RETRIES, Event, MAX_DECLINES, Outcome,
    RequestPolicy,
};

/// Whether a dispatch that came to nothing may have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ran {
    No,
    Maybe,
}

#[derive(Clone, Copy, Debug)]
struct Try {
    agent: AgentKey,
    boot: BootId,
    dispatch: DispatchId,
    /// The first chunk that is missing; 0 until the head came.
    next: u64,
    /// Length of the chunks that came.
    bytes: u64,
    /// When the connection was lost; the agent has not yet said what became of the dispatch.
    lost: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Waiting,
    Sent(Try),
    Over(Outcome),
}

/// One caller's request at an entry.
#[derive(Clone, Debug)]
pub struct Attempt {
    plan: RequestPolicy,
    phase: Phase,
    declines: u8,
    /// Whether an earlier dispatch may have been run.
    maybe_run: bool,
    gone: bool,
}

impl Attempt {
    /// A request that waits to be dispatched.
    pub fn new(plan: RequestPolicy) -> Self {
        Attempt {
            plan,
            phase: Phase::Waiting,
            declines: 0,
            maybe_run: false,
            gone: false,
        }
    }

    /// Whether an earlier dispatch may have been run.
    pub fn may_have_run(&self) -> bool {
        self.maybe_run
    }

    /// The dispatch in flight is given up for a second copy that is already on its way. Only for
    /// idempotent requests, and before anything of an answer came.
    pub fn replace_dispatch(&mut self, agent: AgentKey, boot: BootId, dispatch: DispatchId) {
        self.maybe_run = true;
        self.phase = Phase::Sent(Try {
            agent,
            boot,
            dispatch,
            next: 0,
            bytes: 0,
            lost: None,
        });
    }

    /// Whether the request waits for a slot.
    pub fn waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting)
    }

    /// The dispatch in flight.
    pub fn dispatch(&self) -> Option<DispatchId> {
        self.sent().map(|t| t.dispatch)
    }

    /// The first chunk of the dispatch in flight that is missing.
    pub fn next(&self) -> u64 {
        self.sent().map_or(0, |t| t.next)
    }

    /// How the request ended, if it is over.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.phase {
            Phase::Over(outcome) => Some(outcome),
            Phase::Waiting | Phase::Sent(_) => None,
        }
    }

    /// The next moment at which [`Event::Tick`] may change something.
    pub fn next_timer(&self) -> Option<Micros> {
        if self.outcome().is_some() {
            return None;
        }
        let lost = self.sent().and_then(|t| t.lost);
        let expiry = lost.map(|at| at + self.plan.agent_timeout);
        self.plan.deadline.into_iter().chain(expiry).min()
    }

    /// Takes an event in. Events of other dispatches than the one in flight change nothing.
    pub fn handle(&mut self, now: Micros, event: Event) -> Actions {
        let mut out = Actions::new();
        match event {
            Event::Dispatched {
                agent,
                boot,
                dispatch,
            } => self.dispatched(agent, boot, dispatch, &mut out),
            Event::Declined(id) => self.declined(id, &mut out),
            Event::Head(id) => self.received(id, 0, 0, &mut out),
            Event::Chunk { dispatch, seq, len } if seq > 0 => {
                self.received(dispatch, seq, len, &mut out);
            }
            Event::Chunk { .. } => {}
            Event::End {
                dispatch,
                finish,
                chunks,
                bytes,
            } => self.ended(dispatch, finish, (chunks, bytes), &mut out),
            Event::State(id, known) => self.known(id, known, &mut out),
            Event::Disconnected(agent) => self.lost(now, agent),
            Event::Reconnected(agent, boot) => self.back(now, agent, boot, &mut out),
            Event::Tick => self.tick(now, &mut out),
            Event::CallerGone => self.caller_gone(&mut out),
            Event::GiveUp(reason) => self.give_up(reason, &mut out),
        }
        out
    }

    fn sent(&self) -> Option<&Try> {
        match &self.phase {
            Phase::Sent(sent) => Some(sent),
            Phase::Waiting | Phase::Over(_) => None,
        }
    }

    /// The dispatch in flight, if it is `id`.
    fn current(&self, id: DispatchId) -> Option<Try> {
        self.sent().copied().filter(|t| t.dispatch == id)
    }

    /// Like [`Self::current`], while its connection is up and nothing is being asked.
    fn live(&self, id: DispatchId) -> Option<Try> {
        self.current(id).filter(|t| t.lost.is_none())
    }

    fn dispatched(&mut self, agent: AgentKey, boot: BootId, id: DispatchId, out: &mut Actions) {
        if !self.waiting() {
            out.push(Action::Cancel(id));
            return;
        }
        self.phase = Phase::Sent(Try {
            agent,
            boot,
            dispatch: id,
            next: 0,
            bytes: 0,
            lost: None,
        });
    }

    fn declined(&mut self, id: DispatchId, out: &mut Actions) {
        let Some(sent) = self.live(id) else { return };
        out.push(Action::Close(id));
        if sent.next > 0 {
            self.abort(out);
        } else if self.declines < MAX_DECLINES {
            self.declines += 1;
            self.requeue(out);
        } else {
            self.again(Ran::No, Reason::NoCapacity, out);
        }
    }

    fn received(&mut self, id: DispatchId, seq: u64, len: usize, out: &mut Actions) {
        let Some(mut sent) = self.live(id) else {
            return;
        };
        if seq < sent.next {
            return;
        }
        if seq > sent.next {
            out.push(Action::Cancel(id));
            self.broken(out);
            return;
        }
        sent.next += 1;
        sent.bytes += len as u64;
        self.phase = Phase::Sent(sent);
        out.push(Action::Deliver);
    }

    fn ended(&mut self, id: DispatchId, finish: Finish, size: (u64, u64), out: &mut Actions) {
        let Some(sent) = self.live(id) else { return };
        out.push(Action::Settle(id));
        let whole = sent.next > 0 && size == (sent.next - 1, sent.bytes);
        match finish {
            Finish::Whole if whole => {
                out.push(Action::Complete);
                self.phase = Phase::Over(Outcome::Whole);
            }
            Finish::Whole => self.broken(out),
            Finish::Unreached if sent.next == 0 => self.again(Ran::No, Reason::NoCapacity, out),
            Finish::Unreached => self.broken(out),
            Finish::Crashed | Finish::Cut => {
                out.push(Action::Crash);
                self.again(Ran::Maybe, Reason::TargetFailed, out);
            }
            Finish::Cancelled if sent.next > 0 => self.abort(out),
            Finish::Cancelled => {
                self.maybe_run = true;
                self.refuse(Reason::DeadlinePassed, out);
            }
        }
    }

    fn known(&mut self, id: DispatchId, known: DispatchState, out: &mut Actions) {
        let Some(mut sent) = self.current(id) else {
            return;
        };
        match known {
            DispatchState::Running | DispatchState::Done => {
                sent.lost = None;
                self.phase = Phase::Sent(sent);
            }
            DispatchState::NeverSeen => {
                out.push(Action::Close(id));
                self.again(Ran::No, Reason::NoCapacity, out);
            }
            DispatchState::Forgotten => {
                out.push(Action::Settle(id));
                self.again(Ran::Maybe, Reason::OutcomeUnknown, out);
            }
        }
    }

    fn lost(&mut self, now: Micros, agent: AgentKey) {
        if let Phase::Sent(sent) = &mut self.phase
            && sent.agent == agent
        {
            sent.lost.get_or_insert(now);
        }
    }

    fn back(&mut self, now: Micros, agent: AgentKey, boot: BootId, out: &mut Actions) {
        self.lost(now, agent);
        let Some(sent) = self.sent().copied() else {
            return;
        };
        if sent.agent != agent {
            return;
        }
        if sent.boot == boot {
            out.push(Action::Ask {
                dispatch: sent.dispatch,
                next: sent.next,
            });
        } else {
            out.push(Action::Close(sent.dispatch));
            self.again(Ran::Maybe, Reason::OutcomeUnknown, out);
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Actions) {
        if self.outcome().is_some() {
            return;
        }
        if self.plan.deadline.is_some_and(|at| now >= at) {
            self.expired(out);
            return;
        }
        let Some(sent) = self.sent().copied() else {
            return;
        };
        if sent
            .lost
            .is_some_and(|at| now >= at + self.plan.agent_timeout)
        {
            out.push(self.release(sent.dispatch));
            self.again(Ran::Maybe, Reason::OutcomeUnknown, out);
        }
    }

    fn expired(&mut self, out: &mut Actions) {
        let Some(sent) = self.sent().copied() else {
            self.refuse(Reason::DeadlinePassed, out);
            return;
        };
        out.push(self.release(sent.dispatch));
        if sent.next > 0 {
            self.abort(out);
        } else {
            self.maybe_run = true;
            self.refuse(Reason::DeadlinePassed, out);
        }
    }

    /// A non-idempotent dispatch runs on without its caller: its answer may be asked for again.
    fn caller_gone(&mut self, out: &mut Actions) {
        self.gone = true;
        match self.phase {
            Phase::Waiting => {
                self.phase = Phase::Over(Outcome::Abandoned(self.execution()));
            }
            Phase::Sent(sent) if self.plan.idempotent => {
                out.push(Action::Cancel(sent.dispatch));
                self.phase = Phase::Over(Outcome::Abandoned(Execution::Unknown));
            }
            Phase::Sent(_) | Phase::Over(_) => {}
        }
    }

    fn give_up(&mut self, reason: Reason, out: &mut Actions) {
        if self.waiting() {
            self.refuse(reason, out);
        }
    }

    /// Lets go of a dispatch; work that must not be half done is not cancelled.
    fn release(&self, id: DispatchId) -> Action {
        if self.plan.idempotent {
            Action::Cancel(id)
        } else {
            Action::Close(id)
        }
    }

    /// The answer contradicts itself.
    fn broken(&mut self, out: &mut Actions) {
        if self.sent().is_some_and(|t| t.next > 0) {
            self.abort(out);
        } else {
            self.maybe_run = true;
            self.refuse(Reason::TargetFailed, out);
        }
    }

    /// The dispatch came to nothing: try again if that can do no harm.
    fn again(&mut self, ran: Ran, reason: Reason, out: &mut Actions) {
        self.maybe_run |= ran == Ran::Maybe;
        if self.sent().is_some_and(|t| t.next > 0) {
            self.maybe_run = true;
            self.abort(out);
            return;
        }
        let harmless = ran == Ran::No || self.plan.idempotent;
        if harmless && self.plan.retries > 0 {
            self.plan.retries -= 1;
            self.requeue(out);
        } else {
            self.refuse(reason, out);
        }
    }

    fn requeue(&mut self, out: &mut Actions) {
        if self.gone {
            self.phase = Phase::Over(Outcome::Abandoned(self.execution()));
            return;
        }
        self.phase = Phase::Waiting;
        out.push(Action::Requeue);
    }

    fn abort(&mut self, out: &mut Actions) {
        out.push(Action::Abort);
        self.phase = Phase::Over(Outcome::Cut);
    }

    fn refuse(&mut self, reason: Reason, out: &mut Actions) {
        let problem = match (self.execution(), reason) {
            (Execution::NotRun, _) => Problem::not_run(503, reason),
            (Execution::Unknown, Reason::DeadlinePassed | Reason::OutcomeUnknown) => {
                Problem::unknown(504, reason)
            }
            (Execution::Unknown, _) => Problem::unknown(502, reason),
        };
        out.push(Action::Refuse(problem));
        self.phase = Phase::Over(Outcome::Refused(problem));
    }

    fn execution(&self) -> Execution {
        if self.maybe_run {
            Execution::Unknown
        } else {
            Execution::NotRun
        }
    }
}

#[cfg(test)]
mod tests;
