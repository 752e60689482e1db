//! Messages to the entry's dispatcher.

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

/// Name under which the dispatcher's address is registered.
pub const DISPATCHER: ServiceName = ServiceName("dispatcher");

/// A request arrives. Returns its key, or why it was not taken.
pub struct Enqueue {
    /// The request.
    pub request: Arc<Request>,
    /// Its task.
    pub events: mpsc::Sender<RequestEvent>,
    /// The moment after which no answer is wanted.
    pub deadline: Micros,
    /// Set once an answer has begun.
    pub answering: Arc<AtomicBool>,
}

/// An agent has connected.
pub struct AgentConnected {
    /// Who it is.
    pub info: AgentInfo,
    /// The connection.
    pub outbox: Outbox,
}

/// Names one connection of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The agent.
    pub agent: AgentKey,
    /// Which of its connections, from 1.
    pub number: u64,
}

/// An agent's connection is gone.
pub struct AgentDisconnected(pub ConnectionId);

/// An agent offers a slot.
pub struct SlotOffered(pub ConnectionId, pub OfferId);

/// An agent withdraws an offer.
pub struct OfferWithdrawn(pub ConnectionId, pub OfferId);

/// An agent takes no new work.
pub struct AgentLeaving(pub ConnectionId);

/// A dispatched request waits again. Returns whether it may: a second run needs the service's
/// retry budget.
pub struct Requeue {
    /// The request.
    pub job: JobKey,
    /// Whether it may have been run before.
    pub retry: bool,
}

/// The second copy of a request stands in for the first.
pub struct HedgePromoted(pub JobKey);

/// The second copy of a request came to nothing.
pub struct HedgeDropped(pub JobKey);

/// A running request has used this much slot time.
pub struct ProgressReport {
    /// The request.
    pub job: JobKey,
    /// Its dispatch; a report about an earlier one is stale.
    pub dispatch: DispatchId,
    /// Slot time so far.
    pub spent: Micros,
}

/// A request is over, whether it waited or ran.
pub struct RequestFinished {
    /// The request.
    pub job: JobKey,
    /// Slot time to charge; `None` keeps the charge so far.
    pub spent: Option<Micros>,
    /// Whether the answer came whole, so that its slot time tells something of the next.
    pub whole: bool,
}

/// The host list was read: these hosts are leaving.
pub struct HostsLeaving(pub HashSet<SocketAddr>);

/// Asks for the figures of `/status`.
pub struct GetStatus;

/// Asks for the heartbeat to each connected agent.
pub struct SendHeartbeats;
