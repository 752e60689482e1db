//! What became of the latest requests, for operators who ask why.

pub mod page;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::attempt::Outcome;
use crate::entry::request::Request;
use crate::entry::routes::Event;
use crate::ids::{AccountKey, RequestId, ServiceKey};
use crate::units::{Clock, Micros};
use crate::wire::{Finish, Known};

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
    Lost,
    /// The agent is back.
    Back,
    /// The agent was asked what became of it, and for the answer from this chunk on.
    Asked {
        /// The first chunk that is missing.
        next: u64,
    },
    /// What the agent knows.
    Told(Known),
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
    Returned,
    /// The client account was charged for it.
    Charged {
        /// Slot time.
        spent: Micros,
    },
    /// It is over.
    Over(Outcome),
}

/// Events that are steps.
impl TryFrom<&Event> for Step {
    type Error = ();

    fn try_from(event: &Event) -> Result<Self, ()> {
        match *event {
            Event::Lost { .. } => Ok(Step::Lost),
            Event::Back { .. } => Ok(Step::Back),
            Event::Declined { .. } => Ok(Step::Declined),
            Event::Head { status, .. } => Ok(Step::Answered { status }),
            Event::End { finish, spent, .. } => Ok(Step::Finished { finish, spent }),
            Event::State { known, .. } => Ok(Step::Told(known)),
            // The dispatcher notes what it sends, and the end says why a claim was of no use.
            Event::Sent { .. } | Event::Hedged { .. } | Event::Expired => Err(()),
            Event::Chunk { .. } => Err(()),
        }
    }
}

/// A request with its steps, each with its time.
#[derive(Clone, Debug)]
pub struct Record {
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
    records: Vec<Record>,
    by_id: HashMap<RequestId, usize>,
    next: usize,
}

/// The latest requests. Clones share them.
#[derive(Clone, Debug)]
pub struct Trail {
    ring: Arc<Mutex<Ring>>,
    clock: Clock,
}

impl Trail {
    /// No requests yet.
    pub fn new(clock: Clock) -> Self {
        Trail {
            ring: Arc::default(),
            clock,
        }
    }

    /// A request arrives. The oldest is forgotten when there are many.
    pub fn begin(&self, request: &Request) {
        self.lock().put(Record {
            id: request.id,
            account: request.account,
            service: request.service,
            idempotent: request.idempotent,
            arrived: self.clock.now(),
            steps: Vec::new(),
        });
    }

    /// Something happens to a request.
    pub fn note(&self, id: RequestId, step: Step) {
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
    pub fn find(&self, id: RequestId) -> Option<Record> {
        let ring = self.lock();
        let &at = ring.by_id.get(&id)?;
        Some(ring.records[at].clone())
    }

    /// The time now, as in the records.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().expect("no holder of the trail panics")
    }
}

impl Ring {
    fn put(&mut self, record: Record) {
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
