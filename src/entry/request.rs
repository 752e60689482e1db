//! Requests of callers, and parsing of their paths and headers.

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

/// Header with the caller's estimate of the cost, in milliseconds of slot time.
pub const COST_HEADER: &str = "x-balsampitch-cost";
/// Header with the request id, in every response and in requests to targets.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the client account's name, in requests to targets.
pub const ACCOUNT_HEADER: &str = "x-balsampitch-account";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the W3C trace context.
pub const TRACE_HEADER: &str = "traceparent";
/// Header with the fencing number, in requests to targets that check it.
pub const FENCE_HEADER: &str = "x-balsampitch-fence";

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const BEARER: &str = "Bearer ";

/// Headers from callers and targets that are not forwarded, because the fleet sets them itself.
const STRIPPED_HEADERS: [&str; 5] = [
    ACCOUNT_HEADER,
    REQUEST_ID_HEADER,
    TRACE_HEADER,
    FENCE_HEADER,
    JOIN_HEADER,
];

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: RequestId,
    /// Client account that is charged for the request.
    pub account: AccountKey,
    /// Service that the request is for.
    pub service: ServiceKey,
    /// Name of the service.
    pub service_name: String,
    /// HTTP method.
    pub method: String,
    /// Path and query, without the service's name.
    pub path: String,
    /// Headers to forward to the target.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Claim on the idempotency key under which the request runs.
    pub claim: Option<ClaimId>,
    /// The caller's estimate of the slot time.
    pub cost_hint: Option<Micros>,
    /// Trace context of the entry's span.
    pub trace: Option<TraceContext>,
}

/// Length of the body prefix that identifies a prompt, in bytes.
const PREFIX_BYTES: usize = 1024;

impl Request {
    /// Returns a hash of the body's prefix, to prefer a target that may have the prompt cached.
    /// Returns `None` for short bodies, which gain nothing from a cache.
    pub fn prefix(&self) -> Option<u64> {
        self.body.get(..PREFIX_BYTES).map(xxh3_64)
    }

    /// Returns a digest of service, method, path and body, which identifies equal requests.
    pub fn digest(&self) -> Digest {
        Digest::of(&[
            self.service_name.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }
}

/// Splits a URI into the service's name and the path and query for the target.
///
/// # Errors
/// Returns a 404 problem if the path names no service.
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

/// Returns the client account of the caller's API key.
///
/// # Errors
/// Returns a 401 problem if the key is missing or unknown.
pub fn authenticate(headers: &HeaderMap, table: &Table) -> Result<AccountKey, Problem> {
    headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix(BEARER))
        .and_then(|key| table.account_by_key(key.trim().as_bytes()))
        .ok_or(Problem::not_run(401, Reason::BadKey))
}

/// Returns whether the method is idempotent (RFC 9110, 9.2.2).
pub fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
    )
}

/// Returns the headers to forward to the target, without credentials and hop-by-hop headers.
///
/// # Errors
/// Returns a 431 problem if there are more than [`MAX_HEADERS`], or the head exceeds
/// [`MAX_HEAD_BYTES`] and so would not fit in a frame.
pub fn forwarded_headers(parts: &Parts) -> Result<Vec<Header>, Problem> {
    let headers = filter_headers(&parts.headers, |name| {
        name != AUTHORIZATION && name != COST_HEADER
    });
    let path = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let size = parts.method.as_str().len() + path + head_bytes(&headers);
    if parts.headers.len() > MAX_HEADERS || size > MAX_HEAD_BYTES {
        return Err(Problem::not_run(431, Reason::BadRequest));
    }
    Ok(headers)
}

/// Returns the total length of headers, in bytes.
pub fn head_bytes(headers: &[Header]) -> usize {
    headers.iter().map(Header::size).sum()
}

/// Returns the response headers to forward to the caller, without hop-by-hop headers. Headers
/// beyond [`MAX_HEADERS`] are dropped.
pub fn response_headers(headers: &HeaderMap) -> Vec<Header> {
    filter_headers(headers, |_| true)
        .into_iter()
        .take(MAX_HEADERS)
        .collect()
}

/// Returns the caller's idempotency key, or `None` if the header is missing.
///
/// # Errors
/// Returns a 400 problem if the key is empty, longer than 255 bytes or not visible ASCII.
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

/// Returns the caller's cost hint, or `None` if the header is missing or malformed. A malformed
/// hint is ignored, because hints are only estimates.
pub fn cost_hint(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(COST_HEADER)?.to_str().ok()?;
    text.trim().parse::<u64>().ok().map(Micros::from_ms)
}

/// Returns the caller's trace context, or `None` if the header is missing or malformed. A malformed
/// header is ignored, as the W3C standard requires.
pub fn trace_context(headers: &HeaderMap) -> Option<TraceContext> {
    headers.get(TRACE_HEADER)?.to_str().ok()?.parse().ok()
}

fn filter_headers(headers: &HeaderMap, wanted: impl Fn(&HeaderName) -> bool) -> Vec<Header> {
    let listed = hop_by_hop::connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !hop_by_hop::is_hop_by_hop(name.as_str()))
        .filter(|(name, _)| !STRIPPED_HEADERS.contains(&name.as_str()) && wanted(name))
        .filter(|(name, _)| !listed.iter().any(|l| l.eq_ignore_ascii_case(name.as_str())))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
