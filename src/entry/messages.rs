//! Messages to the [`Dispatcher`](crate::entry::dispatcher::Dispatcher).

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use tokio::sync::mpsc;

use crate::conn::Outbox;
use crate::entry::request::Request;
use crate::entry::routes::RequestEvent;
use crate::ids::{AgentKey, DispatchId, JobKey, OfferId};
use crate::registry::ServiceName;
use crate::units::Micros;
use crate::wire::AgentInfo;

/// Name of the dispatcher in the service registry.
pub const DISPATCHER: ServiceName = ServiceName("dispatcher");

/// Submits a request. Returns the request's key, or a problem if the request was not accepted.
pub struct Enqueue {
    /// The request.
    pub request: Arc<Request>,
    /// Event queue of the request's task.
    pub events: mpsc::Sender<RequestEvent>,
    /// Time after which the caller no longer wants a response.
    pub deadline: Micros,
    /// Set once the response head has been passed on.
    pub response_started: Arc<AtomicBool>,
}

/// An agent has connected.
pub struct AgentConnected {
    /// The agent's identity and slots.
    pub info: AgentInfo,
    /// Queue of outgoing frames of the new connection.
    pub outbox: Outbox,
}

/// Identifies one connection of an agent, so that messages of an earlier one are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The agent.
    pub agent: AgentKey,
    /// Sequence number among the connections of this agent, starting at 1.
    pub number: u64,
}

/// An agent's connection has closed.
pub struct AgentDisconnected(pub ConnectionId);

/// An agent offers a slot.
pub struct SlotOffered(pub ConnectionId, pub OfferId);

/// An agent withdraws an offer.
pub struct OfferWithdrawn(pub ConnectionId, pub OfferId);

/// An agent accepts no new requests.
pub struct AgentLeaving(pub ConnectionId);

/// Requeues a dispatched request. Returns whether it was requeued: a retry needs credit in the
/// service's retry budget.
pub struct Requeue {
    /// The request.
    pub job: JobKey,
    /// Whether the request may have run already.
    pub retry: bool,
}

/// The hedge replaces the primary dispatch of a request.
pub struct HedgePromoted(pub JobKey);

/// The hedge of a request was declined, lost or cancelled.
pub struct HedgeDropped(pub JobKey);

/// Slot time that a running request has used.
pub struct ProgressReport {
    /// The request.
    pub job: JobKey,
    /// The dispatch; reports on any but the primary one are ignored.
    pub dispatch: DispatchId,
    /// Slot time used so far.
    pub spent: Micros,
}

/// A request has finished, whether it was dispatched or not.
pub struct RequestFinished {
    /// The request.
    pub job: JobKey,
    /// Slot time to charge, or `None` to keep the current charge.
    pub spent: Option<Micros>,
    /// Whether the response was complete; only then is the cost estimate updated from `spent`.
    pub complete: bool,
}

/// Hosts that the platform's host list marks as leaving.
pub struct HostsLeaving(pub HashSet<SocketAddr>);

/// Asks for the dispatcher's part of `/status`.
pub struct GetStatus;

/// Sends a heartbeat to every connected agent.
pub struct SendHeartbeats;
