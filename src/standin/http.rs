//! HTTP server used by all stand-ins.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::query::InvalidNumber;

/// Maximum number of open connections.
pub const MAX_CONNECTIONS: usize = 8_192;
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for reading the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// An injected fault drops the connection instead of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("connection dropped by an injected fault")]
pub struct ConnectionDropped;

/// Response, or the instruction to drop the connection.
pub type HandlerResult = Result<Response<ResponseBody>, ConnectionDropped>;

/// Error response to a request that cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpError {
    pub status: StatusCode,
    /// Text for the response body.
    pub message: String,
}

impl HttpError {
    /// Creates an error with a human-readable message.
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        let message = message.into();
        HttpError { status, message }
    }

    /// Converts the error into a response.
    pub fn into_response(self) -> HandlerResult {
        text(self.status, format!("{}\n", self.message))
    }
}

impl From<InvalidNumber> for HttpError {
    fn from(error: InvalidNumber) -> Self {
        HttpError::new(StatusCode::BAD_REQUEST, error.to_string())
    }
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body, kept in memory.
    Buffered(Full<Bytes>),
    /// Chunks sent as they are produced. An error drops the connection.
    Streamed(mpsc::Receiver<Result<Bytes, ConnectionDropped>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ConnectionDropped;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionDropped>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            ResponseBody::Streamed(chunks) => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.is_end_stream(),
            ResponseBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Outage of a stand-in. Open connections are dropped when an outage starts, new ones until it ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// End of the outage. `None` if there was no outage yet.
    pub until: Option<Instant>,
}

impl Outage {
    /// Starts an outage that ends after `duration`.
    pub fn for_duration(duration: Duration) -> Self {
        Outage {
            until: Some(Instant::now() + duration),
        }
    }

    /// Returns whether the outage has not ended yet.
    pub fn is_active(&self) -> bool {
        self.until.is_some_and(|until| Instant::now() < until)
    }
}

/// Request handler of a stand-in.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HandlerResult> + Send;

    /// Returns a receiver of the outages of the stand-in.
    fn outage(&self) -> watch::Receiver<Outage>;
}

/// Serves connections until the future is dropped, which closes all connections.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H) {
    let outage = handler.outage();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let is_out = outage.borrow().is_active();
                    if !is_out && connections.len() < MAX_CONNECTIONS {
                        connections.spawn(serve_connection(socket, handler.clone(), outage.clone()));
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: Handler>(
    socket: TcpStream,
    handler: H,
    mut outage: watch::Receiver<Outage>,
) {
    // Nagle's algorithm would hold back small responses.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    outage.mark_unchanged();
    tokio::select! {
        // Connection errors concern only the caller.
        _ = connection => {}
        Ok(()) = outage.changed() => {}
    }
}

/// Reads the complete body of a request.
///
/// # Errors
/// Returns an error if the body is truncated or longer than [`MAX_BODY_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes, HttpError> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(HttpError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            error.to_string(),
        )),
    }
}

/// Reads a JSON body.
///
/// # Errors
/// Returns an error if the body cannot be read or does not deserialize to `T`.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, HttpError> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| HttpError::new(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Builds a plain response.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> HandlerResult {
    let mut response = Response::new(ResponseBody::Buffered(Full::new(body.into())));
    *response.status_mut() = status;
    Ok(response)
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let body = serde_json::to_vec(value).expect("stand-in response serializes to JSON");
    let mut response = text(status, body)?;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Builds the response to an unknown path.
pub fn not_found() -> HandlerResult {
    text(StatusCode::NOT_FOUND, "no such path\n")
}
