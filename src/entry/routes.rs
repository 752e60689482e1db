//! Where the frames about each dispatch go.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::conn::Outbox;
use crate::ids::{AgentKey, BootId, DispatchId, JobKey};
use crate::units::Micros;
use crate::wire::{DispatchState, Finish, Header};

/// Events that a request's task can hold before its connection is given up.
pub const EVENT_CAPACITY: usize = 2048;

/// Something that concerns one request.
#[derive(Debug)]
pub enum RequestEvent {
    /// It was sent to an agent.
    Dispatched {
        dispatch: DispatchId,
        agent: AgentKey,
        boot: BootId,
        outbox: Outbox,
    },
    /// A second copy was sent to another agent.
    Hedged {
        dispatch: DispatchId,
        agent: AgentKey,
        boot: BootId,
        outbox: Outbox,
    },
    /// Its claim is too old to be dispatched.
    ClaimExpired,
    /// The connection to the agent of its dispatch was lost.
    Disconnected { agent: AgentKey },
    /// The agent is back on a new connection; `boot` differs when it was restarted.
    Reconnected {
        agent: AgentKey,
        boot: BootId,
        outbox: Outbox,
    },
    /// The agent did not begin the dispatch.
    Declined { dispatch: DispatchId },
    /// The answer's status and headers.
    Head {
        dispatch: DispatchId,
        status: u16,
        headers: Vec<Header>,
    },
    /// A piece of the answer's body.
    Chunk {
        dispatch: DispatchId,
        seq: u64,
        data: Bytes,
    },
    /// The answer's end.
    End {
        dispatch: DispatchId,
        finish: Finish,
        chunks: u64,
        bytes: u64,
        spent: Micros,
    },
    /// What the agent knows.
    State {
        dispatch: DispatchId,
        state: DispatchState,
    },
}

/// A request's task, as others reach it.
#[derive(Clone, Debug)]
pub struct Route {
    /// The request.
    pub job: JobKey,
    /// Its task.
    pub events: mpsc::Sender<RequestEvent>,
}

/// The routes of all dispatches in flight, shared by the agents' connections.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    map: Arc<Mutex<HashMap<DispatchId, Route>>>,
    floor: Arc<AtomicU64>,
}

impl Routes {
    /// Adds a route.
    pub fn insert(&self, id: DispatchId, route: Route) {
        self.lock().insert(id, route);
    }

    /// Removes a route.
    pub fn remove(&self, id: DispatchId) {
        self.lock().remove(&id);
    }

    /// No open dispatch of this entry has a lower `seq`.
    pub fn floor(&self) -> u64 {
        self.floor.load(Ordering::Acquire)
    }

    /// Sets the floor; only the dispatcher does.
    pub fn set_floor(&self, floor: u64) {
        self.floor.store(floor, Ordering::Release);
    }

    /// The route of a dispatch.
    pub fn get(&self, id: DispatchId) -> Option<Route> {
        self.lock().get(&id).cloned()
    }

    /// Passes an event on. `false`: the request's task cannot take it.
    pub fn deliver(&self, id: DispatchId, event: RequestEvent) -> bool {
        match self.get(id) {
            Some(route) => !matches!(
                route.events.try_send(event),
                Err(mpsc::error::TrySendError::Full(_))
            ),
            None => true,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<DispatchId, Route>> {
        self.map.lock().expect("no holder of the routes panics")
    }
}
