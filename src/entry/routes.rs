//! Routes agents' frames about a dispatch to the task of its request.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::conn::Outbox;
use crate::ids::{AgentKey, BootId, DispatchId, JobKey};
use crate::units::Micros;
use crate::wire::{DispatchState, Finish, Header};

/// Capacity of a request task's event queue. A connection whose event does not fit is closed.
pub const EVENT_CAPACITY: usize = 2048;

/// An event for the task of a request.
#[derive(Debug)]
pub enum RequestEvent {
    /// The request was dispatched to an agent.
    Dispatched {
        dispatch: DispatchId,
        agent: AgentKey,
        boot: BootId,
        outbox: Outbox,
    },
    /// A hedge was dispatched to another agent.
    Hedged {
        dispatch: DispatchId,
        agent: AgentKey,
        boot: BootId,
        outbox: Outbox,
    },
    /// The request's claim is too old for a dispatch.
    ClaimExpired,
    /// The connection to an agent of the request closed.
    Disconnected { agent: AgentKey },
    /// The agent reconnected; `boot` differs if the agent has restarted.
    Reconnected {
        agent: AgentKey,
        boot: BootId,
        outbox: Outbox,
    },
    /// The agent declined the dispatch without running it.
    Declined { dispatch: DispatchId },
    /// Status and headers of the response.
    Head {
        dispatch: DispatchId,
        status: u16,
        headers: Vec<Header>,
    },
    /// A chunk of the response body.
    Chunk {
        dispatch: DispatchId,
        seq: u64,
        data: Bytes,
    },
    /// The end of the response.
    End {
        dispatch: DispatchId,
        finish: Finish,
        chunks: u64,
        bytes: u64,
        spent: Micros,
    },
    /// The state of the dispatch at the agent.
    State {
        dispatch: DispatchId,
        state: DispatchState,
    },
}

/// The request of a dispatch, and the event queue of its task.
#[derive(Clone, Debug)]
pub struct Route {
    /// The request.
    pub job: JobKey,
    /// Event queue of the request's task.
    pub events: mpsc::Sender<RequestEvent>,
}

/// The routes of all open dispatches. Clones share them.
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

    /// Returns the lowest `seq` that an open dispatch of this entry may have.
    pub fn floor(&self) -> u64 {
        self.floor.load(Ordering::Acquire)
    }

    /// Sets the value that [`Routes::floor`] returns. Called by the dispatcher only.
    pub fn set_floor(&self, floor: u64) {
        self.floor.store(floor, Ordering::Release);
    }

    /// Returns the route of a dispatch, or `None` if the dispatch is not open.
    pub fn get(&self, id: DispatchId) -> Option<Route> {
        self.lock().get(&id).cloned()
    }

    /// Sends an event to the request's task. Returns `false` if its queue is full.
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
