//! HTTP client for one address. Every call has a timeout and a size limit for its response.
//!
//! After a timeout or a lost connection, later calls use a new connection pool, so that a
//! connection that stops responding delays no later calls.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

use super::CallError;

/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept open.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

type Pool = legacy::Client<HttpConnector, Full<Bytes>>;

/// HTTP client for one address. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    pool: Arc<ArcSwap<Pool>>,
}

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Maximum time from the start of the call to the end of its response.
    pub timeout: Duration,
    /// Maximum size of the response body, in bytes.
    pub max_response: usize,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client for this address.
    pub fn new(addr: SocketAddr) -> Self {
        HttpClient {
            addr,
            pool: Arc::new(ArcSwap::from_pointee(new_pool())),
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// Returns an error if the path is no part of a URI, or if no complete response within the limits
    /// was received.
    pub async fn get(&self, path: &str, limits: CallLimits) -> Result<HttpResponse, CallError> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        self.call(request, limits).await
    }

    /// Sends a POST request with a body.
    ///
    /// # Errors
    /// Returns an error if the path is no part of a URI, or if no complete response within the limits
    /// was received.
    pub async fn post(
        &self,
        path: &str,
        body: Bytes,
        limits: CallLimits,
    ) -> Result<HttpResponse, CallError> {
        let request = self.request(Method::POST, path, body)?;
        self.call(request, limits).await
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<HttpResponse, CallError> {
        let pool = self.pool.load_full();
        let exchange = exchange(&pool, request, limits.max_response);
        let response = tokio::time::timeout(limits.timeout, exchange).await;
        let response = response.unwrap_or(Err(CallError::Timeout));
        if matches!(response, Err(CallError::Timeout | CallError::Broken(_))) {
            self.pool.store(Arc::new(new_pool()));
        }
        response
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(CONTENT_TYPE, "application/octet-stream")
            .body(Full::new(body))
            .map_err(|error| CallError::InvalidRequest(error.to_string()))
    }
}

impl HttpResponse {
    /// Decodes the JSON body of a successful response.
    ///
    /// # Errors
    /// Returns an error if the status is not a success or the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if !self.status.is_success() {
            return Err(CallError::Status(self.status.as_u16()));
        }
        self.decode()
    }

    /// Decodes the JSON body regardless of the status.
    ///
    /// # Errors
    /// Returns an error if the body is not the expected JSON.
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
    let response = pool.request(request).await.map_err(request_error)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|error| body_error(error, limit))?.to_bytes();
    Ok(HttpResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn request_error(error: legacy::Error) -> CallError {
    let text = root_cause(&error);
    if error.is_connect() {
        CallError::Connect(text)
    } else {
        CallError::Broken(text)
    }
}

fn body_error(error: Box<dyn Error + Send + Sync>, limit: usize) -> CallError {
    if error.is::<LengthLimitError>() {
        return CallError::TooLarge(limit);
    }
    CallError::Broken(root_cause(&*error))
}

fn root_cause(error: &(dyn Error + 'static)) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
