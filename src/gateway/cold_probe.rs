//! Asks a target on a new connection how long it is cold.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, Uri};
use tokio::time::timeout;

use crate::gateway::pool::Connection;
use crate::platform::headers;
use crate::units::Micros;

/// Time limit for the answer. A target answers at hardly any cost, but its host may be slow.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the answer's body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The outcome of asking a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The target reported its remaining cold time.
    Told(Micros),
    /// It answered without its remaining cold time.
    NotTold,
    /// It did not answer in time, or the connection broke off.
    Failed,
    /// Another target now uses the address.
    Moved,
}

/// Asks a target for its remaining cold time on a connection, which may be unusable afterwards.
pub async fn ask(connection: &mut Connection, id: &str, addr: SocketAddr, path: &Uri) -> Answer {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.clone();
    *request.headers_mut() = headers::health_request(&addr.to_string(), id);
    let answer = async {
        let response = connection.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
        Some((head.status, headers::parse_cold(&head.headers)))
    };
    match timeout(ASK_TIMEOUT, answer).await {
        Ok(Some((StatusCode::MISDIRECTED_REQUEST, _))) => Answer::Moved,
        Ok(Some((_, Some(remaining)))) => Answer::Told(remaining),
        Ok(Some((_, None))) => Answer::NotTold,
        Ok(None) | Err(_) => Answer::Failed,
    }
}
