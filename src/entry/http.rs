//! The HTTP server for callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Method, Request as HttpRequest, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::attempt::Outcome;
use crate::claim::{ClaimOutcome, Digest};
use crate::entry::history::Step;
use crate::entry::idempotency::ClaimResult;
use crate::entry::messages::Enqueue;
use crate::entry::replay::{Duplicate, ReplayClient};
use crate::entry::request::{self, Request};
use crate::entry::request_task::{
    BodyPart, DRAIN_RETRY, RequestTask, ResponseHead, ResponseSender, TaskContext,
};
use crate::entry::response_cache::{CachedResponse, CallerSink, ResponseCache};
use crate::entry::routes::EVENT_CAPACITY;
use crate::ids::{AccountKey, RequestId, ServiceKey};
use crate::problem::{Problem, Reason};
use crate::rules::Table;
use crate::telemetry::{Span, TraceContext};
use crate::wire::Header;

/// Maximum time to read a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to read a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of response body parts buffered for a slow caller.
const BODY_PARTS: usize = 16;
/// Time to read requests that are in transit when the entry starts to drain.
const DRAIN_GRACE: Duration = Duration::from_millis(100);
/// Maximum number of open connections of callers.
const MAX_CONNECTIONS: usize = 16_384;
/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;

/// The server. Each connection gets a clone.
#[derive(Clone)]
pub struct HttpServer {
    /// The parts of the entry that request tasks use.
    pub context: TaskContext,
    /// Responses to requests with idempotency keys.
    pub cache: ResponseCache,
    /// Fetches the responses for duplicates of such requests.
    pub replay: ReplayClient,
    /// The current rules.
    pub rules: watch::Receiver<Arc<Table>>,
    /// Cancelled to make the entry stop accepting requests.
    pub drain: CancellationToken,
}

/// A response body: complete, or streamed.
type ResponseBody = Either<Full<Bytes>, StreamedBody>;

/// A body streamed by a [`RequestTask`].
#[derive(Debug)]
pub struct StreamedBody {
    receiver: mpsc::Receiver<BodyPart>,
}

/// The response was aborted. The connection is reset, so that the caller sees an error.
#[derive(Debug, thiserror::Error)]
#[error("response body ended before it was complete")]
pub struct IncompleteResponse;

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        self.receiver.poll_recv(context).map(|part| match part {
            Some(BodyPart::Data(data)) => Some(Ok(Frame::data(data))),
            Some(BodyPart::End) => None,
            None => Some(Err(IncompleteResponse)),
        })
    }
}

impl HttpServer {
    /// Serves callers until `drain` is cancelled, then finishes open requests.
    pub async fn listen(self, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        while let Some((stream, permit)) = self.next_connection(&listener, &permits).await {
            self.serve(stream, permit, &graceful);
        }
        // Connections in the system's backlog get a 503 response instead of a reset.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                break;
            };
            self.serve(stream, permit, &graceful);
        }
        drop(listener);
        // Graceful shutdown closes a new connection without a response if its request has not been
        // read yet.
        tokio::time::sleep(DRAIN_GRACE).await;
        graceful.shutdown().await;
    }

    /// Accepts the next connection. Returns `None` once the entry drains. Connections above
    /// [`MAX_CONNECTIONS`] stay in the system's backlog.
    async fn next_connection(
        &self,
        listener: &TcpListener,
        permits: &Arc<Semaphore>,
    ) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let accept = async {
            let permit = permits.clone().acquire_owned().await;
            let permit = permit.expect("the semaphore is never closed");
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => return (stream, permit),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        };
        tokio::select! {
            () = self.drain.cancelled() => None,
            accepted = accept => Some(accepted),
        }
    }

    fn serve(&self, stream: TcpStream, permit: OwnedSemaphorePermit, graceful: &GracefulShutdown) {
        // A failure only adds latency.
        let _ = stream.set_nodelay(true);
        let http = self.clone();
        let service = service_fn(move |request| {
            let http = http.clone();
            async move { Ok::<_, Infallible>(http.handle(request).await) }
        });
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS);
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _permit = permit;
            // An error of one connection does not affect others.
            let _ = connection.await;
        });
    }

    async fn handle(self, http: HttpRequest<Incoming>) -> Response<ResponseBody> {
        let id = RequestId::random();
        let mut response = match self.handle_request(id, http).await {
            Ok(response) => response,
            Err(problem) => problem_response(problem, id),
        };
        let value = HeaderValue::from_str(&id.to_string()).expect("hexadecimal is a header value");
        response
            .headers_mut()
            .insert(HeaderName::from_static(request::REQUEST_ID_HEADER), value);
        response
    }

    async fn handle_request(
        self,
        id: RequestId,
        http: HttpRequest<Incoming>,
    ) -> Result<Response<ResponseBody>, Problem> {
        if self.drain.is_cancelled() {
            return Err(Problem::not_run(503, Reason::Draining).retry_after(DRAIN_RETRY));
        }
        let table = self.rules.borrow().clone();
        let account = request::authenticate(http.headers(), &table)?;
        let (name, path) = request::split_path(http.uri())?;
        let service = table
            .service(name)
            .ok_or(Problem::not_run(404, Reason::NoService))?;
        let parent: Option<TraceContext> = request::trace_context(http.headers());
        let mut span = self.context.telemetry.span("entry", parent.as_ref());
        span.set_attribute("request", id.to_string());
        span.set_attribute("service", name.to_owned());
        let (parts, body) = http.into_parts();
        let info = RequestInfo {
            id,
            account,
            service,
            path,
            trace: span.context(),
        };
        let request = read_request(info, &parts, body, &table).await?;
        if request.key.is_some() && !request.idempotent {
            return self.handle_keyed(request, &parts, &table, span).await;
        }
        let pending = self.start_task(request, &table, span)?;
        let (head, receiver) = (pending.head, pending.body);
        let head = head
            .await
            .map_err(|_| Problem::unknown(502, Reason::OutcomeUnknown))??;
        Ok(respond(head, StreamedBody { receiver }, &parts.method).await)
    }

    /// Runs a request under its idempotency key, or replays the response of the key's holder.
    async fn handle_keyed(
        self,
        mut request: Request,
        parts: &Parts,
        table: &Table,
        span: Span,
    ) -> Result<Response<ResponseBody>, Problem> {
        let account = &table.account_at(request.account).name;
        let name = request.key.clone().unwrap_or_default();
        let key = Digest::of_key(account, name.as_bytes());
        match self
            .context
            .claims
            .claim(account, &name, request.digest())
            .await?
        {
            ClaimResult::Acquired(id) => {
                request.claim = Some(id);
                let cache = self.cache.clone();
                let pending = match self.clone().start_task(request, table, span) {
                    Ok(pending) => pending,
                    Err(problem) => {
                        self.context.claims.finish(id, ClaimOutcome::NotRun);
                        return Err(problem);
                    }
                };
                let (head_in, head) = oneshot::channel();
                let (body_in, receiver) = mpsc::channel(BODY_PARTS);
                let caller = CallerSink {
                    head: head_in,
                    body: body_in,
                };
                tokio::spawn(cache.record_and_forward(key, pending.head, pending.body, caller));
                let head = head
                    .await
                    .map_err(|_| Problem::unknown(502, Reason::OutcomeUnknown))??;
                Ok(respond(head, StreamedBody { receiver }, &parts.method).await)
            }
            ClaimResult::Held(holder, boot, _) => {
                let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
                let duplicate = Duplicate {
                    request: &request,
                    path,
                    headers: &parts.headers,
                    key,
                };
                let cached = self.replay.response(duplicate, holder, boot).await?;
                Ok(cached_response(cached))
            }
        }
    }

    /// Spawns the task of a request. The response arrives through the returned channels.
    fn start_task(
        self,
        request: Request,
        table: &Table,
        span: Span,
    ) -> Result<PendingResponse, Problem> {
        let history = &self.context.history;
        history.start(&request);
        let trial = self
            .context
            .quarantine
            .admit(&request)
            .inspect_err(|&problem| {
                history.record(request.id, Step::Ended(Outcome::Refused(problem)));
            })?;
        let timeout = table.service_at(request.service).deadline;
        let (events_in, events) = mpsc::channel(EVENT_CAPACITY);
        let (body_in, body) = mpsc::channel(BODY_PARTS);
        let (head_in, head) = oneshot::channel();
        let enqueue = Enqueue {
            request: Arc::new(request),
            events: events_in,
            deadline: self.context.clock.now() + timeout,
            response_started: Arc::default(),
        };
        let caller = ResponseSender::new(head_in, body_in);
        let task = RequestTask::new(self.context, &enqueue, events, caller).with_trial(trial);
        // A separate task, so that the request keeps its state when the caller disconnects.
        tokio::spawn(task.run(enqueue, span));
        Ok(PendingResponse { head, body })
    }
}

/// The response channels of a request in progress.
struct PendingResponse {
    head: oneshot::Receiver<Result<ResponseHead, Problem>>,
    body: mpsc::Receiver<BodyPart>,
}

/// What is known of a request before its headers and body are checked.
struct RequestInfo {
    id: RequestId,
    account: AccountKey,
    service: ServiceKey,
    path: String,
    trace: TraceContext,
}

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Checks the headers and reads the complete body.
async fn read_request(
    info: RequestInfo,
    parts: &Parts,
    body: Incoming,
    table: &Table,
) -> Result<Request, Problem> {
    let RequestInfo {
        id,
        account,
        service,
        path,
        trace,
    } = info;
    let limit = usize::try_from(table.account_at(account).body_limit).unwrap_or(usize::MAX);
    let headers = request::forwarded_headers(parts)?;
    let key = request::idempotency_key(&parts.headers)?;
    let body = read_body(body, limit).await?;
    let rule = table.service_at(service);
    Ok(Request {
        id,
        account,
        service,
        service_name: rule.name.clone(),
        idempotent: rule.repeatable || request::is_idempotent(&parts.method),
        method: parts.method.to_string(),
        path,
        headers,
        body,
        key,
        claim: None,
        cost_hint: request::cost_hint(&parts.headers),
        trace: Some(trace),
    })
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Problem> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Problem::not_run(413, Reason::BodyTooLarge));
    }
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(Problem::not_run(413, Reason::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Problem::not_run(400, Reason::BadRequest)),
        Err(_) => Err(Problem::not_run(408, Reason::BadRequest)),
    }
}

/// Builds the response to the caller. The body of a response without content is read to its end
/// here: the HTTP server would drop the body unread, and the request task would take this for a
/// disconnect of the caller.
async fn respond(
    head: ResponseHead,
    mut body: StreamedBody,
    method: &Method,
) -> Response<ResponseBody> {
    let bodiless = method == Method::HEAD || matches!(head.status, 204 | 304);
    if !bodiless {
        return head_response(head, Either::Right(body));
    }
    while let Some(BodyPart::Data(_)) = body.receiver.recv().await {}
    head_response(head, Either::Left(Full::default()))
}

fn head_response(head: ResponseHead, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    put_headers(&mut response, head.headers);
    response
}

fn put_headers(response: &mut Response<ResponseBody>, headers: Vec<Header>) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}

fn cached_response(cached: CachedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(Either::Left(Full::from(cached.body)));
    *response.status_mut() = StatusCode::from_u16(cached.status).unwrap_or(StatusCode::BAD_GATEWAY);
    put_headers(&mut response, cached.headers);
    response
}

fn problem_response(problem: Problem, id: RequestId) -> Response<ResponseBody> {
    let body = problem.body(&id.to_string());
    let mut response = Response::new(Either::Left(Full::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).expect("problems have valid statuses");
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    if let Some(wait) = problem.retry_after {
        let seconds = HeaderValue::from(wait.as_secs().max(1));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
