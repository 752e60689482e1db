//! The gateway's HTTP server towards callers.

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

/// How long a leaving gateway still takes connections: the platform needs some seconds to see that
/// it is not ready.
const LEAVING: Duration = Duration::from_millis(2_600);
/// Pause after the system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Part of the process's descriptors that callers' connections may take before they are closed
/// after each answer.
const KEPT_SHARE: f64 = 0.5;
/// Heads up to this size are read whatever the operator's limit: the HTTP library's least buffer.
const LEAST_HEAD_BYTES: usize = 8 * 1024;

/// Serves callers.
#[derive(Clone, Debug)]
pub struct Http {
    /// What the gateway's parts share.
    pub gateway: Arc<GatewayState>,
    /// Cancelled when the gateway is to leave.
    pub drain: CancellationToken,
    /// Callers' connections.
    pub open: Open,
}

/// Counts callers' connections. Clones share the count.
#[derive(Clone, Debug)]
pub struct Open {
    count: Arc<AtomicUsize>,
    most: usize,
}

/// A caller's connection, counted until this is dropped.
#[derive(Debug)]
struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Open {
    /// No connections, in a process that may have so many descriptors.
    pub fn new(descriptors: usize) -> Self {
        Open {
            count: Arc::default(),
            most: (descriptors as f64 * KEPT_SHARE) as usize,
        }
    }

    fn one(&self) -> Counted {
        self.count.fetch_add(1, Ordering::Relaxed);
        Counted(self.count.clone())
    }

    /// Whether there are too many to keep idle ones.
    fn are_many(&self) -> bool {
        self.count.load(Ordering::Relaxed) > self.most
    }
}

impl Http {
    /// Serves callers until the gateway leaves, then finishes what it has.
    pub async fn listen(self, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        let leaving = async {
            self.drain.cancelled().await;
            tokio::time::sleep(LEAVING).await;
        };
        tokio::pin!(leaving);
        loop {
            tokio::select! {
                () = &mut leaving => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve(stream, &graceful),
                    Err(error) => {
                        spdlog::warn!("could not accept a caller", kv: { error: = error });
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        // Callers whom the system let in already get a true refusal.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.serve(stream, &graceful);
        }
        drop(listener);
        graceful.shutdown().await;
    }

    fn serve(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        // Only a hint to the system; the connection works without.
        let _ = stream.set_nodelay(true);
        let limits = self.gateway.config().limits;
        let counted = self.open.one();
        let http = self.clone();
        let service = service_fn(move |request| http.clone().answer(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_head.max(LEAST_HEAD_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        // A caller that breaks its connection off is no fault of the gateway's.
        tokio::spawn(async move {
            drop(connection.await);
            drop(counted);
        });
    }

    async fn answer(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let id = request.headers().get(REQUEST_ID).cloned();
        let answer = self.respond(request).await;
        let mut response = answer.unwrap_or_else(|problem| {
            self.count(&problem);
            response::from_problem(problem, id)
        });
        if self.drain.is_cancelled() || self.open.are_many() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response)
    }

    fn count(&self, problem: &Problem) {
        let outcome = match problem.execution {
            Execution::NotRun => Outcome::Refused,
            Execution::Unknown => Outcome::Unknown,
        };
        self.gateway.metrics().request(outcome);
        self.gateway.metrics().refusal(problem.reason);
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Problem> {
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
