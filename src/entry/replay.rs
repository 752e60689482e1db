//! Answers duplicates of a request that has an idempotency key.
//!
//! The request whose claim succeeds holds the key. Its duplicates are not run; they get the
//! response of the holder, from the local cache or from the entry that ran the holder.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Request as HttpRequest};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use crate::claim::Digest;
use crate::entry::request::{IDEMPOTENCY_HEADER, Request, response_headers};
use crate::entry::response_cache::{CacheEntry, CachedResponse, MAX_RESPONSE_BYTES, ResponseCache};
use crate::ids::BootId;
use crate::problem::{Problem, Reason};

/// Marks a duplicate that another entry forwarded, so that it is not forwarded again.
pub const JOIN_HEADER: &str = "x-balsampitch-join";

/// Maximum time until the holder's response is complete.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Another request holds the key, and its response is not available.
const CLAIMED_ELSEWHERE: Problem = Problem::unknown(409, Reason::ClaimedElsewhere);

/// Fetches responses of key holders, from the local cache or another entry.
#[derive(Clone)]
pub struct ReplayClient {
    cache: ResponseCache,
    http: Client<HttpConnector, Full<Bytes>>,
    boot: BootId,
}

/// A request whose idempotency key another request holds.
#[derive(Clone, Copy, Debug)]
pub struct Duplicate<'a> {
    /// The request.
    pub request: &'a Request,
    /// Path and query from the caller.
    pub path: &'a str,
    /// Headers from the caller.
    pub headers: &'a HeaderMap,
    /// Digest of client account and key.
    pub key: Digest,
}

impl ReplayClient {
    /// Creates a client for the entry with this boot id.
    pub fn new(cache: ResponseCache, boot: BootId) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        ReplayClient { cache, http, boot }
    }

    /// Returns the holder's response, from the local cache or from the entry that ran it.
    ///
    /// # Errors
    /// Returns a 409 problem if the response is not available; the holder's problem if the holder
    /// was refused.
    pub async fn response(
        &self,
        duplicate: Duplicate<'_>,
        holder: SocketAddr,
        boot: BootId,
    ) -> Result<CachedResponse, Problem> {
        let work = async {
            if boot == self.boot {
                self.local(duplicate.key).await
            } else if duplicate.headers.contains_key(JOIN_HEADER) {
                Err(CLAIMED_ELSEWHERE)
            } else {
                self.remote(duplicate, holder)
                    .await
                    .ok_or(CLAIMED_ELSEWHERE)
            }
        };
        timeout(JOIN_TIMEOUT, work)
            .await
            .unwrap_or(Err(CLAIMED_ELSEWHERE))
    }

    async fn local(&self, key: Digest) -> Result<CachedResponse, Problem> {
        match self.cache.get(key).await {
            Some(CacheEntry::Complete(response)) => Ok(CachedResponse {
                status: response.status,
                headers: response.headers.clone(),
                body: response.body.clone(),
            }),
            Some(CacheEntry::Refused(problem)) => Err(problem),
            Some(CacheEntry::Lost | CacheEntry::Pending) | None => Err(CLAIMED_ELSEWHERE),
        }
    }

    /// Forwards the duplicate to the holder's entry. On any failure the duplicate gets no response:
    /// running it here could execute it twice.
    async fn remote(&self, duplicate: Duplicate<'_>, holder: SocketAddr) -> Option<CachedResponse> {
        let uri = format!("http://{holder}{}", duplicate.path);
        let mut builder = HttpRequest::builder()
            .method(duplicate.request.method.as_str())
            .uri(uri)
            .header(JOIN_HEADER, "1");
        for name in [AUTHORIZATION.as_str(), IDEMPOTENCY_HEADER] {
            if let Some(value) = duplicate.headers.get(name) {
                builder = builder.header(name, value);
            }
        }
        let request = builder
            .body(Full::new(duplicate.request.body.clone()))
            .ok()?;
        let response = self.http.request(request).await.ok()?;
        if response
            .headers()
            .get("content-type")
            .is_some_and(|t| t == "application/problem+json")
        {
            return None;
        }
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .ok()?
            .to_bytes();
        let headers = response_headers(&parts.headers);
        Some(CachedResponse {
            status: parts.status.as_u16(),
            headers,
            body,
        })
    }
}
