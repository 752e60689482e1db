//! The entry's HTTP server towards callers.

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
use crate::entry::replay::{Repeat, ReplayClient};
use crate::entry::request::{self, Request};
use crate::entry::request_task::{
    BodyPart, QUEUE_RETRY, RequestTask, ResponseHead, ResponseSender, TaskContext,
};
use crate::entry::response_cache::{CachedResponse, Copy, ResponseCache};
use crate::entry::routes::EVENT_CAPACITY;
use crate::ids::{AccountKey, RequestId, ServiceKey};
use crate::problem::{Problem, Reason};
use crate::rules::Table;
use crate::telemetry::{Span, TraceContext};
use crate::wire::Header;

/// Longest time to read a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time to read a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pieces of an answer that wait for a slow caller.
const BODY_PIECES: usize = 16;
/// Time for requests that are on their way when the entry starts to drain.
const LAST_REQUESTS: Duration = Duration::from_millis(100);
/// Most open connections of callers.
const MAX_CONNECTIONS: usize = 16_384;
/// Most concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;

/// What every caller's connection needs.
#[derive(Clone)]
pub struct HttpServer {
    /// What flights share.
    pub context: TaskContext,
    /// ResponseCache to keyed requests.
    pub cache: ResponseCache,
    /// Gets answers of other requests with the same key.
    pub replay: ReplayClient,
    /// The rules in force.
    pub rules: watch::Receiver<Arc<Table>>,
    /// Cancelled when the entry stops taking requests.
    pub drain: CancellationToken,
}

/// An answer's body: a short text, or pieces as they come.
type AnswerBody = Either<Full<Bytes>, Pieces>;

/// A body fed by a [`RequestTask`].
#[derive(Debug)]
pub struct Pieces {
    pieces: mpsc::Receiver<BodyPart>,
}

/// The answer broke off; the connection is reset so that the caller sees it.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenAnswer;

impl Body for Pieces {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        self.pieces.poll_recv(context).map(|piece| match piece {
            Some(BodyPart::Data(data)) => Some(Ok(Frame::data(data))),
            Some(BodyPart::End) => None,
            None => Some(Err(BrokenAnswer)),
        })
    }
}

impl HttpServer {
    /// Serves callers until `drain` is cancelled, then finishes what it has.
    pub async fn listen(self, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        while let Some((stream, place)) = self.next(&listener, &places).await {
            self.serve(stream, place, &graceful);
        }
        // Callers who were let in by the system before the drain get a true refusal.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            let Ok(place) = places.clone().try_acquire_owned() else {
                break;
            };
            self.serve(stream, place, &graceful);
        }
        drop(listener);
        // A fresh connection is closed without an answer when its request has not been read yet.
        tokio::time::sleep(LAST_REQUESTS).await;
        graceful.shutdown().await;
    }

    /// The next caller's connection; `None` once the entry drains. Above [`MAX_CONNECTIONS`]
    /// callers wait in the system's queue.
    async fn next(
        &self,
        listener: &TcpListener,
        places: &Arc<Semaphore>,
    ) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let accept = async {
            let place = places.clone().acquire_owned().await;
            let place = place.expect("the semaphore is never closed");
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => return (stream, place),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        };
        tokio::select! {
            () = self.drain.cancelled() => None,
            accepted = accept => Some(accepted),
        }
    }

    fn serve(&self, stream: TcpStream, place: OwnedSemaphorePermit, graceful: &GracefulShutdown) {
        // Without it answers only wait longer.
        let _ = stream.set_nodelay(true);
        let http = self.clone();
        let service = service_fn(move |request| {
            let http = http.clone();
            async move { Ok::<_, Infallible>(http.answer(request).await) }
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
            let _place = place;
            // A caller's broken connection concerns nobody else.
            let _ = connection.await;
        });
    }

    async fn answer(self, http: HttpRequest<Incoming>) -> Response<AnswerBody> {
        let id = RequestId::random();
        let mut response = match self.request(id, http).await {
            Ok(response) => response,
            Err(problem) => problem_response(problem, id),
        };
        let value = HeaderValue::from_str(&id.to_string()).expect("hexadecimal is a header value");
        response
            .headers_mut()
            .insert(HeaderName::from_static(request::REQUEST_ID_HEADER), value);
        response
    }

    async fn request(
        self,
        id: RequestId,
        http: HttpRequest<Incoming>,
    ) -> Result<Response<AnswerBody>, Problem> {
        if self.drain.is_cancelled() {
            return Err(Problem::not_run(503, Reason::Draining).retry_after(QUEUE_RETRY));
        }
        let table = self.rules.borrow().clone();
        let account = request::authenticate(http.headers(), &table)?;
        let (name, path) = request::split_path(http.uri())?;
        let service = table
            .service(name)
            .ok_or(Problem::not_run(404, Reason::NoService))?;
        let above: Option<TraceContext> = request::trace(http.headers());
        let mut span = self.context.telemetry.span("entry", above.as_ref());
        span.note("request", id.to_string());
        span.note("service", name.to_owned());
        let (parts, body) = http.into_parts();
        let arrived = Arrived {
            id,
            account,
            service,
            path,
            trace: span.context(),
        };
        let request = read(arrived, &parts, body, &table).await?;
        if request.key.is_some() && !request.idempotent {
            return self.keyed(request, &parts, &table, span).await;
        }
        let head = self.fly(request, &table, span)?;
        let (head, pieces) = (head.head, head.body);
        let head = head
            .await
            .map_err(|_| Problem::unknown(502, Reason::OutcomeUnknown))??;
        Ok(respond(head, Pieces { pieces }, &parts.method).await)
    }

    /// Runs a request under its idempotency key, or gets the answer of the one that holds it.
    async fn keyed(
        self,
        mut request: Request,
        parts: &Parts,
        table: &Table,
        span: Span,
    ) -> Result<Response<AnswerBody>, Problem> {
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
                let flown = match self.clone().fly(request, table, span) {
                    Ok(flown) => flown,
                    Err(problem) => {
                        self.context.claims.finish(id, ClaimOutcome::NotRun);
                        return Err(problem);
                    }
                };
                let (head_in, head) = oneshot::channel();
                let (body_in, pieces) = mpsc::channel(BODY_PIECES);
                let copy = Copy {
                    head: head_in,
                    body: body_in,
                };
                tokio::spawn(cache.keep(key, flown.head, flown.body, copy));
                let head = head
                    .await
                    .map_err(|_| Problem::unknown(502, Reason::OutcomeUnknown))??;
                Ok(respond(head, Pieces { pieces }, &parts.method).await)
            }
            ClaimResult::Held(holder, boot, _) => {
                let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
                let repeat = Repeat {
                    request: &request,
                    path,
                    headers: &parts.headers,
                    key,
                };
                let answer = self.replay.answer(repeat, holder, boot).await?;
                Ok(whole_response(answer))
            }
        }
    }

    /// Hands the request to the dispatcher. Its answer comes through the returned channels.
    fn fly(self, request: Request, table: &Table, span: Span) -> Result<Flown, Problem> {
        let history = &self.context.history;
        history.start(&request);
        let trial = self
            .context
            .quarantine
            .admit(&request)
            .inspect_err(|&problem| {
                history.record(request.id, Step::Ended(Outcome::Refused(problem)));
            })?;
        let allowed = table.service_at(request.service).deadline;
        let (events_in, events) = mpsc::channel(EVENT_CAPACITY);
        let (body_in, body) = mpsc::channel(BODY_PIECES);
        let (head_in, head) = oneshot::channel();
        let arrive = Enqueue {
            request: Arc::new(request),
            events: events_in,
            deadline: self.context.clock.now() + allowed,
            response_started: Arc::default(),
        };
        let caller = ResponseSender::new(head_in, body_in);
        let flight = RequestTask::new(self.context, &arrive, events, caller).trial(trial);
        // A task of its own: a caller that goes away must not tear it from its place.
        tokio::spawn(flight.run(arrive, span));
        Ok(Flown { head, body })
    }
}

/// The answer of a request that is under way.
struct Flown {
    head: oneshot::Receiver<Result<ResponseHead, Problem>>,
    body: mpsc::Receiver<BodyPart>,
}

/// What is known of a request before its headers and body are read.
struct Arrived {
    id: RequestId,
    account: AccountKey,
    service: ServiceKey,
    path: String,
    trace: TraceContext,
}

/// Pause after the listener failed to accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Reads the rest of the request: headers to pass on and the whole body.
async fn read(
    arrived: Arrived,
    parts: &Parts,
    body: Incoming,
    table: &Table,
) -> Result<Request, Problem> {
    let Arrived {
        id,
        account,
        service,
        path,
        trace,
    } = arrived;
    let limit = usize::try_from(table.account_at(account).body_limit).unwrap_or(usize::MAX);
    let headers = request::passed_headers(parts)?;
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

/// The answer to the caller. One that can have no content is awaited to its end here: the server
/// would not read it, and the request would seem abandoned.
async fn respond(head: ResponseHead, mut pieces: Pieces, method: &Method) -> Response<AnswerBody> {
    let bodiless = method == Method::HEAD || matches!(head.status, 204 | 304);
    if !bodiless {
        return head_response(head, Either::Right(pieces));
    }
    while let Some(BodyPart::Data(_)) = pieces.pieces.recv().await {}
    head_response(head, Either::Left(Full::default()))
}

fn head_response(head: ResponseHead, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    put_headers(&mut response, head.headers);
    response
}

fn put_headers(response: &mut Response<AnswerBody>, headers: Vec<Header>) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}

fn whole_response(answer: CachedResponse) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::from(answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    put_headers(&mut response, answer.headers);
    response
}

fn problem_response(problem: Problem, id: RequestId) -> Response<AnswerBody> {
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
