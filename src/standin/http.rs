//! The HTTP server that all stand-ins share.

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

use super::query::BadNumber;

/// Most open connections.
pub const MAX_CONNECTIONS: usize = 8_192;
/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time for a request's headers to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The connection is dropped in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("connection dropped to order")]
pub struct Dropped;

/// An answer, or none.
pub type Answer = Result<Response<AnswerBody>, Dropped>;

/// A request that the stand-in cannot serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// What is wrong with it.
    pub message: String,
}

impl Refusal {
    /// A refusal with a message for people.
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        let message = message.into();
        Refusal { status, message }
    }

    /// The answer that tells the caller.
    pub fn answer(self) -> Answer {
        text(self.status, format!("{}\n", self.message))
    }
}

impl From<BadNumber> for Refusal {
    fn from(error: BadNumber) -> Self {
        Refusal::new(StatusCode::BAD_REQUEST, error.to_string())
    }
}

/// Body of an answer: whole, or in chunks as they are made.
#[derive(Debug)]
pub enum AnswerBody {
    /// All at once.
    Whole(Full<Bytes>),
    /// Chunk by chunk; an error drops the connection.
    Chunks(mpsc::Receiver<Result<Bytes, Dropped>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Dropped;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Dropped>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            AnswerBody::Chunks(chunks) => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Chunks(_) => SizeHint::default(),
        }
    }
}

/// When a stand-in is away: all connections drop when this changes, and new ones until it ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Absence {
    /// Its end; none when it has never been away.
    pub until: Option<Instant>,
}

impl Absence {
    /// Away from now on, for a while.
    pub fn lasting(span: Duration) -> Self {
        Absence {
            until: Some(Instant::now() + span),
        }
    }

    /// Whether it lasts still.
    pub fn lasts(&self) -> bool {
        self.until.is_some_and(|until| Instant::now() < until)
    }
}

/// Answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// The answer to one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;

    /// Tells when the stand-in is away.
    fn absence(&self) -> watch::Receiver<Absence>;
}

/// Serves connections until dropped; then all of them close.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H) {
    let absence = handler.absence();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let away = absence.borrow().lasts();
                    if !away && connections.len() < MAX_CONNECTIONS {
                        connections.spawn(connection(socket, handler.clone(), absence.clone()));
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection<H: Handler>(
    socket: TcpStream,
    handler: H,
    mut absence: watch::Receiver<Absence>,
) {
    // An answer is smaller than the unsent data that Nagle's algorithm would hold back.
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
    let serving = builder.serve_connection(TokioIo::new(socket), service);
    absence.mark_unchanged();
    tokio::select! {
        // A broken connection is the caller's affair.
        _ = serving => {}
        Ok(()) = absence.changed() => {}
    }
}

/// Reads a request's whole body.
///
/// # Errors
/// When the body breaks off or is longer than [`MAX_BODY_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(Refusal::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            error.to_string(),
        )),
    }
}

/// Reads a JSON body.
///
/// # Errors
/// When the body cannot be read or is not of this kind.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Refusal> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()))
}

/// An answer of plain bytes.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Full::new(body.into())));
    *answer.status_mut() = status;
    Ok(answer)
}

/// An answer of JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let body = serde_json::to_vec(value).expect("answers of stand-ins encode as JSON");
    let mut answer = text(status, body)?;
    answer.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Ok(answer)
}

/// The answer to an unknown path.
pub fn not_found() -> Answer {
    text(StatusCode::NOT_FOUND, "no such path\n")
}
