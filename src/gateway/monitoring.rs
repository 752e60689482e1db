//! A small HTTP server for the platform's questions: whether the gateway takes connections, and its
//! metrics.

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
use crate::telemetry::scrape::{Scrape, TEXT_TYPE};

/// Longest time to read a request, or between two.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// What is told.
#[derive(Clone, Debug)]
pub struct MonitoringServer {
    /// What the gateway's parts share.
    pub gateway: Arc<GatewayState>,
    /// Cancelled when the gateway is to leave.
    pub drain: CancellationToken,
    /// The gateway's metrics.
    pub scrape: Scrape,
}

impl MonitoringServer {
    /// Answers on one address, for ever.
    pub async fn serve(self, listener: TcpListener) {
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
            // Whoever asked will ask again.
            tokio::spawn(async move { drop(connection.await) });
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            READY_PATH if self.is_ready() => plain(StatusCode::OK),
            READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => self.metrics(),
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    /// A gateway takes connections while it knows a configuration and a target, and does not leave.
    fn is_ready(&self) -> bool {
        let knows =
            self.gateway.config().version > 0 && !self.gateway.with_targets(|t| t.is_empty());
        knows && !self.drain.is_cancelled()
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        match self.scrape.text() {
            Ok(text) => {
                let mut response = Response::new(Full::new(text.into()));
                let kind = hyper::header::HeaderValue::from_static(TEXT_TYPE);
                response
                    .headers_mut()
                    .insert(hyper::header::CONTENT_TYPE, kind);
                response
            }
            Err(error) => {
                let error = format!("{error:#}");
                spdlog::error!("could not tell the metrics", kv: { error: = error });
                plain(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
