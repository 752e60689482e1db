//! A caller's request, read and checked.

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use xxhash_rust::xxh3::xxh3_64;

use crate::claim::{ClaimId, Digest};
use crate::entry::replay::JOIN_HEADER;
use crate::hop_by_hop;
use crate::ids::{AccountKey, RequestId, ServiceKey};
use crate::problem::{Problem, Reason};
use crate::rules::Table;
use crate::telemetry::TraceContext;
use crate::units::Micros;
use crate::wire::{Header, MAX_HEAD_BYTES, MAX_HEADERS};

/// Header with the caller's rough cost hint, in milliseconds of target time.
pub const COST_HEADER: &str = "x-balsampitch-cost";
/// Header with the request's id, on every answer and towards the target.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the client account's name, towards the target.
pub const ACCOUNT_HEADER: &str = "x-balsampitch-account";
/// Header that names the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the trace context.
pub const TRACE_HEADER: &str = "traceparent";
/// Header with the fencing number, towards targets that check one.
pub const FENCE_HEADER: &str = "x-balsampitch-fence";

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const BEARER: &str = "Bearer ";

/// Headers that concern one connection only, or that the fleet sets itself.
const DROPPED_HEADERS: [&str; 5] = [
    ACCOUNT_HEADER,
    REQUEST_ID_HEADER,
    TRACE_HEADER,
    FENCE_HEADER,
    JOIN_HEADER,
];

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The client account that pays for it.
    pub account: AccountKey,
    /// The service that runs it.
    pub service: ServiceKey,
    /// The service's name.
    pub service_name: String,
    /// HTTP method.
    pub method: String,
    /// Path and query towards the target.
    pub path: String,
    /// Headers towards the target.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The claim on that key under which it runs.
    pub claim: Option<ClaimId>,
    /// The caller's cost hint.
    pub cost_hint: Option<Micros>,
    /// Trace context of the entry's span.
    pub trace: Option<TraceContext>,
}

/// Bytes of a body's beginning by which prompts are told apart.
const PREFIX_BYTES: usize = 1024;

impl Request {
    /// Hash of the body's beginning, by which a target's prompt cache may serve it; `None` for
    /// short bodies, which gain nothing.
    pub fn prefix(&self) -> Option<u64> {
        self.body.get(..PREFIX_BYTES).map(xxh3_64)
    }

    /// Digest of service, method, path and body: what makes two requests the same.
    pub fn digest(&self) -> Digest {
        Digest::of(&[
            self.service_name.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }
}

/// The service's name and the path towards the target.
///
/// # Errors
/// A problem when the path names no service.
pub fn split_path(uri: &Uri) -> Result<(&str, String), Problem> {
    let rest = uri.path().strip_prefix('/').unwrap_or_default();
    let (service, tail) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Problem::not_run(404, Reason::NoService));
    }
    let path = match uri.query() {
        Some(query) => format!("/{tail}?{query}"),
        None => format!("/{tail}"),
    };
    Ok((service, path))
}

/// The client account whose key the caller presents.
///
/// # Errors
/// A problem when there is none.
pub fn authenticate(headers: &HeaderMap, table: &Table) -> Result<AccountKey, Problem> {
    headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix(BEARER))
        .and_then(|key| table.caller(key.trim().as_bytes()))
        .ok_or(Problem::not_run(401, Reason::BadKey))
}

/// Whether the method alone makes a request idempotent (RFC 9110, 9.2.2).
pub fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
    )
}

/// The headers to pass on, without credentials and those of one connection.
///
/// # Errors
/// A problem when there are more than [`MAX_HEADERS`], or the head exceeds [`MAX_HEAD_BYTES`]:
/// it would not fit in a frame.
pub fn passed_headers(parts: &Parts) -> Result<Vec<Header>, Problem> {
    let kept = kept(&parts.headers, |name| {
        name != AUTHORIZATION && name != COST_HEADER
    });
    let path = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let size = parts.method.as_str().len() + path + head_bytes(&kept);
    if parts.headers.len() > MAX_HEADERS || size > MAX_HEAD_BYTES {
        return Err(Problem::not_run(431, Reason::BadRequest));
    }
    Ok(kept)
}

/// Length of headers, in bytes.
pub fn head_bytes(headers: &[Header]) -> usize {
    headers.iter().map(Header::size).sum()
}

/// The headers of an answer to pass back, without those of one connection.
pub fn answer_headers(headers: &HeaderMap) -> Vec<Header> {
    kept(headers, |_| true)
        .into_iter()
        .take(MAX_HEADERS)
        .collect()
}

/// The caller's idempotency key.
///
/// # Errors
/// A problem when it is empty, too long or not text.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().trim();
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(Problem::not_run(400, Reason::BadRequest));
    }
    Ok(Some(key.to_owned()))
}

/// The caller's cost hint; one that is no number is ignored, as hints are rough.
pub fn cost_hint(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(COST_HEADER)?.to_str().ok()?;
    text.trim().parse::<u64>().ok().map(Micros::from_ms)
}

/// The caller's trace context; a malformed one is ignored, as the standard asks.
pub fn trace(headers: &HeaderMap) -> Option<TraceContext> {
    headers.get(TRACE_HEADER)?.to_str().ok()?.parse().ok()
}

fn kept(headers: &HeaderMap, wanted: impl Fn(&HeaderName) -> bool) -> Vec<Header> {
    let own = hop_by_hop::connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !hop_by_hop::is_hop_by_hop(name.as_str()))
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()) && wanted(name))
        .filter(|(name, _)| !own.iter().any(|o| o.eq_ignore_ascii_case(name.as_str())))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
