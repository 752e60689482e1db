//! Sends a request to one target and takes the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::gateway::gate::Gate;
use crate::gateway::in_flight::InFlight;
use crate::gateway::order::Order;
use crate::gateway::place::Choice;
use crate::gateway::pool::{self, ConnectError, Connection};
use crate::gateway::repeat::Failure;
use crate::gateway::request_log;
use crate::gateway::targets::TargetKey;
use crate::platform::headers::{self, ResponseMeta};
use crate::telemetry::Event;
use crate::units::Micros;

/// A target's answer that has begun.
#[derive(Debug)]
pub struct Upstream {
    /// Its head.
    pub head: Parts,
    /// What its head says.
    pub meta: ResponseMeta,
    /// Its body.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
    /// Its place in the target's load.
    pub flight: InFlight,
}

impl Upstream {
    /// What an answer that is no success means.
    pub fn failure(&self) -> Failure {
        match self.head.status {
            StatusCode::MISDIRECTED_REQUEST => Failure::Moved,
            _ if self.meta.declined => Failure::Declined,
            _ => Failure::Failed,
        }
    }
}

/// One sending of a request.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Where it goes.
    pub choice: Choice,
    /// Id of the last event that the caller has.
    pub last_event: Option<&'a str>,
    /// How long the target may be silent before another one is tried; `None`: until the end.
    pub silence: Option<Micros>,
}

/// Sends a request to a target and waits for the head of its answer.
///
/// # Errors
/// Why there is no answer to the request.
pub async fn dispatch(
    gate: &Arc<Gate>,
    order: &Order,
    sending: Dispatch<'_>,
) -> Result<Upstream, Failure> {
    let Dispatch {
        choice,
        last_event,
        silence,
    } = sending;
    let target = choice.target;
    let flight = InFlight::begin(gate, choice, order.prompt.as_ref());
    let (id, entry) = gate.entry(target).ok_or(Failure::Unreached)?;
    let silent = silence.map(|silence| gate.clock.now() + silence);
    let until = silent.map_or(order.until(), |at| at.min(order.until()));
    let until = instant_at(gate, until);
    let mut connection = connection(gate, target, entry.addr)
        .await
        .map_err(|error| {
            fail(gate, target, false);
            request_log::unreached(gate, order, &id, &error);
            Failure::Unreached
        })?;
    gate.metrics().event(Event::Dispatch);
    let request = request(order, &id, gate.clock.now(), last_event);
    let answer = match timeout_at(until, connection.sender.send_request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            fail(gate, target, true);
            return Err(broken(&error));
        }
        Err(_) => {
            fail(gate, target, true);
            return Err(Failure::Silent);
        }
    };
    let (head, body) = answer.into_parts();
    let meta = headers::parse_response(&head.headers, Some(&order.id));
    if !meta.id_matches || (head.status.is_success() && !meta.signed) {
        fail(gate, target, true);
        return Err(Failure::Broken);
    }
    note(gate, target, &head, &meta);
    Ok(Upstream {
        head,
        meta,
        body,
        connection,
        flight,
    })
}

/// Looks whether a target is still there, after a connection to it broke off. The new connection
/// is kept for the next request.
pub async fn check_connection(gate: Arc<Gate>, target: TargetKey) {
    let Some((_, entry)) = gate.entry(target) else {
        return;
    };
    match pool::connect(entry.addr).await {
        Ok(connection) => gate.pool.put(target, connection, None),
        Err(_) => fail(&gate, target, false),
    }
}

async fn connection(
    gate: &Gate,
    target: TargetKey,
    addr: std::net::SocketAddr,
) -> Result<Connection, ConnectError> {
    match gate.pool.take(target) {
        Some(connection) => Ok(connection),
        None => pool::connect(addr).await,
    }
}

fn request(
    order: &Order,
    target: &str,
    now: Micros,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(order.body.clone()));
    *request.method_mut() = order.method.clone();
    *request.uri_mut() = order.uri.clone();
    *request.headers_mut() = order.headers(target, now, last_event);
    request
}

/// A request that the library gave back unsent has surely not run.
fn broken(error: &hyper::Error) -> Failure {
    if error.is_canceled() {
        Failure::Unreached
    } else {
        Failure::Broken
    }
}

fn note(gate: &Gate, target: TargetKey, head: &Parts, meta: &ResponseMeta) {
    let now = gate.clock.now();
    let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
    let failed = head.status.is_server_error() && !meta.declined;
    gate.on_target(target, |target| {
        if let Some(report) = meta.load {
            target.load.reported(report);
        }
        match failed || moved {
            true => target.load.failed(now, !moved),
            false => target.load.answered(),
        }
    });
}

fn fail(gate: &Gate, target: TargetKey, reached: bool) {
    let now = gate.clock.now();
    gate.on_target(target, |target| target.load.failed(now, reached));
    if !reached {
        gate.with_suspects(|suspects| suspects.unreached(now, target, rand::random));
    }
}

/// A moment of the gateway's clock, for timers.
pub fn instant_at(gate: &Gate, at: Micros) -> Instant {
    let left: Duration = at.saturating_sub(gate.clock.now()).into();
    Instant::now() + left
}
