//! What became of the latest requests, for operators who ask why.

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

/// Requests that are remembered, the latest ones.
pub const MAX_REQUESTS: usize = 4_096;
/// Steps of a request that are remembered: the first ones, and in the last place the last one.
pub const MAX_STEPS: usize = 32;
/// Bytes of a step in memory, at most.
pub const STEP_BYTES: usize = 64;
/// Bytes of all steps in memory, at most.
pub const MAX_BYTES: usize = MAX_REQUESTS * MAX_STEPS * STEP_BYTES;

/// Something that happened to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// It waits: no slot was free, or others were before it.
    Queued {
        /// Requests of the service that wait here, this one included.
        waiting: u32,
        /// Service level of its client account.
        level: Micros,
        /// Least service level among the client accounts that wait here.
        least: Micros,
    },
    /// It was sent to the agent of a target.
    Sent {
        /// Address of the target.
        host: SocketAddr,
    },
    /// A second copy was sent to the agent of another target.
    Hedged {
        /// Address of the target.
        host: SocketAddr,
    },
    /// The agent did not begin it.
    Declined,
    /// The connection to the agent was lost.
    Disconnected,
    /// The agent is back.
    Reconnected,
    /// The agent was asked what became of it, and for the answer from this chunk on.
    ResumeRequested {
        /// The first chunk that is missing.
        next: u64,
    },
    /// What the agent knows.
    AgentState(DispatchState),
    /// The target's answer began.
    Answered {
        /// Its HTTP status.
        status: u16,
    },
    /// The target's answer ended.
    Finished {
        /// How.
        finish: Finish,
        /// Slot time that it took.
        spent: Micros,
    },
    /// It counts as having crashed its target.
    Crashed,
    /// It waits again, not having run, or to be run again.
    Requeued,
    /// The client account was charged for it.
    Charged {
        /// Slot time.
        spent: Micros,
    },
    /// It is over.
    Ended(Outcome),
}

/// Events that are steps.
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
            // The dispatcher notes what it sends, and the end says why a claim was of no use.
            RequestEvent::Dispatched { .. }
            | RequestEvent::Hedged { .. }
            | RequestEvent::ClaimExpired => Err(()),
            RequestEvent::Chunk { .. } => Err(()),
        }
    }
}

/// A request with its steps, each with its time.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request.
    pub id: RequestId,
    /// Its client account.
    pub account: AccountKey,
    /// Its service.
    pub service: ServiceKey,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// When it arrived.
    pub arrived: Micros,
    /// What happened to it.
    pub steps: Vec<(Micros, Step)>,
}

#[derive(Debug, Default)]
struct Ring {
    records: Vec<RequestRecord>,
    by_id: HashMap<RequestId, usize>,
    next: usize,
}

/// The latest requests. Clones share them.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    ring: Arc<Mutex<Ring>>,
    clock: Clock,
}

impl RequestHistory {
    /// No requests yet.
    pub fn new(clock: Clock) -> Self {
        RequestHistory {
            ring: Arc::default(),
            clock,
        }
    }

    /// A request arrives. The oldest is forgotten when there are many.
    pub fn start(&self, request: &Request) {
        self.lock().put(RequestRecord {
            id: request.id,
            account: request.account,
            service: request.service,
            idempotent: request.idempotent,
            arrived: self.clock.now(),
            steps: Vec::new(),
        });
    }

    /// Something happens to a request.
    pub fn record(&self, id: RequestId, step: Step) {
        let now = self.clock.now();
        let mut ring = self.lock();
        let Some(&at) = ring.by_id.get(&id) else {
            return;
        };
        let steps = &mut ring.records[at].steps;
        if steps.len() == MAX_STEPS {
            steps.pop();
        }
        steps.push((now, step));
    }

    /// What is remembered of a request.
    pub fn find(&self, id: RequestId) -> Option<RequestRecord> {
        let ring = self.lock();
        let &at = ring.by_id.get(&id)?;
        Some(ring.records[at].clone())
    }

    /// The time now, as in the records.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().expect("no holder of the history panics")
    }
}

impl Ring {
    fn put(&mut self, record: RequestRecord) {
        let id = record.id;
        let at = self.next;
        if at == self.records.len() {
            self.records.push(record);
        } else {
            let old = std::mem::replace(&mut self.records[at], record);
            self.by_id.remove(&old.id);
        }
        self.by_id.insert(id, at);
        self.next = (at + 1) % MAX_REQUESTS;
    }
}

#[cfg(test)]
mod tests;
