//! Reservations of room at a target.

use bytes::Bytes;
use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::units::Micros;

/// Path at which a target takes reservations.
pub const RESERVATION_PATH: &str = "/v1/hold-take";

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct WireReservation {
    tokens: u64,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct WireGrant {
    /// Text or a number.
    hold: Value,
}

/// Encodes the request for room for a number of tokens, for a time.
pub fn encode(tokens: u64, ttl: Micros) -> Bytes {
    let reservation = WireReservation {
        tokens,
        ttl_ms: ttl.as_ms(),
    };
    let encoded = serde_json::to_vec(&reservation).expect("numbers encode");
    encoded.into()
}

/// Decodes the id of a reservation from a target's answer. `None` if there is none that a request can
/// name.
pub fn decode(body: &[u8]) -> Option<HeaderValue> {
    let grant: WireGrant = serde_json::from_slice(body).ok()?;
    match grant.hold {
        Value::String(id) if !id.is_empty() => HeaderValue::from_str(&id).ok(),
        Value::Number(id) => HeaderValue::from_str(&id.to_string()).ok(),
        _ => None,
    }
}
