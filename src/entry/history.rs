//! Records the steps of the latest requests, for `/explain`.

pub mod explain;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::attempt::Outcome;
use crate::entry::request::Request;
use crate::entry::routes::RequestEvent;
use crate::ids::{AccountKey, RequestId, ServiceKey};
use crate::units::{Clock, Micros};
use crate::wire::{DispatchState, Finish};

/// Maximum number of requests kept; the oldest is overwritten.
pub const MAX_REQUESTS: usize = 4_096;
/// Maximum number of steps per request. Further steps overwrite the last one.
pub const MAX_STEPS: usize = 32;
/// Maximum size of a step in memory, in bytes.
pub const STEP_BYTES: usize = 64;
/// Maximum size of all steps in memory, in bytes.
pub const MAX_BYTES: usize = MAX_REQUESTS * MAX_STEPS * STEP_BYTES;

/// A step in the life of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The request was queued: no slot was free, or other requests were ahead of it.
    Queued {
        /// Requests queued for the service at this entry, including this one.
        waiting: u32,
        /// Service level of its client account.
        level: Micros,
        /// Lowest service level among the client accounts with queued requests.
        least: Micros,
    },
    /// The request was dispatched to the agent of a target.
    Sent {
        /// Address of the target.
        host: SocketAddr,
    },
    /// A hedge was dispatched to the agent of another target.
    Hedged {
        /// Address of the target.
        host: SocketAddr,
    },
    /// The agent declined the dispatch without running it.
    Declined,
    /// The connection to the agent closed.
    Disconnected,
    /// The agent reconnected.
    Reconnected,
    /// The agent was asked for the state of the dispatch, and to resume the response.
    ResumeRequested {
        /// Number of the first missing chunk.
        next: u64,
    },
    /// The agent reported the state of the dispatch.
    AgentState(DispatchState),
    /// The target's response started.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The target's response ended.
    Finished {
        /// How it ended.
        finish: Finish,
        /// Slot time used.
        spent: Micros,
    },
    /// The request was recorded as having crashed its target.
    Crashed,
    /// The request was requeued, either because it did not run or for a retry.
    Requeued,
    /// The client account was charged for the request.
    Charged {
        /// Slot time charged.
        spent: Micros,
    },
    /// The request has finished.
    Ended(Outcome),
}

/// Converts events that are recorded as steps.
impl TryFrom<&RequestEvent> for Step {
    type Error = ();

    fn try_from(event: &RequestEvent) -> Result<Self, ()> {
        match *event {
            RequestEvent::Disconnected { .. } => Ok(Step::Disconnected),
            RequestEvent::Reconnected { .. } => Ok(Step::Reconnected),
            RequestEvent::Declined { .. } => Ok(Step::Declined),
            RequestEvent::Head { status, .. } => Ok(Step::Answered { status }),
            RequestEvent::End { finish, spent, .. } => Ok(Step::Finished { finish, spent }),
            RequestEvent::State { state, .. } => Ok(Step::AgentState(state)),
            // The dispatcher records dispatches; the outcome reports an expired claim.
            RequestEvent::Dispatched { .. }
            | RequestEvent::Hedged { .. }
            | RequestEvent::ClaimExpired => Err(()),
            RequestEvent::Chunk { .. } => Err(()),
        }
    }
}

/// A request and its steps.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request id.
    pub id: RequestId,
    /// Client account of the request.
    pub account: AccountKey,
    /// Service of the request.
    pub service: ServiceKey,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time of arrival.
    pub arrived: Micros,
    /// Steps with their times.
    pub steps: Vec<(Micros, Step)>,
}

#[derive(Debug, Default)]
struct Ring {
    records: Vec<RequestRecord>,
    by_id: HashMap<RequestId, usize>,
    next: usize,
}

/// The latest requests in a ring buffer. Clones share the buffer.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    ring: Arc<Mutex<Ring>>,
    clock: Clock,
}

impl RequestHistory {
    /// Creates an empty history.
    pub fn new(clock: Clock) -> Self {
        RequestHistory {
            ring: Arc::default(),
            clock,
        }
    }

    /// Starts the record of a request. If the history is full, the oldest record is overwritten.
    pub fn start(&self, request: &Request) {
        self.lock().push(RequestRecord {
            id: request.id,
            account: request.account,
            service: request.service,
            idempotent: request.idempotent,
            arrived: self.clock.now(),
            steps: Vec::new(),
        });
    }

    /// Adds a step to the record of a request. Does nothing if the request has no record.
    pub fn record(&self, id: RequestId, step: Step) {
        let now = self.clock.now();
        let mut ring = self.lock();
        let Some(&index) = ring.by_id.get(&id) else {
            return;
        };
        let steps = &mut ring.records[index].steps;
        if steps.len() == MAX_STEPS {
            steps.pop();
        }
        steps.push((now, step));
    }

    /// Returns the record of a request, or `None` if there is none.
    pub fn find(&self, id: RequestId) -> Option<RequestRecord> {
        let ring = self.lock();
        let &index = ring.by_id.get(&id)?;
        Some(ring.records[index].clone())
    }

    /// Returns the current time on the clock of the records.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().expect("no holder of the history panics")
    }
}

impl Ring {
    fn push(&mut self, record: RequestRecord) {
        let id = record.id;
        let index = self.next;
        if index == self.records.len() {
            self.records.push(record);
        } else {
            let old = std::mem::replace(&mut self.records[index], record);
            self.by_id.remove(&old.id);
        }
        self.by_id.insert(id, index);
        self.next = (index + 1) % MAX_REQUESTS;
    }
}

#[cfg(test)]
mod tests;
