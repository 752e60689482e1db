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
use crate::gateway::links::{self, ConnectError, Link};
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::retry::Failure;
use crate::gateway::selection::Choice;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::platform::headers::{self, Told};
use crate::telemetry::Event;
use crate::units::Micros;

/// A target's answer that has begun.
#[derive(Debug)]
pub struct Upstream {
    /// Its head.
    pub head: Parts,
    /// What its head says.
    pub told: Told,
    /// Its body.
    pub body: Incoming,
    /// The connection that it comes on.
    pub link: Link,
    /// Its place in the target's load.
    pub in_flight: InFlight,
}

impl Upstream {
    /// What an answer that is no success means.
    pub fn failure(&self) -> Failure {
        match self.head.status {
            StatusCode::MISDIRECTED_REQUEST => Failure::Moved,
            _ if self.told.declined => Failure::Declined,
            _ => Failure::Failed,
        }
    }
}

/// One sending of a request.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// Where it goes.
    pub choice: Choice,
    /// Id of the last event that the caller has.
    pub after: Option<&'a str>,
    /// How long the target may be silent before another one is tried; `None`: until the end.
    pub silence: Option<Micros>,
}

/// Sends a request to a target and waits for the head of its answer.
///
/// # Errors
/// Why there is no answer to the request.
pub async fn open(
    gateway: &Arc<GatewayState>,
    request: &ClientRequest,
    sending: Sending<'_>,
) -> Result<Upstream, Failure> {
    let Sending {
        choice,
        after,
        silence,
    } = sending;
    let target = choice.target;
    let in_flight = InFlight::begin(gateway, choice, request.prompt.as_ref());
    let (id, entry) = gateway.target_entry(target).ok_or(Failure::Unreached)?;
    let silent = silence.map(|silence| gateway.clock.now() + silence);
    let until = silent.map_or(request.deadline(), |at| at.min(request.deadline()));
    let until = deadline(gateway, until);
    let mut link = link(gateway, target, entry.addr).await.map_err(|error| {
        fail(gateway, target, false);
        request_log::unreached(gateway, request, &id, &error);
        Failure::Unreached
    })?;
    gateway.metrics().event(Event::Dispatch);
    let outgoing = outgoing_request(request, &id, gateway.clock.now(), after);
    let answer = match timeout_at(until, link.sender.send_request(outgoing)).await {
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
    let told = headers::told(&head.headers, Some(&request.id));
    if !told.ours || (head.status.is_success() && !told.signed) {
        fail(gateway, target, true);
        return Err(Failure::Broken);
    }
    note(gateway, target, &head, &told);
    Ok(Upstream {
        head,
        told,
        body,
        link,
        in_flight,
    })
}

/// Looks whether a target is still there, after a connection to it broke off. The new connection
/// is kept for the next request.
pub async fn look(gateway: Arc<GatewayState>, target: TargetKey) {
    let Some((_, entry)) = gateway.target_entry(target) else {
        return;
    };
    match links::connect(entry.addr).await {
        Ok(link) => gateway.links.put(target, link, None),
        Err(_) => fail(&gateway, target, false),
    }
}

async fn link(
    gateway: &GatewayState,
    target: TargetKey,
    addr: std::net::SocketAddr,
) -> Result<Link, ConnectError> {
    match gateway.links.take(target) {
        Some(link) => Ok(link),
        None => links::connect(addr).await,
    }
}

fn outgoing_request(
    request: &ClientRequest,
    target: &str,
    now: Micros,
    after: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers(target, now, after);
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

fn note(gateway: &GatewayState, target: TargetKey, head: &Parts, told: &Told) {
    let now = gateway.clock.now();
    let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
    let failed = head.status.is_server_error() && !told.declined;
    gateway.with_target(target, |target| {
        if let Some(report) = told.report {
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
pub fn deadline(gateway: &GatewayState, at: Micros) -> Instant {
    let left: Duration = at.saturating_sub(gateway.clock.now()).into();
    Instant::now() + left
}
