//! Cache of responses to requests with idempotency keys, replayed to duplicates.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::claim::Digest;
use crate::entry::request_task::{BodyPart, ResponseHead};
use crate::problem::Problem;
use crate::wire::Header;

/// Maximum number of cached responses.
pub const MAX_RESPONSES: usize = 4_096;
/// Maximum size of a cached response body, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Maximum time from reading a claim in the log until its request starts.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// A complete response.
#[derive(Debug)]
pub struct CachedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// State of the response to a request with an idempotency key.
#[derive(Clone, Debug)]
pub enum CacheEntry {
    /// The response is not complete yet.
    Pending,
    /// The response is complete.
    Complete(Arc<CachedResponse>),
    /// The request was refused.
    Refused(Problem),
    /// The response was incomplete, or too large to cache.
    Lost,
}

/// Responses by [`Digest::of_key`]. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ResponseCache {
    entries: Arc<Mutex<Entries>>,
    inserts: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Entries {
    by_key: HashMap<Digest, watch::Receiver<CacheEntry>>,
    order: VecDeque<Digest>,
}

/// Channels that carry the response to the caller of the request that holds the key.
#[derive(Debug)]
pub struct CallerSink {
    /// Channel for the response head, or the problem.
    pub head: oneshot::Sender<Result<ResponseHead, Problem>>,
    /// Channel for the body.
    pub body: mpsc::Sender<BodyPart>,
}

impl ResponseCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits for the response to the request that holds the key. Returns `None` if no such request
    /// starts within the start timeout and none is cached.
    pub async fn get(&self, key: Digest) -> Option<CacheEntry> {
        // A duplicate may read the claim from the log just before the claim's request starts.
        let mut entry = timeout(START_TIMEOUT, self.wait_for_entry(key))
            .await
            .ok()?;
        let settled = entry.wait_for(|k| !matches!(k, CacheEntry::Pending)).await;
        settled.map(|k| k.clone()).ok()
    }

    async fn wait_for_entry(&self, key: Digest) -> watch::Receiver<CacheEntry> {
        let mut inserts = self.inserts.subscribe();
        loop {
            if let Some(entry) = self.lock().by_key.get(&key) {
                return entry.clone();
            }
            // The sender lives as long as `self`.
            let _ = inserts.changed().await;
        }
    }

    /// Caches the response that arrives through `head` and `body`, and forwards it to the caller.
    /// Reads the response to its end even if the caller disconnects.
    pub async fn record_and_forward(
        self,
        key: Digest,
        head: oneshot::Receiver<Result<ResponseHead, Problem>>,
        body: mpsc::Receiver<BodyPart>,
        caller: CallerSink,
    ) {
        let (state, entry) = watch::channel(CacheEntry::Pending);
        self.lock().insert(key, entry);
        self.inserts.send_modify(|count| *count += 1);
        let result = match head.await {
            Ok(Ok(head)) => forward_body(head, body, caller).await,
            Ok(Err(problem)) => {
                // A send fails only if the caller has disconnected.
                let _ = caller.head.send(Err(problem));
                CacheEntry::Refused(problem)
            }
            Err(_) => CacheEntry::Lost,
        };
        if matches!(result, CacheEntry::Refused(_)) {
            self.lock().by_key.remove(&key);
        }
        state.send_replace(result);
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries
            .lock()
            .expect("no holder of the responses panics")
    }
}

impl Entries {
    fn insert(&mut self, key: Digest, entry: watch::Receiver<CacheEntry>) {
        self.by_key.insert(key, entry);
        self.order.push_back(key);
        while self.order.len() > MAX_RESPONSES {
            let oldest = self.order.pop_front().expect("the order is not empty");
            self.by_key.remove(&oldest);
        }
    }
}

/// Forwards a response to the caller, and records its body up to [`MAX_RESPONSE_BYTES`].
async fn forward_body(
    head: ResponseHead,
    mut body: mpsc::Receiver<BodyPart>,
    caller: CallerSink,
) -> CacheEntry {
    let (status, headers) = (head.status, head.headers.clone());
    // Continue after the caller has disconnected, so that duplicates get the response.
    let _ = caller.head.send(Ok(head));
    let mut bytes = BytesMut::new();
    let mut fits = true;
    loop {
        let part = body.recv().await;
        match &part {
            Some(BodyPart::Data(data)) => {
                fits &= bytes.len() + data.len() <= MAX_RESPONSE_BYTES;
                if fits {
                    bytes.extend_from_slice(data);
                }
            }
            Some(BodyPart::End) => {}
            None => return CacheEntry::Lost,
        }
        let ended = matches!(part, Some(BodyPart::End));
        if let Some(part) = part {
            // A send fails only if the caller has disconnected.
            let _ = caller.body.send(part).await;
        }
        if ended && fits {
            return CacheEntry::Complete(Arc::new(CachedResponse {
                status,
                headers,
                body: bytes.freeze(),
            }));
        }
        if ended {
            return CacheEntry::Lost;
        }
    }
}
