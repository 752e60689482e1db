//! One dispatched request on its way through the target, and its answer on the way back.

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
use crate::agent::messages::{Freed, Released};
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

/// How long a whole answer is kept for an entry that does not ask.
pub const KEEP_TIMEOUT: Duration = Duration::from_secs(60);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The target of this host.
#[derive(Clone)]
pub struct Target {
    address: SocketAddr,
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
    telemetry: Telemetry,
}

impl Target {
    /// A target at this address.
    pub fn new(address: SocketAddr, slots: u16, telemetry: Telemetry) -> Self {
        Target {
            address,
            pooled: client(usize::from(slots)),
            fresh: client(0),
            telemetry,
        }
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request. One that must not run twice gets a connection of its own, so that a stale
    /// one cannot leave its fate in doubt.
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
            &self.fresh
        };
        let answer = client.request(request).await;
        answer.map_err(|e| {
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

/// A client that keeps `idle` connections. A request that finds a kept one closed before any of it
/// was written is sent on a new one.
fn client(idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(true)
        .build(connector)
}

/// The length that the target gave, where it can be relied on.
fn content_length(parts: &Parts, body: &Incoming, method: &str) -> Option<Header> {
    let value = parts.headers.get(CONTENT_LENGTH)?;
    let given: u64 = value.to_str().ok()?.trim().parse().ok()?;
    let bodiless = method == Method::HEAD.as_str() || parts.status == StatusCode::NOT_MODIFIED;
    let exact = body.size_hint().exact() == Some(given);
    (bodiless || exact).then(|| Header {
        name: CONTENT_LENGTH.as_str().to_owned(),
        value: Bytes::from(given.to_string()),
    })
}

/// What the core tells a run.
#[derive(Debug)]
pub enum Command {
    /// Chunks before `next` have been passed on.
    Ack { next: u64 },
    /// The entry is on a new connection and misses chunks from `next` on.
    Resume { next: u64, outbox: Outbox },
    /// Nobody wants the answer any more.
    Cancel,
    /// The entry has the whole answer.
    Settled,
    /// Report the slot time so far.
    Report,
}

/// A run.
pub struct Run {
    core: WeakAddress<Core>,
    target: Target,
    outbox: Outbox,
    commands: mpsc::Receiver<Command>,
    kept: Kept,
}

/// The frames of the answer that may have to be sent again.
#[derive(Debug, Default)]
struct Kept {
    /// Head and chunks.
    pieces: ReplayBuffer<ToEntry>,
    /// Length of all chunks, in bytes.
    total: u64,
    end: Option<ToEntry>,
}

/// Why a run stops before the target's answer ends.
enum Stop {
    Cancelled,
    Released,
}

impl Run {
    /// A run that has not begun.
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
            kept: Kept::default(),
        }
    }

    /// Runs the request, sends its answer, and keeps it until it is settled.
    pub async fn run(mut self, dispatch: Dispatch, body: Bytes) {
        let id = dispatch.dispatch;
        let start = Instant::now();
        let above: Option<TraceContext> = dispatch.trace.as_ref().and_then(|t| t.parse().ok());
        let mut span = self.target.telemetry.span("agent", above.as_ref());
        let finish = self.relay(&dispatch, body, start, span.context()).await;
        span.set_attribute("finish", format!("{finish:?}"));
        drop(span);
        let spent = Micros::from(start.elapsed());
        // The core outlives its runs.
        let _ = self
            .core
            .send(Freed {
                dispatch: id,
                finish,
            })
            .await;
        let (chunks, bytes) = (
            self.kept.pieces.next_seq().saturating_sub(1),
            self.kept.total,
        );
        let end = ToEntry::End {
            dispatch: id,
            finish,
            chunks,
            bytes,
            spent,
        };
        self.outbox.send(&end);
        self.kept.end = Some(end);
        if finish != Finish::Cancelled {
            self.keep(id).await;
        }
        // The core outlives its runs.
        let _ = self.core.send(Released(id)).await;
    }

    /// Passes the target's answer on as it comes.
    async fn relay(
        &mut self,
        dispatch: &Dispatch,
        body: Bytes,
        start: Instant,
        above: TraceContext,
    ) -> Finish {
        let id = dispatch.dispatch;
        let target = self.target.clone();
        let span = target.telemetry.span("target", Some(&above));
        let mut answer = std::pin::pin!(target.send(dispatch, body, span.context()));
        let response = loop {
            tokio::select! {
                response = &mut answer => break response,
                command = self.commands.recv() => {
                    if self.command(id, start, command).is_some() {
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
            // The entry takes an answer without a head for a failure of the target, which a
            // repeat would meet again.
            return Finish::Whole;
        }
        self.head(id, parts.status.as_u16(), headers);
        loop {
            tokio::select! {
                frame = body.frame(), if !self.kept.pieces.is_full() => match frame {
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            self.data(id, data);
                        }
                    }
                    Some(Err(_)) => return Finish::Cut,
                    None => return Finish::Whole,
                },
                command = self.commands.recv() => {
                    if self.command(id, start, command).is_some() {
                        return Finish::Cancelled;
                    }
                }
            }
        }
    }

    /// Holds the answer until the entry has it, or does not ask for too long.
    async fn keep(&mut self, id: DispatchId) {
        let mut until = Instant::now() + KEEP_TIMEOUT;
        let start = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                command = self.commands.recv() => {
                    if matches!(command, Some(Command::Resume { .. } | Command::Ack { .. })) {
                        until = Instant::now() + KEEP_TIMEOUT;
                    }
                    if matches!(command, Some(Command::Report)) {
                        continue;
                    }
                    if self.command(id, start, command).is_some() {
                        return;
                    }
                }
            }
        }
    }

    fn command(
        &mut self,
        id: DispatchId,
        start: Instant,
        command: Option<Command>,
    ) -> Option<Stop> {
        match command {
            None | Some(Command::Cancel) => return Some(Stop::Cancelled),
            Some(Command::Settled) => return Some(Stop::Released),
            Some(Command::Ack { next }) => self.kept.pieces.ack(next),
            Some(Command::Resume { next, outbox }) => {
                self.outbox = outbox;
                self.kept.pieces.ack(next);
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

    fn head(&mut self, id: DispatchId, status: u16, headers: Vec<Header>) {
        let head = ToEntry::Head {
            dispatch: id,
            status,
            headers,
        };
        self.outbox.send(&head);
        self.kept.pieces.push(head, 0);
    }

    fn data(&mut self, id: DispatchId, mut data: Bytes) {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(MAX_CHUNK_BYTES));
            let len = piece.len();
            let chunk = ToEntry::Chunk {
                dispatch: id,
                seq: self.kept.pieces.next_seq(),
                data: piece,
            };
            self.outbox.send(&chunk);
            self.kept.pieces.push(chunk, len);
            self.kept.total += len as u64;
        }
    }

    /// Sends all that the entry misses again.
    fn resend(&self, id: DispatchId, next: u64) {
        match self.kept.pieces.iter_from(next) {
            Some(missing) => missing.for_each(|(_, frame)| self.outbox.send(frame)),
            None => self.outbox.send(&ToEntry::State {
                dispatch: id,
                state: DispatchState::Forgotten,
            }),
        }
        if let Some(end) = &self.kept.end {
            self.outbox.send(end);
        }
    }
}
