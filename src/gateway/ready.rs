//! Tells the platform's balancer whether the gateway takes new connections.

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

use crate::gateway::gate::Gate;
use crate::platform::READY_PATH;

/// Longest time to read a request, or between two.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after the system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the balancer, for ever.
pub async fn serve(listener: TcpListener, gate: Arc<Gate>, drain: CancellationToken) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (gate, drain) = (gate.clone(), drain.clone());
        let service = service_fn(move |request| answer(request, gate.clone(), drain.clone()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        // The balancer asks again on a new connection.
        tokio::spawn(async move { drop(connection.await) });
    }
}

async fn answer(
    request: Request<Incoming>,
    gate: Arc<Gate>,
    drain: CancellationToken,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let ready = gate.config().version > 0 && !drain.is_cancelled();
    let status = match request.uri().path() == READY_PATH {
        true if ready => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    Ok(response)
}
