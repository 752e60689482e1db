//! HTTP server of the admin address: `/healthz`, `/readyz`, `/status` and process-specific paths.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum number of open admin connections; further ones are closed at once.
pub const MAX_CONNECTIONS: usize = 64;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// Maximum size of the buffer for a request's headers, in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Time limit for receiving a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for producing a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a connection, after which it is closed.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a failed `accept` is retried.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Provides the responses of a process's admin address.
pub trait Status: Send + Sync + 'static {
    /// The response to `/status`.
    fn status(&self) -> impl Future<Output = Value> + Send;

    /// The response to another path, which starts with `/`, or `None` if there is no such path.
    fn extra(&self, path: &str) -> impl Future<Output = Option<Value>> + Send {
        let _ = path;
        async { None }
    }
}

/// Serves the admin address until the future is dropped, which closes its connections.
pub async fn serve<S: Status>(listener: TcpListener, status: Arc<S>, ready: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(connection(socket, status.clone(), ready.clone()));
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection<S: Status>(socket: TcpStream, status: Arc<S>, ready: watch::Receiver<bool>) {
    let service = service_fn(move |request| {
        let status = status.clone();
        let ready = *ready.borrow();
        async move { Ok::<_, std::convert::Infallible>(respond(request, &*status, ready).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(socket), service);
    // Connection errors and time-outs concern only the client.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, serving).await;
}

async fn respond<S: Status>(
    request: Request<Incoming>,
    status: &S,
    ready: bool,
) -> Response<Full<Bytes>> {
    if request.method() != Method::GET && request.method() != Method::HEAD {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered\n");
    }
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" if ready => text(StatusCode::OK, "ready\n"),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        path => match tokio::time::timeout(RESPONSE_TIMEOUT, look_up(status, path)).await {
            Ok(Some(value)) => json(&value),
            Ok(None) => text(StatusCode::NOT_FOUND, "no such path\n"),
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "timed out\n"),
        },
    }
}

async fn look_up<S: Status>(status: &S, path: &str) -> Option<Value> {
    match path {
        "/status" => Some(status.status().await),
        path => status.extra(path).await,
    }
}

fn text(code: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = code;
    response
}

fn json(value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
