//! Keeps requests that crash their targets from crashing more.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;

use crate::claim::Digest;
use crate::entry::request::Request;
use crate::problem::{Problem, Reason};
use crate::quarantine::{Admission, EventKind, Quarantine, QuarantineEvent};
use crate::units::{Clock, Micros};

/// The quarantine as this entry knows it. Clones share it.
#[derive(Clone, Debug)]
pub struct SharedQuarantine {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    clock: Clock,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    /// Sightings that peers have not been told.
    news: Vec<QuarantineEvent>,
}

/// The one further try of a request that crashed a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    digest: Digest,
    id: u64,
}

impl SharedQuarantine {
    /// Nothing has crashed yet.
    pub fn new(clock: Clock) -> Self {
        SharedQuarantine {
            state: Arc::default(),
            changed: Arc::default(),
            clock,
        }
    }

    /// Whether a request may be dispatched, and as which trial.
    ///
    /// # Errors
    /// A problem while it is held back.
    pub fn admit(&self, request: &Request) -> Result<Option<Trial>, Problem> {
        let mut state = self.lock();
        if state.quarantine.is_empty() {
            return Ok(None);
        }
        let (digest, id) = (request.digest(), rand::random());
        match state.quarantine.admit(self.clock.now(), digest, id) {
            Admission::Free => Ok(None),
            Admission::Trial => {
                self.tell(&mut state, digest, id, EventKind::Trial);
                Ok(Some(Trial { digest, id }))
            }
            Admission::Refused(wait) => {
                let problem = Problem::not_run(503, Reason::Quarantined);
                Err(problem.retry_after(Duration::from(wait)))
            }
        }
    }

    /// The request crashed a target.
    pub fn crashed(&self, request: &Request) {
        let (digest, id) = (request.digest(), rand::random());
        let mut state = self.lock();
        state.quarantine.record_crash(self.clock.now(), digest, id);
        self.tell(&mut state, digest, id, EventKind::Crash);
    }

    /// Has peers told of what was seen just now.
    fn tell(&self, state: &mut State, digest: Digest, id: u64, kind: EventKind) {
        state.news.push(QuarantineEvent {
            digest,
            id,
            kind,
            age: Micros::ZERO,
        });
        self.changed.notify_one();
    }

    /// A trial is over.
    pub fn over(&self, trial: Trial) {
        self.lock()
            .quarantine
            .end_trial(self.clock.now(), trial.digest, trial.id);
    }

    /// Takes a peer's sightings in.
    pub fn merge(&self, sightings: &[QuarantineEvent]) {
        let now = self.clock.now();
        let mut state = self.lock();
        sightings
            .iter()
            .for_each(|s| state.quarantine.merge(now, s));
    }

    /// Waits until there may be news.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// What was seen here since the last call.
    pub fn news(&self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.lock().news)
    }

    /// All sightings that still count, for peers that may have missed some.
    pub fn all(&self) -> Vec<QuarantineEvent> {
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
