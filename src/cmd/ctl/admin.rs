//! Queries the admin servers of entries.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::log::CallError;
use crate::log::http::{CallLimits, HttpClient};

/// Timeout of a query.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest accepted response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Response of one entry.
#[derive(Debug)]
pub struct Reply {
    /// The entry's admin address.
    pub addr: SocketAddr,
    /// The JSON body of its response, or why the query failed.
    pub result: Result<Value, CallError>,
}

/// Requests a path from all addresses concurrently; the replies are in the order of `addrs`.
pub async fn query_all(addrs: &[SocketAddr], path: &str) -> Vec<Reply> {
    let mut calls = tokio::task::JoinSet::new();
    for (index, &addr) in addrs.iter().enumerate() {
        let path = path.to_owned();
        calls.spawn(async move { (index, query(addr, &path).await) });
    }
    let mut replies = calls.join_all().await;
    replies.sort_by_key(|&(index, _)| index);
    replies.into_iter().map(|(_, reply)| reply).collect()
}

async fn query(addr: SocketAddr, path: &str) -> Reply {
    let limits = CallLimits {
        timeout: RESPONSE_TIMEOUT,
        max_response: MAX_RESPONSE_BYTES,
    };
    let response = HttpClient::new(addr).get(path, limits).await;
    let result = response.and_then(|response| response.json());
    Reply { addr, result }
}
