//! The entry's quarantine of requests that crash their targets, shared by the entry's tasks.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;

use crate::claim::Digest;
use crate::entry::request::Request;
use crate::problem::{Problem, Reason};
use crate::quarantine::{Admission, EventKind, Quarantine, QuarantineEvent};
use crate::units::{Clock, Micros};

/// The entry's copy of the fleet's quarantine. Clones share the state.
#[derive(Clone, Debug)]
pub struct SharedQuarantine {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    clock: Clock,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    /// Events that have not been sent to the other entries.
    unsent: Vec<QuarantineEvent>,
}

/// The single further attempt that a request gets after its first crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    digest: Digest,
    id: u64,
}

impl SharedQuarantine {
    /// Creates an empty quarantine.
    pub fn new(clock: Clock) -> Self {
        SharedQuarantine {
            state: Arc::default(),
            changed: Arc::default(),
            clock,
        }
    }

    /// Admits a request for dispatch. Returns a trial if it has crashed a target before.
    ///
    /// # Errors
    /// Returns a problem with a retry delay while the request is quarantined.
    pub fn admit(&self, request: &Request) -> Result<Option<Trial>, Problem> {
        let mut state = self.lock();
        if state.quarantine.is_empty() {
            return Ok(None);
        }
        let (digest, id) = (request.digest(), rand::random());
        match state.quarantine.admit(self.clock.now(), digest, id) {
            Admission::Free => Ok(None),
            Admission::Trial => {
                self.queue_event(&mut state, digest, id, EventKind::Trial);
                Ok(Some(Trial { digest, id }))
            }
            Admission::Refused(wait) => {
                let problem = Problem::not_run(503, Reason::Quarantined);
                Err(problem.retry_after(Duration::from(wait)))
            }
        }
    }

    /// Records that a request crashed its target.
    pub fn record_crash(&self, request: &Request) {
        let (digest, id) = (request.digest(), rand::random());
        let mut state = self.lock();
        state.quarantine.record_crash(self.clock.now(), digest, id);
        self.queue_event(&mut state, digest, id, EventKind::Crash);
    }

    /// Queues a new event for the other entries.
    fn queue_event(&self, state: &mut State, digest: Digest, id: u64, kind: EventKind) {
        state.unsent.push(QuarantineEvent {
            digest,
            id,
            kind,
            age: Micros::ZERO,
        });
        self.changed.notify_one();
    }

    /// Ends a trial, whether its request crashed the target or not.
    pub fn end_trial(&self, trial: Trial) {
        self.lock()
            .quarantine
            .end_trial(self.clock.now(), trial.digest, trial.id);
    }

    /// Merges events of another entry.
    pub fn merge(&self, events: &[QuarantineEvent]) {
        let now = self.clock.now();
        let mut state = self.lock();
        events.iter().for_each(|e| state.quarantine.merge(now, e));
    }

    /// Waits until there may be unsent events.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns this entry's events since the last call.
    pub fn take_unsent(&self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Returns all events that have not expired, for entries that may have missed some.
    pub fn active_events(&self) -> Vec<QuarantineEvent> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.quarantine.expire(now);
        state.quarantine.events(now).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no holder of the quarantine panics")
    }
}
