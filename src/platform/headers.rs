//! Headers between clients, the system and the workers.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, CONNECTION, HeaderName, HeaderValue};

use crate::gateway::prompts::Prompt;
use crate::gateway::targets::LoadReport;
use crate::hop_by_hop;
use crate::platform::prompt::prompt;

/// Header that names a request, on its way there and back.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("attempt-id");

const TIME_LEFT: HeaderName = HeaderName::from_static("deadline-remaining");
const TARGET: HeaderName = HeaderName::from_static("expect-instance");
const ACCOUNT: HeaderName = HeaderName::from_static("tenant");
const COUNTS: HeaderName = HeaderName::from_static("token-count");
const PARTS: HeaderName = HeaderName::from_static("prompt-prefix");
const RESUME_AFTER: HeaderName = HeaderName::from_static("last-event-id");
const NOT_RUN: HeaderName = HeaderName::from_static("not-executed");
const SIGNATURE: HeaderName = HeaderName::from_static("server-stamp");
const LOAD: HeaderName = HeaderName::from_static("server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that the system sets or withholds, whatever the client sent.
const OWN_HEADERS: [&str; 11] = [
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

/// What a client's headers say.
#[derive(Clone, Debug, Default)]
pub struct RequestMeta<'a> {
    /// Names the request.
    pub id: Option<&'a HeaderValue>,
    /// How long the client will wait.
    pub remaining: Option<Duration>,
    /// The client's key.
    pub key: Option<&'a str>,
    /// Its prompt, for a model.
    pub prompt: Option<Prompt>,
}

/// Reads a client's headers.
pub fn parse_request(headers: &HeaderMap) -> RequestMeta<'_> {
    let counts = text(headers, &COUNTS);
    RequestMeta {
        id: headers.get(REQUEST_ID),
        remaining: text(headers, &TIME_LEFT)
            .and_then(|ms| ms.trim().parse().ok())
            .map(Duration::from_millis),
        key: headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER))
            .map(str::trim),
        prompt: counts.and_then(|counts| prompt(counts, text(headers, &PARTS))),
    }
}

/// What the system adds to a request.
#[derive(Clone, Copy, Debug)]
pub struct AddedHeaders<'a> {
    /// The only target that may run it.
    pub target: &'a str,
    /// The client account that it is run for.
    pub account: Option<&'a str>,
    /// How long the client will wait from now.
    pub remaining: Duration,
    /// Id of the last event that the client has, when a stream goes on.
    pub last_event: Option<&'a str>,
}

/// The headers to send to a target.
pub fn forward_request(headers: &HeaderMap, added: &AddedHeaders<'_>) -> HeaderMap {
    let mut out = kept(headers, |name| !OWN_HEADERS.contains(&name));
    if let Some(host) = headers.get(hyper::header::HOST) {
        out.insert(hyper::header::HOST, host.clone());
    }
    set(&mut out, TARGET, added.target);
    out.insert(TIME_LEFT, HeaderValue::from(millis(added.remaining)));
    if let Some(account) = added.account {
        set(&mut out, ACCOUNT, account);
    }
    if let Some(after) = added.last_event {
        set(&mut out, RESUME_AFTER, after);
    }
    out
}

/// What the head of a target's answer says.
#[derive(Clone, Copy, Debug)]
pub struct ResponseMeta {
    /// It answers the request that was sent.
    pub id_matches: bool,
    /// The target says that it did not run the request.
    pub declined: bool,
    /// It bears the target's signature.
    pub signed: bool,
    /// How loaded the target is.
    pub load: Option<LoadReport>,
    /// How long the connection may be idle; zero: it ends with this answer.
    pub idle_timeout: Option<Duration>,
}

/// Reads the head of a target's answer to the request `id`.
pub fn parse_response(headers: &HeaderMap, id: Option<&HeaderValue>) -> ResponseMeta {
    let echoed = headers.get(REQUEST_ID);
    ResponseMeta {
        id_matches: echoed.is_some() && echoed == id,
        declined: headers.contains_key(NOT_RUN),
        signed: headers.contains_key(SIGNATURE),
        load: text(headers, &LOAD).and_then(report),
        idle_timeout: idle(headers),
    }
}

/// The headers of a target's answer to pass back.
pub fn forward_response(headers: &HeaderMap) -> HeaderMap {
    kept(headers, |name| name != NOT_RUN && name != LOAD)
}

fn kept(headers: &HeaderMap, wanted: impl Fn(&str) -> bool) -> HeaderMap {
    let options = hop_by_hop::connection_options(headers);
    let own = |name: &str| options.iter().any(|o| o.eq_ignore_ascii_case(name));
    let mut out = HeaderMap::with_capacity(headers.len() + 3);
    for (name, value) in headers {
        let text = name.as_str();
        if wanted(text) && !hop_by_hop::is_hop_by_hop(text) && !own(text) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// Requests that run, requests that wait, slots, and how long work takes now (100: as usual).
fn report(text: &str) -> Option<LoadReport> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
    let running = figures.next()?.ok()?;
    let waiting = figures.next()?.ok()?;
    let _slots = figures.next()?.ok()?;
    let slowness = figures.next().and_then(Result::ok).unwrap_or(100);
    Some(LoadReport {
        running,
        waiting,
        slowness,
    })
}

fn idle(headers: &HeaderMap) -> Option<Duration> {
    let closes = text(headers, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let seconds = text(headers, &KEEP_ALIVE)?
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn millis(left: Duration) -> u64 {
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}
