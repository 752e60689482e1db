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

use crate::gateway::forward::Forwarder;
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::response::{self, ResponseBody};
use crate::gateway::state::GatewayState;
use crate::platform::headers::REQUEST_ID;
use crate::problem::{Execution, Problem};
use crate::telemetry::Outcome;

/// How long a draining gateway still accepts connections: the platform needs some seconds to see
/// that it is not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Fraction of the process's file descriptors up to which client connections are kept alive. Above
/// it, each connection is closed after its response.
const KEEP_ALIVE_SHARE: f64 = 0.5;
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
}

/// Counts open client connections. Clones share the count.
#[derive(Clone, Debug)]
pub struct ConnectionCount {
    count: Arc<AtomicUsize>,
    limit: usize,
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
    /// Starts with no connections. The limit above which idle ones are closed is derived from
    /// `descriptors`, the number of file descriptors that the process may open.
    pub fn new(descriptors: usize) -> Self {
        ConnectionCount {
            count: Arc::default(),
            limit: (descriptors as f64 * KEEP_ALIVE_SHARE) as usize,
        }
    }

    fn acquire(&self) -> ConnectionGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.count.clone())
    }

    /// Whether there are too many connections to keep idle ones open.
    fn exceeds_limit(&self) -> bool {
        self.count.load(Ordering::Relaxed) > self.limit
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
        loop {
            tokio::select! {
                () = &mut drained => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve(stream, &graceful),
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
        let result = self.forward(request).await;
        let mut response = result.unwrap_or_else(|problem| {
            self.record_problem(&problem);
            response::from_problem(problem, id)
        });
        if self.drain.is_cancelled() || self.connections.exceeds_limit() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response)
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
        let request = ClientRequest::read(request, &config, self.gateway.clock).await;
        let request = request.inspect_err(|problem| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            request_log::rejected(&self.gateway, id.unwrap_or("none"), problem, config.version);
        })?;
        drop(config);
        Forwarder::new(self.gateway.clone(), request).run().await
    }
}
