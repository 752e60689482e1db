//! HTTP server for readiness checks and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::gateway::state::GatewayState;
use crate::listen;
use crate::platform::READY_PATH;
use crate::telemetry::Gauge;
use crate::telemetry::scrape::{CONTENT_TYPE, ScrapeRegistry};

/// Time limit for reading a request's head, which includes the idle time before it.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const METRICS_PATH: &str = "/metrics";

/// Answers readiness checks and metrics requests.
#[derive(Clone, Debug)]
pub struct MonitoringServer {
    /// Shared gateway state.
    pub gateway: Arc<GatewayState>,
    /// Cancelled when the gateway is to shut down.
    pub drain: CancellationToken,
    /// Exporter of the gateway's metrics.
    pub scrape: ScrapeRegistry,
}

impl MonitoringServer {
    /// Serves connections of `listener`. Never returns.
    pub async fn serve(self, listener: Arc<TcpListener>) {
        loop {
            let stream = listen::accept(&listener).await;
            let server = self.clone();
            let service = service_fn(move |request| {
                let answer = server.answer(&request);
                async { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // Errors are ignored: the monitoring system will try again.
            tokio::spawn(async move { drop(connection.await) });
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            READY_PATH if self.is_ready() => empty_response(StatusCode::OK),
            READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => self.metrics(),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// The gateway is ready while it has a configuration and a target, is not shutting down, and does
    /// not rest from overload beside others of its zone.
    fn is_ready(&self) -> bool {
        if self.gateway.overload().is_resting() && self.gateway.has_neighbours() {
            return false;
        }
        let configured =
            self.gateway.config().version > 0 && !self.gateway.with_targets(|t| t.is_empty());
        configured && !self.drain.is_cancelled()
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let held = i64::try_from(self.gateway.bytes.used()).unwrap_or(i64::MAX);
        self.gateway.metrics().set_gauge(Gauge::HeldBytes, held);
        match self.scrape.encode() {
            Ok(text) => {
                let mut response = Response::new(Full::new(text.into()));
                let kind = hyper::header::HeaderValue::from_static(CONTENT_TYPE);
                response
                    .headers_mut()
                    .insert(hyper::header::CONTENT_TYPE, kind);
                response
            }
            Err(error) => {
                let error = format!("{error:#}");
                spdlog::error!("failed to export metrics", kv: { error: = error });
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
