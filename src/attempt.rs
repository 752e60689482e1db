//! State machine of one request at an entry (router process), across all its dispatches.
//!
//! Does no I/O: takes events and returns actions. A request waits for a slot of a target and is
//! dispatched to the agent, the process beside the target. Its response is streamed to the caller
//! chunk by chunk. When the connection to the agent is lost, the entry queries the agent for the
//! dispatch's state after reconnecting. The request is refused with `not_run` only if no dispatch
//! can have started running.

mod types;

use crate::ids::{AgentKey, BootId, DispatchId};
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;
use crate::wire::{DispatchState, Finish};

pub use self::types::{
    Action, Actions, DEFAULT_AGENT_TIMEOUT, DEFAULT_RETRIES, Event, MAX_DECLINES, Outcome,
    RequestPolicy,
};

/// Whether a failed dispatch may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Executed {
    No,
    Maybe,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    agent: AgentKey,
    boot: BootId,
    dispatch: DispatchId,
    /// Number of the next expected chunk; 0 until the head has arrived.
    next_chunk: u64,
    /// Total length of the received chunks.
    bytes: u64,
    /// When the connection to the agent was lost. Reset to `None` when the agent reports the state
    /// of the dispatch.
    disconnected_at: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Waiting,
    InFlight(InFlight),
    Finished(Outcome),
}

/// State of one caller's request at an entry.
#[derive(Clone, Debug)]
pub struct Attempt {
    policy: RequestPolicy,
    phase: Phase,
    declines: u8,
    /// Whether an earlier dispatch may have run.
    maybe_run: bool,
    caller_gone: bool,
}

impl Attempt {
    /// Creates a request that waits for its first dispatch.
    pub fn new(policy: RequestPolicy) -> Self {
        Attempt {
            policy,
            phase: Phase::Waiting,
            declines: 0,
            maybe_run: false,
            caller_gone: false,
        }
    }

    /// Whether an earlier dispatch may have run.
    pub fn may_have_run(&self) -> bool {
        self.maybe_run
    }

    /// Replaces the dispatch in flight by a hedged dispatch that was already sent. Valid only for
    /// idempotent requests, and before any part of a response has arrived.
    pub fn replace_dispatch(&mut self, agent: AgentKey, boot: BootId, dispatch: DispatchId) {
        self.maybe_run = true;
        self.phase = Phase::InFlight(InFlight {
            agent,
            boot,
            dispatch,
            next_chunk: 0,
            bytes: 0,
            disconnected_at: None,
        });
    }

    /// Whether the request waits for a slot.
    pub fn waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting)
    }

    /// Returns the id of the dispatch in flight, or `None` if there is none.
    pub fn dispatch(&self) -> Option<DispatchId> {
        self.in_flight().map(|t| t.dispatch)
    }

    /// Number of the next expected chunk of the dispatch in flight; 0 if there is none.
    pub fn next_chunk(&self) -> u64 {
        self.in_flight().map_or(0, |t| t.next_chunk)
    }

    /// Returns how the request ended, or `None` while it is pending.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.phase {
            Phase::Finished(outcome) => Some(outcome),
            Phase::Waiting | Phase::InFlight(_) => None,
        }
    }

    /// Time at which the next [`Event::Tick`] is due: the deadline or the agent timeout, whichever
    /// is earlier. `None` if neither applies or the request has ended.
    pub fn next_timer(&self) -> Option<Micros> {
        if self.outcome().is_some() {
            return None;
        }
        let disconnected_at = self.in_flight().and_then(|t| t.disconnected_at);
        let expiry = disconnected_at.map(|at| at + self.policy.agent_timeout);
        self.policy.deadline.into_iter().chain(expiry).min()
    }

    /// Applies an event and returns the resulting actions. Events of a dispatch other than the one
    /// in flight are ignored.
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
            Event::State(id, state) => self.agent_reported(id, state, &mut out),
            Event::Disconnected(agent) => self.disconnected(now, agent),
            Event::Reconnected(agent, boot) => self.reconnected(now, agent, boot, &mut out),
            Event::Tick => self.tick(now, &mut out),
            Event::CallerGone => self.handle_caller_gone(&mut out),
            Event::GiveUp(reason) => self.give_up(reason, &mut out),
        }
        out
    }

    fn in_flight(&self) -> Option<&InFlight> {
        match &self.phase {
            Phase::InFlight(current) => Some(current),
            Phase::Waiting | Phase::Finished(_) => None,
        }
    }

    /// Returns the dispatch in flight if its id is `id`, else `None`.
    fn current(&self, id: DispatchId) -> Option<InFlight> {
        self.in_flight().copied().filter(|t| t.dispatch == id)
    }

    /// Like [`Self::current`], but `None` while the agent is disconnected or has not yet reported
    /// the state of the dispatch.
    fn live(&self, id: DispatchId) -> Option<InFlight> {
        self.current(id).filter(|t| t.disconnected_at.is_none())
    }

    fn dispatched(&mut self, agent: AgentKey, boot: BootId, id: DispatchId, out: &mut Actions) {
        if !self.waiting() {
            out.push(Action::Cancel(id));
            return;
        }
        self.phase = Phase::InFlight(InFlight {
            agent,
            boot,
            dispatch: id,
            next_chunk: 0,
            bytes: 0,
            disconnected_at: None,
        });
    }

    fn declined(&mut self, id: DispatchId, out: &mut Actions) {
        let Some(current) = self.live(id) else { return };
        out.push(Action::Close(id));
        if current.next_chunk > 0 {
            self.abort(out);
        } else if self.declines < MAX_DECLINES {
            self.declines += 1;
            self.requeue(out);
        } else {
            self.retry_or_refuse(Executed::No, Reason::NoCapacity, out);
        }
    }

    fn received(&mut self, id: DispatchId, seq: u64, len: usize, out: &mut Actions) {
        let Some(mut current) = self.live(id) else {
            return;
        };
        if seq < current.next_chunk {
            return;
        }
        if seq > current.next_chunk {
            out.push(Action::Cancel(id));
            self.invalid_response(out);
            return;
        }
        current.next_chunk += 1;
        current.bytes += len as u64;
        self.phase = Phase::InFlight(current);
        out.push(Action::Deliver);
    }

    fn ended(&mut self, id: DispatchId, finish: Finish, size: (u64, u64), out: &mut Actions) {
        let Some(current) = self.live(id) else { return };
        out.push(Action::Settle(id));
        let is_complete = current.next_chunk > 0 && size == (current.next_chunk - 1, current.bytes);
        match finish {
            Finish::Whole if is_complete => {
                out.push(Action::Complete);
                self.phase = Phase::Finished(Outcome::Whole);
            }
            Finish::Whole => self.invalid_response(out),
            Finish::Unreached if current.next_chunk == 0 => {
                self.retry_or_refuse(Executed::No, Reason::NoCapacity, out)
            }
            Finish::Unreached => self.invalid_response(out),
            Finish::Crashed | Finish::Cut => {
                out.push(Action::RecordCrash);
                self.retry_or_refuse(Executed::Maybe, Reason::TargetFailed, out);
            }
            Finish::Cancelled if current.next_chunk > 0 => self.abort(out),
            Finish::Cancelled => {
                self.maybe_run = true;
                self.refuse(Reason::DeadlinePassed, out);
            }
        }
    }

    fn agent_reported(&mut self, id: DispatchId, state: DispatchState, out: &mut Actions) {
        let Some(mut current) = self.current(id) else {
            return;
        };
        match state {
            DispatchState::Running | DispatchState::Done => {
                current.disconnected_at = None;
                self.phase = Phase::InFlight(current);
            }
            DispatchState::NeverSeen => {
                out.push(Action::Close(id));
                self.retry_or_refuse(Executed::No, Reason::NoCapacity, out);
            }
            DispatchState::Forgotten => {
                out.push(Action::Settle(id));
                self.retry_or_refuse(Executed::Maybe, Reason::OutcomeUnknown, out);
            }
        }
    }

    fn disconnected(&mut self, now: Micros, agent: AgentKey) {
        if let Phase::InFlight(current) = &mut self.phase
            && current.agent == agent
        {
            current.disconnected_at.get_or_insert(now);
        }
    }

    fn reconnected(&mut self, now: Micros, agent: AgentKey, boot: BootId, out: &mut Actions) {
        self.disconnected(now, agent);
        let Some(current) = self.in_flight().copied() else {
            return;
        };
        if current.agent != agent {
            return;
        }
        if current.boot == boot {
            out.push(Action::Query {
                dispatch: current.dispatch,
                next: current.next_chunk,
            });
        } else {
            out.push(Action::Close(current.dispatch));
            self.retry_or_refuse(Executed::Maybe, Reason::OutcomeUnknown, out);
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Actions) {
        if self.outcome().is_some() {
            return;
        }
        if self.policy.deadline.is_some_and(|at| now >= at) {
            self.expired(out);
            return;
        }
        let Some(current) = self.in_flight().copied() else {
            return;
        };
        if current
            .disconnected_at
            .is_some_and(|at| now >= at + self.policy.agent_timeout)
        {
            out.push(self.abandon(current.dispatch));
            self.retry_or_refuse(Executed::Maybe, Reason::OutcomeUnknown, out);
        }
    }

    fn expired(&mut self, out: &mut Actions) {
        let Some(current) = self.in_flight().copied() else {
            self.refuse(Reason::DeadlinePassed, out);
            return;
        };
        out.push(self.abandon(current.dispatch));
        if current.next_chunk > 0 {
            self.abort(out);
        } else {
            self.maybe_run = true;
            self.refuse(Reason::DeadlinePassed, out);
        }
    }

    /// Handles a disconnected caller. A non-idempotent dispatch keeps running, because a repeated
    /// request with the same idempotency key may still fetch its response.
    fn handle_caller_gone(&mut self, out: &mut Actions) {
        self.caller_gone = true;
        match self.phase {
            Phase::Waiting => {
                self.phase = Phase::Finished(Outcome::Abandoned(self.execution()));
            }
            Phase::InFlight(current) if self.policy.idempotent => {
                out.push(Action::Cancel(current.dispatch));
                self.phase = Phase::Finished(Outcome::Abandoned(Execution::Unknown));
            }
            Phase::InFlight(_) | Phase::Finished(_) => {}
        }
    }

    fn give_up(&mut self, reason: Reason, out: &mut Actions) {
        if self.waiting() {
            self.refuse(reason, out);
        }
    }

    /// Returns the action that abandons a dispatch. A non-idempotent one is closed but not
    /// cancelled, so that it is not left half done.
    fn abandon(&self, id: DispatchId) -> Action {
        if self.policy.idempotent {
            Action::Cancel(id)
        } else {
            Action::Close(id)
        }
    }

    /// Handles an inconsistent response, such as one with a missing chunk or a wrong length.
    fn invalid_response(&mut self, out: &mut Actions) {
        if self.in_flight().is_some_and(|t| t.next_chunk > 0) {
            self.abort(out);
        } else {
            self.maybe_run = true;
            self.refuse(Reason::TargetFailed, out);
        }
    }

    /// Handles a failed dispatch: aborts a response that has already begun, else retries if that
    /// cannot run a non-idempotent request twice, else refuses the request.
    fn retry_or_refuse(&mut self, executed: Executed, reason: Reason, out: &mut Actions) {
        self.maybe_run |= executed == Executed::Maybe;
        if self.in_flight().is_some_and(|t| t.next_chunk > 0) {
            self.maybe_run = true;
            self.abort(out);
            return;
        }
        let retryable = executed == Executed::No || self.policy.idempotent;
        if retryable && self.policy.retries > 0 {
            self.policy.retries -= 1;
            self.requeue(out);
        } else {
            self.refuse(reason, out);
        }
    }

    fn requeue(&mut self, out: &mut Actions) {
        if self.caller_gone {
            self.phase = Phase::Finished(Outcome::Abandoned(self.execution()));
            return;
        }
        self.phase = Phase::Waiting;
        out.push(Action::Requeue);
    }

    fn abort(&mut self, out: &mut Actions) {
        out.push(Action::Abort);
        self.phase = Phase::Finished(Outcome::Cut);
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
        self.phase = Phase::Finished(Outcome::Refused(problem));
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
