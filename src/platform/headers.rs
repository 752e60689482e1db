//! Headers on requests and responses that the platform (the operator's infrastructure service)
//! defines.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_TYPE, HOST, HeaderName, HeaderValue, RETRY_AFTER,
};

use crate::gateway::notices::MAX_PAUSE;
use crate::gateway::position::Era;
use crate::gateway::prompts::Prompt;
use crate::gateway::targets::LoadReport;
use crate::hop_by_hop;
use crate::platform::prompt::parse_prompt;
use crate::platform::wire;
use crate::units::Micros;

/// Header with the request id, on requests and their responses.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("attempt-id");

const TIME_REMAINING: HeaderName = HeaderName::from_static("deadline-remaining");
const TARGET: HeaderName = HeaderName::from_static("expect-instance");
const ACCOUNT: HeaderName = HeaderName::from_static("tenant");
const TOKEN_COUNTS: HeaderName = HeaderName::from_static("token-count");
const PROMPT_PARTS: HeaderName = HeaderName::from_static("prompt-prefix");
const RESUME_AFTER: HeaderName = HeaderName::from_static("last-event-id");
const STREAM_ORIGIN: HeaderName = HeaderName::from_static("resumes");
const FETCH_FROM: HeaderName = HeaderName::from_static("kv-fetch");
const RESERVATION: HeaderName = HeaderName::from_static("hold");
const NOT_RUN: HeaderName = HeaderName::from_static("not-executed");
const SIGNATURE: HeaderName = HeaderName::from_static("server-stamp");
const LOAD: HeaderName = HeaderName::from_static("server-load");
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const COLD: HeaderName = HeaderName::from_static("cold-remaining");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Request headers that clients may not set. They are removed; the gateway sets some of them
/// itself.
const RESERVED_HEADERS: [&str; 11] = [
    "authorization",
    "tenant",
    "expect-instance",
    "deadline-remaining",
    "hold",
    "pin-duration",
    "kv-backup",
    "kv-from",
    "kv-fetch",
    "kv-move",
    "expect-version",
];
const BEARER: &str = "Bearer ";
/// Value of [`LEAVING`] on the answers of a target that is leaving.
const LEAVING_VALUE: &str = "1";
/// Longest idle timeout that a target is taken to mean.
const MAX_IDLE: Duration = Duration::from_secs(3_600);

/// Metadata from the headers of a client's request.
#[derive(Clone, Debug, Default)]
pub struct RequestMeta<'a> {
    /// Request id; `None` if it is missing.
    pub id: Option<&'a HeaderValue>,
    /// How long the client will wait for the response; `None` if it does not say.
    pub remaining: Option<Duration>,
    /// API key; `None` if there is none.
    pub key: Option<&'a str>,
    /// Description of the prompt; `None` unless the request is for a model inference engine.
    pub prompt: Option<Prompt>,
    /// The stream that the client takes up again; `None` if it asks for a new one.
    pub resumption: Option<Resumption>,
}

/// A stream of which a client has received events and that it takes up again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the client's request that brought the stream's first event; `None` if it names none.
    pub origin: Option<HeaderValue>,
}

/// Parses the headers of a client's request.
pub fn parse_request(headers: &HeaderMap) -> RequestMeta<'_> {
    let counts = header_text(headers, &TOKEN_COUNTS);
    RequestMeta {
        id: headers.get(REQUEST_ID),
        remaining: header_text(headers, &TIME_REMAINING)
            .and_then(|ms| ms.trim().parse().ok())
            .map(Duration::from_millis),
        key: headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER))
            .map(str::trim),
        prompt: counts.and_then(|counts| parse_prompt(counts, header_text(headers, &PROMPT_PARTS))),
        resumption: headers.contains_key(RESUME_AFTER).then(|| Resumption {
            origin: headers.get(STREAM_ORIGIN).cloned(),
        }),
    }
}

/// Headers that are added to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct AddedHeaders<'a> {
    /// Id of the only target that may run the request.
    pub target: &'a str,
    /// Client account that the request is run for; `None` for an anonymous request.
    pub account: Option<&'a str>,
    /// How long the client will wait from now on.
    pub remaining: Duration,
    /// Id of the last event that the client has received; `None` unless a stream is resumed after
    /// such an event.
    pub last_event: Option<&'a str>,
    /// Address of the target from which the prompt's cached prefix is to be fetched; `None` to use
    /// only what the target has cached itself.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the room that the target has reserved for the request; `None` if it has not.
    pub reservation: Option<&'a HeaderValue>,
}

/// Builds the headers of the request to a target.
pub fn forward_request(headers: &HeaderMap, added: &AddedHeaders<'_>) -> HeaderMap {
    let mut out = filter_headers(headers, |name| !RESERVED_HEADERS.contains(&name));
    if let Some(host) = headers.get(hyper::header::HOST) {
        out.insert(hyper::header::HOST, host.clone());
    }
    set(&mut out, TARGET, added.target);
    out.insert(TIME_REMAINING, HeaderValue::from(millis(added.remaining)));
    if let Some(account) = added.account {
        set(&mut out, ACCOUNT, account);
    }
    if let Some(last_event) = added.last_event {
        set(&mut out, RESUME_AFTER, last_event);
    }
    if let Some(source) = added.fetch_from {
        set(&mut out, FETCH_FROM, &source.to_string());
    }
    if let Some(reservation) = added.reservation {
        out.insert(RESERVATION, reservation.clone());
    }
    out
}

/// Whether a target with this id can be named in a request.
pub fn is_target_id(id: &str) -> bool {
    !id.is_empty() && HeaderValue::from_str(id).is_ok()
}

/// Metadata from the headers of a target's response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseMeta {
    /// Whether it carries the id of the request that was sent.
    pub id_matches: bool,
    /// Whether the target states that it did not run the request.
    pub declined: bool,
    /// Whether it carries the target's signature header.
    pub signed: bool,
    /// Load of the target, if it reports a valid one.
    pub load: Option<LoadReport>,
    /// Requests a second that the target takes from all gateways together; `None` if it names no
    /// limit.
    pub limit: Option<f64>,
    /// Whether the target is leaving and wants no more requests.
    pub leaving: bool,
    /// How long the target wants no requests, if this is an answer with status 503; `None` if it
    /// does not say, or not in seconds.
    pub retry_after: Option<Duration>,
    /// How long the connection may be idle; zero if it closes after this response, `None` if the
    /// target does not say.
    pub idle_timeout: Option<Duration>,
}

/// Parses the headers of a target's response to the request `id`.
pub fn parse_response(headers: &HeaderMap, id: Option<&HeaderValue>) -> ResponseMeta {
    let echoed = headers.get(REQUEST_ID);
    ResponseMeta {
        id_matches: echoed.is_some() && echoed == id,
        declined: headers.contains_key(NOT_RUN),
        signed: headers.contains_key(SIGNATURE),
        load: header_text(headers, &LOAD).and_then(parse_load),
        limit: header_text(headers, &LIMIT).and_then(parse_limit),
        leaving: header_text(headers, &LEAVING).is_some_and(|text| text.trim() == LEAVING_VALUE),
        retry_after: header_text(headers, &RETRY_AFTER).and_then(parse_retry_after),
        idle_timeout: parse_idle(headers),
    }
}

/// Parses the remaining cold time in the headers of a target's answer on its health. `None` if it is
/// missing or odd.
pub fn parse_cold(headers: &HeaderMap) -> Option<Micros> {
    let ms: f64 = header_text(headers, &COLD)?.trim().parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then(|| wire::cold_time(ms))
}

/// Parses the era in the headers of an answer of the store; the first one if the store names none.
/// `None` if it is malformed.
pub fn parse_era(headers: &HeaderMap) -> Option<Era> {
    match headers.get(STORE_ERA) {
        Some(value) => value.to_str().ok()?.trim().parse().ok().map(Era),
        None => Some(Era::default()),
    }
}

/// Builds the headers of a request for a target's health.
pub fn health_request(host: &str, target: &str) -> HeaderMap {
    let mut out = HeaderMap::with_capacity(2);
    set(&mut out, HOST, host);
    set(&mut out, TARGET, target);
    out
}

/// Builds the headers of a request for room at a target.
pub fn reservation_request(host: &str, target: &str) -> HeaderMap {
    let mut out = health_request(host, target);
    out.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    out
}

/// Builds the headers of the response to the client.
pub fn forward_response(headers: &HeaderMap) -> HeaderMap {
    const PRIVATE: [HeaderName; 5] = [NOT_RUN, LOAD, LIMIT, LEAVING, COLD];
    filter_headers(headers, |name| {
        PRIVATE.iter().all(|private| private != name)
    })
}

fn filter_headers(headers: &HeaderMap, keep: impl Fn(&str) -> bool) -> HeaderMap {
    let options = hop_by_hop::connection_options(headers);
    let is_option = |name: &str| options.iter().any(|o| o.eq_ignore_ascii_case(name));
    let mut out = HeaderMap::with_capacity(headers.len() + 3);
    for (name, value) in headers {
        let text = name.as_str();
        if keep(text) && !hop_by_hop::is_hop_by_hop(text) && !is_option(text) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// Parses a load report: the numbers of running requests, queued requests and slots, and how long
/// work takes now in percent (100 is usual, and the default). `None` if it is malformed.
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut fields = text.split(',').map(|field| field.trim().parse::<u32>());
    let running = fields.next()?.ok()?;
    let waiting = fields.next()?.ok()?;
    let _slots = fields.next()?.ok()?;
    let slowness = fields.next().and_then(Result::ok).unwrap_or(100);
    Some(LoadReport {
        running,
        waiting,
        slowness,
    })
}

/// Parses a rate limit, in requests a second. `None` if it is malformed or negative.
fn parse_limit(text: &str) -> Option<f64> {
    let limit: f64 = text.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}

/// Parses a time in seconds, with or without a fraction. `None` if it is malformed, a date, or not
/// positive.
fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_valid = seconds.is_finite() && seconds > 0.0;
    is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())))
}

fn parse_idle(headers: &HeaderMap) -> Option<Duration> {
    let closes = header_text(headers, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let seconds = header_text(headers, &KEEP_ALIVE)?
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_IDLE))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn millis(remaining: Duration) -> u64 {
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}
