//! HTTP calls to one address. Every call has a timeout and every answer a bound.
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

use super::CallError;

/// Longest time to make a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

type Pool = legacy::Client<HttpConnector, Full<Bytes>>;

/// Calls one address. Clones share connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    pool: Arc<ArcSwap<Pool>>,
}

/// What bounds a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Longest time from the call to the end of its answer.
    pub timeout: Duration,
    /// Largest answer, in bytes.
    pub max_response: usize,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl HttpClient {
    /// Calls to this address.
    pub fn new(addr: SocketAddr) -> Self {
        HttpClient {
            addr,
            pool: Arc::new(ArcSwap::from_pointee(new_pool())),
        }
    }

    /// Gets a path.
    ///
    /// # Errors
    /// Why there is no whole answer.
    pub async fn get(&self, path: &str, limits: CallLimits) -> Result<HttpResponse, CallError> {
        self.call(self.request(Method::GET, path, Bytes::new()), limits)
            .await
    }

    /// Posts bytes to a path.
    ///
    /// # Errors
    /// Why there is no whole answer.
    pub async fn post(
        &self,
        path: &str,
        body: Bytes,
        limits: CallLimits,
    ) -> Result<HttpResponse, CallError> {
        self.call(self.request(Method::POST, path, body), limits)
            .await
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<HttpResponse, CallError> {
        let pool = self.pool.load_full();
        let exchange = exchange(&pool, request, limits.max_response);
        let answer = tokio::time::timeout(limits.timeout, exchange).await;
        let answer = answer.unwrap_or(Err(CallError::Timeout));
        if matches!(answer, Err(CallError::Timeout | CallError::Broken(_))) {
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

impl HttpResponse {
    /// The body of a successful answer, decoded from JSON.
    ///
    /// # Errors
    /// When the status is no success, or the body is not such JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if !self.status.is_success() {
            return Err(CallError::Status(self.status.as_u16()));
        }
        self.decode()
    }

    /// The body, decoded from JSON, whatever the status.
    ///
    /// # Errors
    /// When the body is not such JSON.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::Malformed(error.to_string()))
    }
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
) -> Result<HttpResponse, CallError> {
    let response = pool.request(request).await.map_err(request_cause)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), limit).collect().await;
    let body = body.map_err(|error| body_cause(error, limit))?.to_bytes();
    Ok(HttpResponse { status, body })
}

fn request_cause(error: legacy::Error) -> CallError {
    let text = innermost(&error);
    if error.is_connect() {
        CallError::Connect(text)
    } else {
        CallError::Broken(text)
    }
}

fn body_cause(error: Box<dyn Error + Send + Sync>, limit: usize) -> CallError {
    if error.is::<LengthLimitError>() {
        return CallError::TooLarge(limit);
    }
    CallError::Broken(innermost(&*error))
}

fn innermost(error: &(dyn Error + 'static)) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
