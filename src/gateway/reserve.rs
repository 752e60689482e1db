//! Asks a target to reserve room for a request, on the connection on which the request follows.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::timeout;

use crate::gateway::pool::Connection;
use crate::platform::headers;
use crate::platform::reservation::{self, RESERVATION_PATH};
use crate::units::Micros;

/// Time limit for the answer. It costs a target next to nothing; beyond this, the request would lose
/// more time than it gains.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of the answer's body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// What became of a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The target has reserved room; the request names this id.
    Granted(HeaderValue),
    /// The target has not; the request waits there like others.
    Declined,
    /// No answer came in time, or the connection broke off. It cannot be used any more.
    Lost,
}

/// A request for room at a target.
#[derive(Clone, Copy, Debug)]
pub struct Room<'a> {
    /// Id of the target.
    pub target: &'a str,
    /// Its address.
    pub addr: SocketAddr,
    /// Tokens that the request may need: its prompt, and what may be generated.
    pub tokens: u64,
    /// Time for which they are reserved.
    pub ttl: Micros,
}

/// Asks for room on a connection.
pub async fn ask(connection: &mut Connection, room: Room<'_>) -> Reservation {
    let mut request = Request::new(Full::new(reservation::encode(room.tokens, room.ttl)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(RESERVATION_PATH);
    *request.headers_mut() = headers::reservation_request(&room.addr.to_string(), room.target);
    let answer = async {
        let response = connection.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
        connection.sender.ready().await.ok()?;
        Some((head.status, body.to_bytes()))
    };
    match timeout(ASK_TIMEOUT, answer).await {
        Ok(Some((StatusCode::OK, body))) => {
            reservation::decode(&body).map_or(Reservation::Declined, Reservation::Granted)
        }
        Ok(Some(_)) => Reservation::Declined,
        Ok(None) | Err(_) => Reservation::Lost,
    }
}
