//! Hop-by-hop headers, which a proxy must not forward (RFC 9110, 7.6.1).

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use smallvec::SmallVec;

/// Hop-by-hop headers, and headers that the HTTP library sets itself.
const HOP_BY_HOP_HEADERS: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
];

/// Whether the header with this lower-case name must not be forwarded.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Names of the further hop-by-hop headers that the message lists in its `Connection` headers.
pub fn connection_options(headers: &HeaderMap) -> SmallVec<[&str; 4]> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect()
}
