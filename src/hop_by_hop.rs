//! Headers that concern one connection only, and are not passed on (RFC 9110, 7.6.1).

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use smallvec::SmallVec;

/// Headers of one connection, and those that the HTTP library sets itself.
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

/// Whether a header, by its name in lower case, concerns one connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Names of further headers that concern this connection only, as `Connection` lists them.
pub fn connection_options(headers: &HeaderMap) -> SmallVec<[&str; 4]> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect()
}
