//! Events, actions, outcomes and limits of an attempt.

use smallvec::SmallVec;

use crate::ids::{AgentKey, BootId, DispatchId};
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;
use crate::wire::{DispatchState, Finish};

/// Default maximum number of dispatches of a request beyond the first.
pub const DEFAULT_RETRIES: u8 = 2;
/// Maximum number of declined dispatches of a request that do not count as retries.
pub const MAX_DECLINES: u8 = 32;
/// Default time for which an agent may be disconnected before its dispatches are abandoned.
pub const DEFAULT_AGENT_TIMEOUT: Micros = Micros::from_secs(10);

/// Idempotence, retry limit and time limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestPolicy {
    pub(super) idempotent: bool,
    pub(super) retries: u8,
    pub(super) agent_timeout: Micros,
    pub(super) deadline: Option<Micros>,
}

impl RequestPolicy {
    /// Creates a policy with the default limits and no deadline.
    pub const fn new(idempotent: bool) -> Self {
        RequestPolicy {
            idempotent,
            retries: DEFAULT_RETRIES,
            agent_timeout: DEFAULT_AGENT_TIMEOUT,
            deadline: None,
        }
    }

    /// Sets the maximum number of dispatches beyond the first.
    pub const fn retries(mut self, retries: u8) -> Self {
        self.retries = retries;
        self
    }

    /// Sets how long an agent may be disconnected before its dispatch is abandoned.
    pub const fn agent_timeout(mut self, agent_timeout: Micros) -> Self {
        self.agent_timeout = agent_timeout;
        self
    }

    /// Sets the time after which the caller no longer needs a response; `None` for no limit.
    pub const fn deadline(mut self, deadline: Option<Micros>) -> Self {
        self.deadline = deadline;
        self
    }
}

/// An event that concerns a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was sent to an agent.
    Dispatched {
        /// Agent that it was sent to.
        agent: AgentKey,
        /// The agent's process instance.
        boot: BootId,
        /// Id of the dispatch.
        dispatch: DispatchId,
    },
    /// [`crate::wire::ToEntry::Decline`] was received.
    Declined(DispatchId),
    /// [`crate::wire::ToEntry::Head`] was received.
    Head(DispatchId),
    /// [`crate::wire::ToEntry::Chunk`] was received.
    Chunk {
        /// Dispatch that the frame belongs to.
        dispatch: DispatchId,
        /// Chunk number, from 1.
        seq: u64,
        /// Chunk length in bytes.
        len: usize,
    },
    /// [`crate::wire::ToEntry::End`] was received.
    End {
        /// Dispatch that the frame belongs to.
        dispatch: DispatchId,
        /// How the response ended.
        finish: Finish,
        /// Number of chunks, the head not counted.
        chunks: u64,
        /// Total length of the chunks in bytes.
        bytes: u64,
    },
    /// [`crate::wire::ToEntry::State`] was received.
    State(DispatchId, DispatchState),
    /// The connection to an agent was lost.
    Disconnected(AgentKey),
    /// An agent has a new connection, from the given process instance.
    Reconnected(AgentKey, BootId),
    /// A timer is due, see [`super::Attempt::next_timer`].
    Tick,
    /// The caller has disconnected.
    CallerGone,
    /// The entry refuses the request while it waits for a slot.
    GiveUp(Reason),
}

/// An action that the entry must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send [`crate::wire::ToAgent::Query`].
    Query {
        /// Dispatch to query.
        dispatch: DispatchId,
        /// Number of the next expected chunk.
        next: u64,
    },
    /// Put the request back at the front of its queue.
    Requeue,
    /// Send an error response to the caller. Ends the request.
    Refuse(Problem),
    /// Forward the event's head or chunk to the caller.
    Deliver,
    /// Finish the caller's response, which is complete. Ends the request.
    Complete,
    /// Abort the caller's response so that it cannot be taken for a complete one. Ends the request.
    Abort,
    /// Send [`crate::wire::ToAgent::Cancel`] if the agent is connected, and close the dispatch.
    Cancel(DispatchId),
    /// Send [`crate::wire::ToAgent::Settled`] if the agent is connected, and close the dispatch.
    Settle(DispatchId),
    /// Close the dispatch: the request no longer depends on it.
    Close(DispatchId),
    /// Record a crash for the request's digest.
    RecordCrash,
}

/// Actions, in the order in which to take them.
pub type Actions = SmallVec<[Action; 4]>;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was forwarded.
    Whole,
    /// The response was aborted after its head was forwarded.
    Cut,
    /// The request was refused.
    Refused(Problem),
    /// The caller disconnected before the request ended.
    Abandoned(Execution),
}

impl Outcome {
    /// Whether the request certainly has not run and never will.
    pub fn not_run(self) -> bool {
        match self {
            Outcome::Whole | Outcome::Cut => false,
            Outcome::Refused(problem) => problem.execution == Execution::NotRun,
            Outcome::Abandoned(execution) => execution == Execution::NotRun,
        }
    }
}
