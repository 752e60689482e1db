//! What an attempt is told, what it answers, and its limits.

use smallvec::SmallVec;

use crate::ids::{AgentKey, BootId, DispatchId};
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;
use crate::wire::{DispatchState, Finish};

/// Dispatches of one request beyond the first, unless set otherwise.
pub const DEFAULT_RETRIES: u8 = 2;
/// Declined dispatches of one request that cost no retry.
pub const MAX_DECLINES: u8 = 32;
/// How long an agent may stay away before its dispatches are given up, unless set otherwise.
pub const DEFAULT_AGENT_TIMEOUT: Micros = Micros::from_secs(10);

/// What the decisions need to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestPolicy {
    pub(super) idempotent: bool,
    pub(super) retries: u8,
    pub(super) agent_timeout: Micros,
    pub(super) deadline: Option<Micros>,
}

impl RequestPolicy {
    /// A plan with the default limits and no deadline.
    pub const fn new(idempotent: bool) -> Self {
        RequestPolicy {
            idempotent,
            retries: DEFAULT_RETRIES,
            agent_timeout: DEFAULT_AGENT_TIMEOUT,
            deadline: None,
        }
    }

    /// Sets how many dispatches there may be beyond the first.
    pub const fn retries(mut self, retries: u8) -> Self {
        self.retries = retries;
        self
    }

    /// Sets how long an agent may stay away before its dispatch is given up.
    pub const fn agent_timeout(mut self, agent_timeout: Micros) -> Self {
        self.agent_timeout = agent_timeout;
        self
    }

    /// Sets the moment after which the caller wants no answer.
    pub const fn deadline(mut self, deadline: Option<Micros>) -> Self {
        self.deadline = deadline;
        self
    }
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was sent to an agent.
    Dispatched {
        /// The agent.
        agent: AgentKey,
        /// The agent's run.
        boot: BootId,
        /// This sending.
        dispatch: DispatchId,
    },
    /// [`crate::wire::ToEntry::Decline`] came.
    Declined(DispatchId),
    /// [`crate::wire::ToEntry::Head`] came.
    Head(DispatchId),
    /// [`crate::wire::ToEntry::Chunk`] came.
    Chunk {
        /// The sending that it answers.
        dispatch: DispatchId,
        /// Its number, from 1.
        seq: u64,
        /// Its length in bytes.
        len: usize,
    },
    /// [`crate::wire::ToEntry::End`] came.
    End {
        /// The sending that it answers.
        dispatch: DispatchId,
        /// How the answer ended.
        finish: Finish,
        /// Number of chunks, the head not counted.
        chunks: u64,
        /// Length of all chunks.
        bytes: u64,
    },
    /// [`crate::wire::ToEntry::State`] came.
    State(DispatchId, DispatchState),
    /// The connection to an agent was lost.
    Disconnected(AgentKey),
    /// An agent is connected anew, in this run.
    Reconnected(AgentKey, BootId),
    /// Time has passed.
    Tick,
    /// The caller went away.
    CallerGone,
    /// The entry takes the waiting request no further.
    GiveUp(Reason),
}

/// What the entry must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send [`crate::wire::ToAgent::Query`].
    Ask {
        /// The sending in question.
        dispatch: DispatchId,
        /// The first chunk that is missing.
        next: u64,
    },
    /// Put the request back at the head of its queue.
    Requeue,
    /// Answer the caller with a refusal. The request is over.
    Refuse(Problem),
    /// Pass the event's head or chunk on to the caller.
    Deliver,
    /// End the caller's answer: it is whole. The request is over.
    Complete,
    /// Break the caller's answer off so that it cannot pass as whole. The request is over.
    Abort,
    /// Send [`crate::wire::ToAgent::Cancel`] if the agent is connected, and close the dispatch.
    Cancel(DispatchId),
    /// Send [`crate::wire::ToAgent::Settled`] if the agent is connected, and close the dispatch.
    Settle(DispatchId),
    /// Close the dispatch: it is nothing to the request any more.
    Close(DispatchId),
    /// Count a crash of the request's digest.
    Crash,
}

/// Actions to take, in order.
pub type Actions = SmallVec<[Action; 4]>;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed on.
    Whole,
    /// The answer broke off after its head was passed on.
    Cut,
    /// It was refused.
    Refused(Problem),
    /// The caller went away first.
    Abandoned(Execution),
}

impl Outcome {
    /// Whether it is certain that the request was not run and will not be.
    pub fn not_run(self) -> bool {
        match self {
            Outcome::Whole | Outcome::Cut => false,
            Outcome::Refused(problem) => problem.execution == Execution::NotRun,
            Outcome::Abandoned(execution) => execution == Execution::NotRun,
        }
    }
}
