//! Asks entries at their admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::log::CallError;
use crate::log::http::{CallLimits, HttpClient};

/// Longest time for an answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// What one entry answered.
#[derive(Debug)]
pub struct Reply {
    /// The entry's admin address.
    pub addr: SocketAddr,
    /// Its answer.
    pub answer: Result<Value, CallError>,
}

/// Asks every address for the same path, all at a time.
pub async fn ask(addrs: &[SocketAddr], path: &str) -> Vec<Reply> {
    let mut calls = tokio::task::JoinSet::new();
    for (index, &addr) in addrs.iter().enumerate() {
        let path = path.to_owned();
        calls.spawn(async move { (index, get(addr, &path).await) });
    }
    let mut replies = calls.join_all().await;
    replies.sort_by_key(|&(index, _)| index);
    replies.into_iter().map(|(_, reply)| reply).collect()
}

async fn get(addr: SocketAddr, path: &str) -> Reply {
    let limits = CallLimits {
        timeout: ANSWER_TIMEOUT,
        max_response: MAX_ANSWER_BYTES,
    };
    let answer = HttpClient::new(addr).get(path, limits).await;
    let answer = answer.and_then(|answer| answer.json());
    Reply { addr, answer }
}
