//! Runs a dispatched request on the target and relays the response to the entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use xtra::WeakAddress;

use crate::agent::core::Core;
use crate::agent::messages::{ResponseReleased, RunFinished};
use crate::conn::Outbox;
use crate::entry::request::{
    ACCOUNT_HEADER, FENCE_HEADER, REQUEST_ID_HEADER, TRACE_HEADER, head_bytes, response_headers,
};
use crate::ids::DispatchId;
use crate::replay_buffer::ReplayBuffer;
use crate::telemetry::{Telemetry, TraceContext};
use crate::units::Micros;
use crate::wire::{
    Dispatch, DispatchState, Finish, Header, MAX_CHUNK_BYTES, MAX_RESPONSE_HEAD_BYTES, ToEntry,
};

/// Time for which a finished run keeps its response while the entry neither acknowledges chunks nor
/// resumes the response.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(60);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client of the target on this host.
#[derive(Clone)]
pub struct Target {
    address: SocketAddr,
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
    telemetry: Telemetry,
}

impl Target {
    /// Creates a client for the target at this address.
    pub fn new(address: SocketAddr, slots: u16, telemetry: Telemetry) -> Self {
        Target {
            address,
            pooled: client(usize::from(slots)),
            unpooled: client(0),
            telemetry,
        }
    }

    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request. A request that is not idempotent gets a connection of its own: if the
    /// target had closed a pooled connection, it would be unknown whether the request was run.
    async fn send(
        &self,
        dispatch: &Dispatch,
        body: Bytes,
        trace: TraceContext,
    ) -> Result<Response<Incoming>, Finish> {
        let request = self
            .request(dispatch, body, trace)
            .ok_or(Finish::Unreached)?;
        let client = if dispatch.idempotent {
            &self.pooled
        } else {
            &self.unpooled
        };
        let response = client.request(request).await;
        response.map_err(|e| {
            if e.is_connect() {
                Finish::Unreached
            } else {
                Finish::Crashed
            }
        })
    }

    fn request(
        &self,
        dispatch: &Dispatch,
        body: Bytes,
        trace: TraceContext,
    ) -> Option<Request<Full<Bytes>>> {
        let uri: Uri = format!("http://{}{}", self.address, dispatch.path)
            .parse()
            .ok()?;
        let mut builder = Request::builder().method(dispatch.method.as_str()).uri(uri);
        for header in &dispatch.headers {
            builder = builder.header(&header.name, header.value.as_ref());
        }
        builder = builder
            .header(ACCOUNT_HEADER, &dispatch.account)
            .header(REQUEST_ID_HEADER, dispatch.request.to_string());
        if let Some(fence) = dispatch.fence {
            builder = builder.header(FENCE_HEADER, fence);
        }
        builder = builder.header(TRACE_HEADER, trace.to_string());
        builder.body(Full::new(body)).ok()
    }
}

/// A client that keeps up to `idle` idle connections. If a pooled connection turns out to be closed
/// before any of the request was written, the request is sent on a new one.
fn client(idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(true)
        .build(connector)
}

/// Returns the response's `Content-Length` header if it matches the length of the body, or if the
/// response has no body by definition.
fn content_length(parts: &Parts, body: &Incoming, method: &str) -> Option<Header> {
    let value = parts.headers.get(CONTENT_LENGTH)?;
    let declared: u64 = value.to_str().ok()?.trim().parse().ok()?;
    let bodiless = method == Method::HEAD.as_str() || parts.status == StatusCode::NOT_MODIFIED;
    let exact = body.size_hint().exact() == Some(declared);
    (bodiless || exact).then(|| Header {
        name: CONTENT_LENGTH.as_str().to_owned(),
        value: Bytes::from(declared.to_string()),
    })
}

/// Commands from the core to a run.
#[derive(Debug)]
pub enum Command {
    /// The caller has received all chunks before `next`.
    Ack { next: u64 },
    /// The entry has reconnected and needs the chunks from `next` on.
    Resume { next: u64, outbox: Outbox },
    /// The response is no longer wanted.
    Cancel,
    /// The entry has received the complete response.
    Settled,
    /// Report the slot time used so far to the entry.
    Report,
}

/// The execution of one dispatch.
pub struct Run {
    core: WeakAddress<Core>,
    target: Target,
    outbox: Outbox,
    commands: mpsc::Receiver<Command>,
    replay: ReplayState,
}

/// Frames of the response that may have to be sent again.
#[derive(Debug, Default)]
struct ReplayState {
    /// Head and chunks.
    frames: ReplayBuffer<ToEntry>,
    /// Total length of all chunks, in bytes.
    total: u64,
    end: Option<ToEntry>,
}

/// Why a run stops early.
enum StopReason {
    Cancelled,
    Released,
}

impl Run {
    /// Creates a run, which [`Run::run`] starts.
    pub fn new(
        core: WeakAddress<Core>,
        target: Target,
        outbox: Outbox,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        Run {
            core,
            target,
            outbox,
            commands,
            replay: ReplayState::default(),
        }
    }

    /// Runs the request, relays the response, and keeps the response until the entry has received
    /// all of it.
    pub async fn run(mut self, dispatch: Dispatch, body: Bytes) {
        let id = dispatch.dispatch;
        let start = Instant::now();
        let parent: Option<TraceContext> = dispatch.trace.as_ref().and_then(|t| t.parse().ok());
        let mut span = self.target.telemetry.span("agent", parent.as_ref());
        let finish = self.relay(&dispatch, body, start, span.context()).await;
        span.set_attribute("finish", format!("{finish:?}"));
        drop(span);
        let spent = Micros::from(start.elapsed());
        // Can only fail while the agent shuts down.
        let _ = self
            .core
            .send(RunFinished {
                dispatch: id,
                finish,
            })
            .await;
        let (chunks, bytes) = (
            self.replay.frames.next_seq().saturating_sub(1),
            self.replay.total,
        );
        let end = ToEntry::End {
            dispatch: id,
            finish,
            chunks,
            bytes,
            spent,
        };
        self.outbox.send(&end);
        self.replay.end = Some(end);
        if finish != Finish::Cancelled {
            self.hold_response(id).await;
        }
        // Can only fail while the agent shuts down.
        let _ = self.core.send(ResponseReleased(id)).await;
    }

    /// Relays the target's response as it arrives.
    async fn relay(
        &mut self,
        dispatch: &Dispatch,
        body: Bytes,
        start: Instant,
        parent: TraceContext,
    ) -> Finish {
        let id = dispatch.dispatch;
        let target = self.target.clone();
        let span = target.telemetry.span("target", Some(&parent));
        let mut pending = std::pin::pin!(target.send(dispatch, body, span.context()));
        let response = loop {
            tokio::select! {
                response = &mut pending => break response,
                command = self.commands.recv() => {
                    if self.handle_command(id, start, command).is_some() {
                        return Finish::Cancelled;
                    }
                }
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(finish) => return finish,
        };
        let (parts, mut body) = response.into_parts();
        let length = content_length(&parts, &body, &dispatch.method);
        let headers: Vec<Header> = response_headers(&parts.headers)
            .into_iter()
            .chain(length)
            .collect();
        if head_bytes(&headers) > MAX_RESPONSE_HEAD_BYTES {
            // The entry reports a response without a head as a failure of the target. Any other
            // finish could cause a retry, which would get the same head again.
            return Finish::Whole;
        }
        self.send_head(id, parts.status.as_u16(), headers);
        loop {
            tokio::select! {
                frame = body.frame(), if !self.replay.frames.is_full() => match frame {
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            self.send_chunks(id, data);
                        }
                    }
                    Some(Err(_)) => return Finish::Cut,
                    None => return Finish::Whole,
                },
                command = self.commands.recv() => {
                    if self.handle_command(id, start, command).is_some() {
                        return Finish::Cancelled;
                    }
                }
            }
        }
    }

    /// Keeps the response until the entry has received all of it, cancels it, or has neither
    /// acknowledged nor resumed it for [`RESPONSE_RETENTION`].
    async fn hold_response(&mut self, id: DispatchId) {
        let mut deadline = Instant::now() + RESPONSE_RETENTION;
        let start = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(deadline) => return,
                command = self.commands.recv() => {
                    if matches!(command, Some(Command::Resume { .. } | Command::Ack { .. })) {
                        deadline = Instant::now() + RESPONSE_RETENTION;
                    }
                    if matches!(command, Some(Command::Report)) {
                        continue;
                    }
                    if self.handle_command(id, start, command).is_some() {
                        return;
                    }
                }
            }
        }
    }

    fn handle_command(
        &mut self,
        id: DispatchId,
        start: Instant,
        command: Option<Command>,
    ) -> Option<StopReason> {
        match command {
            None | Some(Command::Cancel) => return Some(StopReason::Cancelled),
            Some(Command::Settled) => return Some(StopReason::Released),
            Some(Command::Ack { next }) => self.replay.frames.ack(next),
            Some(Command::Resume { next, outbox }) => {
                self.outbox = outbox;
                self.replay.frames.ack(next);
                self.resend(id, next);
            }
            Some(Command::Report) => {
                let spent = Micros::from(start.elapsed());
                self.outbox.send(&ToEntry::Progress {
                    dispatch: id,
                    spent,
                });
            }
        }
        None
    }

    fn send_head(&mut self, id: DispatchId, status: u16, headers: Vec<Header>) {
        let head = ToEntry::Head {
            dispatch: id,
            status,
            headers,
        };
        self.outbox.send(&head);
        self.replay.frames.push(head, 0);
    }

    fn send_chunks(&mut self, id: DispatchId, mut data: Bytes) {
        while !data.is_empty() {
            let chunk_data = data.split_to(data.len().min(MAX_CHUNK_BYTES));
            let len = chunk_data.len();
            let chunk = ToEntry::Chunk {
                dispatch: id,
                seq: self.replay.frames.next_seq(),
                data: chunk_data,
            };
            self.outbox.send(&chunk);
            self.replay.frames.push(chunk, len);
            self.replay.total += len as u64;
        }
    }

    /// Resends the frames that the entry has not received. If some of them are no longer kept,
    /// reports the dispatch as forgotten instead.
    fn resend(&self, id: DispatchId, next: u64) {
        match self.replay.frames.iter_from(next) {
            Some(missing) => missing.for_each(|(_, frame)| self.outbox.send(frame)),
            None => self.outbox.send(&ToEntry::State {
                dispatch: id,
                state: DispatchState::Forgotten,
            }),
        }
        if let Some(end) = &self.replay.end {
            self.outbox.send(end);
        }
    }
}
