//! Sends a request to one target and receives the head of its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::gateway::cold_probe::{self, Answer};
use crate::gateway::in_flight::InFlight;
use crate::gateway::pool::{ConnectError, Connection};
use crate::gateway::request::{AttemptHeaders, ClientRequest};
use crate::gateway::request_log;
use crate::gateway::reservation_call::{self, ReservationOutcome, ReservationRequest};
use crate::gateway::retry::Failure;
use crate::gateway::selection::Choice;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::{Entry, TargetKey, TargetRun};
use crate::gateway::versions::VersionRule;
use crate::platform::headers::{self, ResponseMeta};
use crate::telemetry::Event;
use crate::units::Micros;

/// A target's response whose head has arrived.
#[derive(Debug)]
pub struct Upstream {
    /// Head of the response.
    pub head: Parts,
    /// Metadata from its headers.
    pub meta: ResponseMeta,
    /// Its body, not yet read.
    pub body: Incoming,
    /// The connection that it arrives on.
    pub connection: Connection,
    /// Keeps the request in the target's load until dropped.
    pub in_flight: InFlight,
    /// The run of the target that it was sent to.
    pub run: TargetRun,
}

impl Upstream {
    /// Whether only the end of the connection delimits the body, so that a target that dies looks
    /// like one that is done.
    pub fn ends_with_connection(&self) -> bool {
        let coding = self.head.headers.get(TRANSFER_ENCODING);
        let is_chunked = coding.is_some_and(|coding| {
            let coding = coding.as_bytes().to_ascii_lowercase();
            coding.trim_ascii_end().ends_with(b"chunked")
        });
        !is_chunked && self.body.size_hint().exact().is_none()
    }

    /// Classifies a response without a success status.
    pub fn failure(&self) -> Failure {
        match self.head.status {
            StatusCode::MISDIRECTED_REQUEST => Failure::Moved,
            _ if self.meta.declined => Failure::Declined,
            _ => Failure::Failed,
        }
    }
}

/// Parameters of one attempt to send a request.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The chosen target.
    pub choice: Choice,
    /// Which versions of the targets' software may get the request.
    pub versions: VersionRule,
    /// Id of the last event that the client has received; `None` unless a stream is resumed after
    /// such an event.
    pub last_event: Option<&'a str>,
    /// How long to wait for the response's head before another target is tried; `None` to wait
    /// until the request's deadline.
    pub response_timeout: Option<Micros>,
}

/// Sends a request to a target and waits for the head of its response.
///
/// # Errors
/// Returns a [`Failure`] if the target cannot be reached, the connection breaks off, or the
/// response is late or invalid.
pub async fn dispatch(
    gateway: &Arc<GatewayState>,
    request: &ClientRequest,
    sending: Dispatch<'_>,
) -> Result<Upstream, Failure> {
    let Dispatch {
        choice,
        versions,
        last_event,
        response_timeout,
    } = sending;
    let target = choice.target;
    if !gateway.take_room(target) {
        return Err(Failure::Withdrawn);
    }
    let mut in_flight = InFlight::begin(gateway, choice, request.prompt.as_ref());
    let (id, entry) = gateway.target_entry(target).ok_or(Failure::Unreached)?;
    if gateway.overload().is_behind() {
        // Lets the client's connection be read first: if it was closed, this task is dropped here.
        tokio::task::yield_now().await;
    }
    let time_limit = response_timeout.map(|timeout| gateway.clock.now() + timeout);
    let until = time_limit.map_or(request.deadline(), |at| at.min(request.deadline()));
    let until = instant_at(gateway, until);
    let upstream = (target, &id, &entry);
    let connection = open_connection(gateway, request, upstream).await?;
    let (mut connection, reservation) =
        reserve_room(gateway, request, (choice, versions), upstream, connection).await?;
    if let Err(failure) = last_look(gateway, request, target, versions) {
        gateway.pool.put(target, connection, None);
        return Err(failure);
    }
    gateway.metrics().event(Event::Dispatch);
    let transfer = choice.transfer;
    let fetch_from = transfer.and_then(|planned| gateway.source_addr(request, planned.source));
    match fetch_from {
        Some(_) => gateway.metrics().event(Event::PrefixFetch),
        None => in_flight.end_transfer(),
    }
    (in_flight.fetched, in_flight.reserved) = (fetch_from.is_some(), reservation.is_some());
    let attempt = AttemptHeaders {
        target: &id,
        last_event,
        fetch_from,
        reservation: reservation.as_ref(),
    };
    let outgoing = outgoing_request(request, gateway.clock.now(), &attempt);
    let response = match timeout_at(until, connection.sender.send_request(outgoing)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            record_failure(gateway, target, true);
            return Err(classify_error(&error));
        }
        Err(_) => {
            record_failure(gateway, target, true);
            return Err(Failure::Silent);
        }
    };
    let (head, body) = response.into_parts();
    let meta = headers::parse_response(&head.headers, Some(&request.id));
    if !meta.id_matches || (head.status.is_success() && !meta.signed) {
        record_failure(gateway, target, true);
        return Err(Failure::Broken);
    }
    record_response(gateway, target, &head, &meta);
    record_notices(gateway, &id, &entry, &head, &meta);
    Ok(Upstream {
        head,
        meta,
        body,
        connection,
        in_flight,
        run: TargetRun {
            id,
            version: entry.version,
        },
    })
}

/// Takes a connection to a target from the pool, or opens one.
async fn open_connection(
    gateway: &GatewayState,
    request: &ClientRequest,
    (target, id, entry): (TargetKey, &Arc<str>, &Entry),
) -> Result<Connection, Failure> {
    let connection = acquire_connection(gateway, target, id, entry).await;
    connection.map_err(|error| {
        match error {
            ConnectError::TooMany => {}
            _ => record_failure(gateway, target, false),
        }
        request_log::connect_failed(gateway, request, id, &error);
        Failure::Unreached
    })
}

/// Reserves room for the request if the choice says so. Returns the connection on which to send it,
/// and the id of the reservation; `None` if the target has not reserved room.
async fn reserve_room(
    gateway: &GatewayState,
    request: &ClientRequest,
    (choice, versions): (Choice, VersionRule),
    upstream: (TargetKey, &Arc<str>, &Entry),
    mut connection: Connection,
) -> Result<(Connection, Option<HeaderValue>), Failure> {
    let (target, id, entry) = upstream;
    let wanted = choice.reservation.zip(request.prompt.as_ref());
    let Some((ttl, prompt)) = wanted.filter(|_| gateway.takes_reservations(target)) else {
        return Ok((connection, None));
    };
    if !may_send(gateway, request, target, versions) {
        gateway.pool.put(target, connection, None);
        return Err(Failure::Withdrawn);
    }
    let reservation = ReservationRequest {
        target: id,
        addr: entry.addr,
        tokens: prompt.tokens + prompt.output,
        ttl,
    };
    let outcome = reservation_call::ask(&mut connection, reservation).await;
    gateway.metrics().event(match outcome {
        ReservationOutcome::Granted(_) => Event::Reservation,
        ReservationOutcome::Declined | ReservationOutcome::Lost => Event::FailedReservation,
    });
    match outcome {
        ReservationOutcome::Granted(id) => Ok((connection, Some(id))),
        ReservationOutcome::Declined => Ok((connection, None)),
        ReservationOutcome::Lost => {
            drop(connection);
            let connection = open_connection(gateway, request, upstream).await?;
            Ok((connection, None))
        }
    }
}

/// Checks again, right before a request is sent, what may have changed since its target was chosen:
/// the deadline, the target's restrictions and version, the configuration with its region
/// restrictions, the quarantine, and whether the target is cold. Takes the room for the request if it
/// is.
fn last_look(
    gateway: &GatewayState,
    request: &ClientRequest,
    target: TargetKey,
    versions: VersionRule,
) -> Result<(), Failure> {
    if !may_send(gateway, request, target, versions) {
        return Err(Failure::Withdrawn);
    }
    match gateway.take_cold_room(target) {
        true => Ok(()),
        false => Err(Failure::Cold),
    }
}

/// Whether a request may be sent to a target now, apart from whether that is cold.
fn may_send(
    gateway: &GatewayState,
    request: &ClientRequest,
    target: TargetKey,
    versions: VersionRule,
) -> bool {
    let expired = gateway.clock.now() >= request.deadline();
    let takes_requests = gateway.may_send_to(target, versions);
    let config = gateway.config();
    let allowed = request.is_allowed_by(&config) && gateway.allows_region(&config, request, target);
    !expired && takes_requests && allowed && gateway.remaining_quarantine(request).is_none()
}

/// Checks that a target still accepts connections, after a connection to it broke off. A new
/// connection is put into the pool; if there is none, the target is recorded as unreachable.
pub async fn check_connection(gateway: Arc<GatewayState>, target: TargetKey) {
    let Some((id, entry)) = gateway.target_entry(target) else {
        return;
    };
    match connect(&gateway, target, &id, &entry).await {
        Ok(connection) => gateway.pool.put(target, connection, None),
        Err(ConnectError::TooMany) => {}
        Err(_) => record_failure(&gateway, target, false),
    }
}

async fn acquire_connection(
    gateway: &GatewayState,
    target: TargetKey,
    id: &str,
    entry: &Entry,
) -> Result<Connection, ConnectError> {
    match gateway.pool.take(target) {
        Some(connection) => Ok(connection),
        None => connect(gateway, target, id, entry).await,
    }
}

/// Opens a connection. A target that may have started since this gateway last heard it is asked on
/// it how long it is cold: its new entry arrives later than the first requests would.
async fn connect(
    gateway: &GatewayState,
    target: TargetKey,
    id: &str,
    entry: &Entry,
) -> Result<Connection, ConnectError> {
    let mut connection = gateway.pool.connect(entry.addr).await?;
    let config = gateway.config();
    let service = config.service(&entry.service);
    let Some((service, rule)) = service.and_then(|s| Some((s, s.cold?))) else {
        return Ok(connection);
    };
    if gateway.pool.was_closed_within(target, rule.span.into()) {
        gateway.record_closed(target);
    }
    let Some(path) = &service.health_path else {
        gateway.record_reached(target, Answer::NotReported, &rule);
        return Ok(connection);
    };
    if gateway.has_just_answered(target) {
        return Ok(connection);
    }
    let answer = cold_probe::ask(&mut connection, id, entry.addr, path).await;
    gateway.record_reached(target, answer, &rule);
    // Some targets close the connection after this answer.
    let is_usable = answer != Answer::Failed && connection.sender.ready().await.is_ok();
    match is_usable {
        true => Ok(connection),
        false => gateway.pool.connect(entry.addr).await,
    }
}

fn outgoing_request(
    request: &ClientRequest,
    now: Micros,
    attempt: &AttemptHeaders<'_>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers(now, attempt);
    outgoing
}

/// Classifies a failed request. One that hyper cancelled was never sent, so it cannot have run.
fn classify_error(error: &hyper::Error) -> Failure {
    if error.is_canceled() {
        Failure::Unreached
    } else {
        Failure::Broken
    }
}

fn record_response(gateway: &GatewayState, target: TargetKey, head: &Parts, meta: &ResponseMeta) {
    let now = gateway.clock.now();
    let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
    let failed = head.status.is_server_error() && !meta.declined;
    let changed = gateway.with_target(target, |target| {
        if let Some(report) = meta.load {
            target.load.apply_report(report);
        }
        if !moved {
            target.cold.answered(now);
        }
        match failed || moved {
            true => target.load.record_failure(now, !moved),
            false => target.load.record_success(),
        }
        !moved && target.limit.observe(now, meta.limit)
    });
    if changed == Some(true) {
        request_log::limit_changed(gateway, target, meta.limit);
    }
}

/// Records what an answer announces of the run of the target that the request was sent to, which may
/// not be listed any more. An answer with status 421 comes from another target.
fn record_notices(
    gateway: &GatewayState,
    id: &Arc<str>,
    entry: &Entry,
    head: &Parts,
    meta: &ResponseMeta,
) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if meta.leaving {
        gateway.record_leaving(id, entry);
    }
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(pause)) = (head.status, meta.retry_after) {
        gateway.record_pause(id, entry, pause);
    }
}

fn record_failure(gateway: &GatewayState, target: TargetKey, reached: bool) {
    let now = gateway.clock.now();
    gateway.with_target(target, |target| {
        target.load.record_failure(now, reached);
        if !reached {
            target.cold.lost(now);
        }
    });
    if !reached {
        record_unreachable(gateway, target);
    }
}

/// Records that a target cannot be reached, which makes connections that broke off before a crash.
fn record_unreachable(gateway: &GatewayState, target: TargetKey) {
    let crashed = gateway.record_unreachable(target);
    if !crashed.is_empty() {
        request_log::target_crashed(gateway, target, &crashed);
    }
}

/// Converts a time of the gateway's clock to an instant for timers.
pub fn instant_at(gateway: &GatewayState, at: Micros) -> Instant {
    let remaining: Duration = at.saturating_sub(gateway.clock.now()).into();
    Instant::now() + remaining
}

#[cfg(test)]
mod tests;
