//! The platform's HTTP client. Every call has a timeout and every answer a bound.
//!
//! A connection that went silent is found by its call's timeout; later calls then use new
//! connections, so it delays one call and no more.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

use super::wire::{Appended, Expired, WireHost, WirePage};
use super::{AppendError, Cause, Host, Hosts, Log, Page, ReadError, Stream};

/// Longest time to make a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for an append, and for a read beyond the time that it may wait for a record.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an unused connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer to an append, in bytes.
pub const MAX_APPEND_ANSWER_BYTES: usize = 4 * 1024;
/// Largest answer to a read, in bytes.
pub const MAX_READ_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Largest host list, in bytes.
pub const MAX_HOSTS_ANSWER_BYTES: usize = 4 * 1024 * 1024;

type Pool = legacy::Client<HttpConnector, Full<Bytes>>;

/// A client of the platform's log and host list. Clones share connections.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    pool: Arc<ArcSwap<Pool>>,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// A client of the platform at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Client {
            addr,
            pool: Arc::new(ArcSwap::from_pointee(new_pool())),
        }
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Answer, Cause> {
        let pool = self.pool.load_full();
        let answer = tokio::time::timeout(timeout, exchange(&pool, request, limit)).await;
        let answer = answer.unwrap_or(Err(Cause::Timeout));
        if matches!(answer, Err(Cause::Timeout | Cause::Broken(_))) {
            self.pool.store(Arc::new(new_pool()));
        }
        answer
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(CONTENT_TYPE, "application/octet-stream")
            .body(Full::new(body))
            .expect("method, address and path make a request")
    }
}

impl Log for Client {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<u64, AppendError> {
        let path = format!("/log/{}", stream.0);
        let request = self.request(Method::POST, &path, data);
        let answer = self
            .call(request, MAX_APPEND_ANSWER_BYTES, CALL_TIMEOUT)
            .await?;
        let appended: Appended = answer.json()?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: Stream, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let path = format!("/log/{}?from={from}&wait_ms={}", stream.0, wait.as_millis());
        let request = self.request(Method::GET, &path, Bytes::new());
        let answer = self
            .call(request, MAX_READ_ANSWER_BYTES, wait + CALL_TIMEOUT)
            .await?;
        if answer.status == StatusCode::GONE {
            let Expired { first } = decode(&answer.body)?;
            return Err(ReadError::Expired { first });
        }
        let page: WirePage = answer.json()?;
        Ok(Page::try_from(page)?)
    }
}

impl Hosts for Client {
    async fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        let request = self.request(Method::GET, "/hosts", Bytes::new());
        let answer = self
            .call(request, MAX_HOSTS_ANSWER_BYTES, CALL_TIMEOUT)
            .await?;
        let hosts: Vec<WireHost> = answer.json()?;
        let hosts: Result<Vec<Host>, Cause> = hosts.into_iter().map(Host::try_from).collect();
        Ok(hosts?)
    }
}

impl Answer {
    fn json<T: DeserializeOwned>(&self) -> Result<T, Cause> {
        if !self.status.is_success() {
            return Err(Cause::Status(self.status.as_u16()));
        }
        decode(&self.body)
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Cause> {
    serde_json::from_slice(body).map_err(|error| Cause::Malformed(error.to_string()))
}

fn new_pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

async fn exchange(
    pool: &Pool,
    request: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Answer, Cause> {
    let response = pool.request(request).await.map_err(request_cause)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), limit);
    let body = body
        .collect()
        .await
        .map_err(|error| body_cause(&*error, limit))?
        .to_bytes();
    Ok(Answer { status, body })
}

fn request_cause(error: legacy::Error) -> Cause {
    let text = innermost(&error);
    if error.is_connect() {
        Cause::Connect(text)
    } else {
        Cause::Broken(text)
    }
}

fn body_cause(error: &(dyn Error + Send + Sync + 'static), limit: usize) -> Cause {
    if error.is::<LengthLimitError>() {
        return Cause::TooLarge(limit);
    }
    Cause::Broken(innermost(error))
}

fn innermost(error: &(dyn Error + 'static)) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
