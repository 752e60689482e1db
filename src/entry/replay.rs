//! A repeat of a keyed request: gets the answer of the request that holds the key.

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
use crate::entry::request::{IDEMPOTENCY_HEADER, Request, answer_headers};
use crate::entry::response_cache::{CacheEntry, CachedResponse, MAX_ANSWER_BYTES, ResponseCache};
use crate::ids::BootId;
use crate::problem::{Problem, Reason};

/// Header that marks a repeat passed on between entries; it is not passed on again.
pub const JOIN_HEADER: &str = "x-balsampitch-join";

/// Longest wait for the holder's answer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The request that holds the key is another's, and its answer cannot be had.
const ELSEWHERE: Problem = Problem::unknown(409, Reason::ClaimedElsewhere);

/// Gets answers of requests that hold a key.
#[derive(Clone)]
pub struct ReplayClient {
    cache: ResponseCache,
    http: Client<HttpConnector, Full<Bytes>>,
    boot: BootId,
}

/// A repeat, as the caller sent it.
#[derive(Clone, Copy, Debug)]
pub struct Repeat<'a> {
    /// The request.
    pub request: &'a Request,
    /// Path and query as the caller sent them.
    pub path: &'a str,
    /// Headers as the caller sent them.
    pub headers: &'a HeaderMap,
    /// Digest of account and key.
    pub key: Digest,
}

impl ReplayClient {
    /// A replay for an entry in this run.
    pub fn new(cache: ResponseCache, boot: BootId) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        ReplayClient { cache, http, boot }
    }

    /// The holder's answer, from here or from the entry that holds it.
    ///
    /// # Errors
    /// 409 when the answer cannot be had; the holder's own refusal when it was refused.
    pub async fn answer(
        &self,
        repeat: Repeat<'_>,
        holder: SocketAddr,
        boot: BootId,
    ) -> Result<CachedResponse, Problem> {
        let work = async {
            if boot == self.boot {
                self.here(repeat.key).await
            } else if repeat.headers.contains_key(JOIN_HEADER) {
                Err(ELSEWHERE)
            } else {
                self.there(repeat, holder).await.ok_or(ELSEWHERE)
            }
        };
        timeout(JOIN_TIMEOUT, work).await.unwrap_or(Err(ELSEWHERE))
    }

    async fn here(&self, key: Digest) -> Result<CachedResponse, Problem> {
        match self.cache.wait(key).await {
            Some(CacheEntry::Complete(answer)) => Ok(CachedResponse {
                status: answer.status,
                headers: answer.headers.clone(),
                body: answer.body.clone(),
            }),
            Some(CacheEntry::Refused(problem)) => Err(problem),
            Some(CacheEntry::Lost | CacheEntry::Pending) | None => Err(ELSEWHERE),
        }
    }

    /// Asks the holder's entry with the caller's own request. Whatever comes back other than the
    /// answer leaves the repeat without one: it is never run here.
    async fn there(&self, repeat: Repeat<'_>, holder: SocketAddr) -> Option<CachedResponse> {
        let uri = format!("http://{holder}{}", repeat.path);
        let mut builder = HttpRequest::builder()
            .method(repeat.request.method.as_str())
            .uri(uri)
            .header(JOIN_HEADER, "1");
        for name in [AUTHORIZATION.as_str(), IDEMPOTENCY_HEADER] {
            if let Some(value) = repeat.headers.get(name) {
                builder = builder.header(name, value);
            }
        }
        let request = builder.body(Full::new(repeat.request.body.clone())).ok()?;
        let response = self.http.request(request).await.ok()?;
        if response
            .headers()
            .get("content-type")
            .is_some_and(|t| t == "application/problem+json")
        {
            return None;
        }
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .ok()?
            .to_bytes();
        let headers = answer_headers(&parts.headers);
        Some(CachedResponse {
            status: parts.status.as_u16(),
            headers,
            body,
        })
    }
}
