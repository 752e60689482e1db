//! Sends a request to one target and takes the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::gateway::in_flight::InFlight;
use crate::gateway::pool::{self, ConnectError, Connection};
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::retry::Failure;
use crate::gateway::selection::Choice;
use crate::gateway::state::GatewayState;
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
    pub in_flight: InFlight,
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
    pub response_timeout: Option<Micros>,
}

/// Sends a request to a target and waits for the head of its answer.
///
/// # Errors
/// Why there is no answer to the request.
pub async fn dispatch(
    gateway: &Arc<GatewayState>,
    request: &ClientRequest,
    sending: Dispatch<'_>,
) -> Result<Upstream, Failure> {
    let Dispatch {
        choice,
        last_event,
        response_timeout,
    } = sending;
    let target = choice.target;
    let in_flight = InFlight::begin(gateway, choice, request.prompt.as_ref());
    let (id, entry) = gateway.target_entry(target).ok_or(Failure::Unreached)?;
    let silent = response_timeout.map(|timeout| gateway.clock.now() + timeout);
    let until = silent.map_or(request.deadline(), |at| at.min(request.deadline()));
    let until = instant_at(gateway, until);
    let mut connection = connection(gateway, target, entry.addr)
        .await
        .map_err(|error| {
            fail(gateway, target, false);
            request_log::unreached(gateway, request, &id, &error);
            Failure::Unreached
        })?;
    gateway.metrics().event(Event::Dispatch);
    let outgoing = outgoing_request(request, &id, gateway.clock.now(), last_event);
    let answer = match timeout_at(until, connection.sender.send_request(outgoing)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            fail(gateway, target, true);
            return Err(broken(&error));
        }
        Err(_) => {
            fail(gateway, target, true);
            return Err(Failure::Silent);
        }
    };
    let (head, body) = answer.into_parts();
    let meta = headers::parse_response(&head.headers, Some(&request.id));
    if !meta.id_matches || (head.status.is_success() && !meta.signed) {
        fail(gateway, target, true);
        return Err(Failure::Broken);
    }
    note(gateway, target, &head, &meta);
    Ok(Upstream {
        head,
        meta,
        body,
        connection,
        in_flight,
    })
}

/// Looks whether a target is still there, after a connection to it broke off. The new connection
/// is kept for the next request.
pub async fn check_connection(gateway: Arc<GatewayState>, target: TargetKey) {
    let Some((_, entry)) = gateway.target_entry(target) else {
        return;
    };
    match pool::connect(entry.addr).await {
        Ok(connection) => gateway.pool.put(target, connection, None),
        Err(_) => fail(&gateway, target, false),
    }
}

async fn connection(
    gateway: &GatewayState,
    target: TargetKey,
    addr: std::net::SocketAddr,
) -> Result<Connection, ConnectError> {
    match gateway.pool.take(target) {
        Some(connection) => Ok(connection),
        None => pool::connect(addr).await,
    }
}

fn outgoing_request(
    request: &ClientRequest,
    target: &str,
    now: Micros,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers(target, now, last_event);
    outgoing
}

/// A request that the library gave back unsent has surely not run.
fn broken(error: &hyper::Error) -> Failure {
    if error.is_canceled() {
        Failure::Unreached
    } else {
        Failure::Broken
    }
}

fn note(gateway: &GatewayState, target: TargetKey, head: &Parts, meta: &ResponseMeta) {
    let now = gateway.clock.now();
    let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
    let failed = head.status.is_server_error() && !meta.declined;
    gateway.with_target(target, |target| {
        if let Some(report) = meta.load {
            target.load.apply_report(report);
        }
        match failed || moved {
            true => target.load.record_failure(now, !moved),
            false => target.load.record_success(),
        }
    });
}

fn fail(gateway: &GatewayState, target: TargetKey, reached: bool) {
    let now = gateway.clock.now();
    gateway.with_target(target, |target| target.load.record_failure(now, reached));
    if !reached {
        gateway.with_crashes(|crashes| crashes.record_unreachable(now, target, rand::random));
    }
}

/// A moment of the gateway's clock, for timers.
pub fn instant_at(gateway: &GatewayState, at: Micros) -> Instant {
    let left: Duration = at.saturating_sub(gateway.clock.now()).into();
    Instant::now() + left
}
