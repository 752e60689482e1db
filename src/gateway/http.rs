//! The HTTP server that accepts client requests.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::gateway::connection_limits::ConnectionLimits;
use crate::gateway::forward::Forwarder;
use crate::gateway::overload;
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::response::{self, ResponseBody};
use crate::gateway::state::GatewayState;
use crate::platform::headers::REQUEST_ID;
use crate::problem::{Execution, Problem, Reason};
use crate::telemetry::Outcome;

/// How long a draining gateway still accepts connections: the platform needs some seconds to see
/// that it is not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Number of connections that are accepted between two pauses under overload.
const ACCEPT_BATCH: u32 = 8;
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The smallest read buffer that hyper supports. Request heads up to this size are accepted even if
/// the operator's limit is lower.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves client connections.
#[derive(Clone, Debug)]
pub struct HttpServer {
    /// State shared by the gateway's modules.
    pub gateway: Arc<GatewayState>,
    /// Cancelled when the gateway has to drain.
    pub drain: CancellationToken,
    /// Number of open client connections.
    pub connections: ConnectionCount,
    /// Processor time of this host, in cores.
    pub cores: f64,
}

/// Counts open client connections. Clones share the count.
#[derive(Clone, Debug)]
pub struct ConnectionCount {
    count: Arc<AtomicUsize>,
    limits: ConnectionLimits,
}

/// Counts one client connection until it is dropped.
#[derive(Debug)]
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionCount {
    /// Starts with no connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        ConnectionCount {
            count: Arc::default(),
            limits,
        }
    }

    fn acquire(&self) -> ConnectionGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.count.clone())
    }

    /// Whether there are too many connections to keep idle ones open.
    fn too_many_to_keep(&self) -> bool {
        self.count.load(Ordering::Relaxed) > self.limits.kept_callers
    }

    /// Whether there are too many connections to serve all of them.
    fn too_many_to_serve(&self) -> bool {
        self.count.load(Ordering::Relaxed) > self.limits.callers
    }
}

impl HttpServer {
    /// Accepts connections until the gateway has drained, then waits for the running requests.
    pub async fn listen(self, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        let drained = async {
            self.drain.cancelled().await;
            tokio::time::sleep(DRAIN_DELAY).await;
        };
        tokio::pin!(drained);
        let mut accepted_count: u32 = 0;
        loop {
            tokio::select! {
                () = &mut drained => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        self.serve(stream, &graceful);
                        accepted_count = accepted_count.wrapping_add(1);
                        self.pace_accepts(accepted_count).await;
                    }
                    Err(error) => {
                        spdlog::warn!("could not accept a connection", kv: { error: = error });
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        // Connections that the kernel has already accepted are served, so that their clients get a
        // response instead of a reset.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.serve(stream, &graceful);
        }
        drop(listener);
        graceful.shutdown().await;
    }

    /// Waits after each [`ACCEPT_BATCH`] connections if this gateway is too overloaded to turn all of
    /// them away. Their clients then try another gateway.
    async fn pace_accepts(&self, accepted: u32) {
        if !accepted.is_multiple_of(ACCEPT_BATCH) {
            return;
        }
        if let Some(pause) = self.gateway.overload().accept_pause(self.cores) {
            tokio::time::sleep(pause * ACCEPT_BATCH).await;
        }
    }

    fn serve(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        // Failing to set TCP_NODELAY costs latency only.
        let _ = stream.set_nodelay(true);
        let limits = self.gateway.config().limits;
        let guard = self.connections.acquire();
        let server = self.clone();
        let service = service_fn(move |request| server.clone().handle(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_head.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        // Errors are ignored: a client that resets its connection is not a fault of the gateway.
        tokio::spawn(async move {
            drop(connection.await);
            drop(guard);
        });
    }

    async fn handle(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let id = request.headers().get(REQUEST_ID).cloned();
        let result = match self.shed(id.as_ref()) {
            Ok(()) => self.forward(request).await,
            Err(problem) => Err(problem),
        };
        let mut response = result.unwrap_or_else(|problem| {
            self.record_problem(&problem);
            response::from_problem(problem, id)
        });
        if self.should_close() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response)
    }

    /// Turns a request away, before anything else is spent on it, if this gateway is overloaded
    /// or has too many connections.
    fn shed(&self, id: Option<&HeaderValue>) -> Result<(), Problem> {
        let overload = self.gateway.overload();
        // Only a gateway that is behind needs to know whether another one can take its requests.
        let alone = !overload.is_behind() || !self.gateway.has_neighbours();
        let sheds = overload.sheds(rand::random(), alone);
        if !sheds && !self.connections.too_many_to_serve() {
            return Ok(());
        }
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
        request_log::shed(&self.gateway, id, &overload);
        let wait = overload::retry_after(rand::random());
        Err(Problem::not_run(503, Reason::Overloaded).retry_after(wait))
    }

    /// Whether to close a connection after the present response.
    fn should_close(&self) -> bool {
        let leaves = self.drain.is_cancelled() || self.gateway.overload().is_resting();
        leaves || self.connections.too_many_to_keep()
    }

    fn record_problem(&self, problem: &Problem) {
        let outcome = match problem.execution {
            Execution::NotRun => Outcome::Refused,
            Execution::Unknown => Outcome::Unknown,
        };
        self.gateway.metrics().record_outcome(outcome);
        self.gateway.metrics().record_refusal(problem.reason);
    }

    async fn forward(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Problem> {
        let config = self.gateway.config();
        let id = request.headers().get(REQUEST_ID).cloned();
        // A gateway that is behind reads a request some time after it arrived.
        let lag = self.gateway.overload().lag();
        let arrived = self.gateway.clock.now().saturating_sub(lag);
        let request = ClientRequest::read(request, &config, &self.gateway.bytes, arrived).await;
        let request = request.inspect_err(|problem| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            request_log::rejected(&self.gateway, id.unwrap_or("none"), problem, config.version);
        })?;
        drop(config);
        Forwarder::new(self.gateway.clone(), request).run().await
    }
}
