//! ResponseCache to keyed requests, kept so that a repeat gets the same one.

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

/// Most answers that an entry keeps.
pub const MAX_ANSWERS: usize = 4_096;
/// Largest body of an answer that is kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Longest time between the log's record of a claim and the start of its request.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// A whole answer.
#[derive(Debug)]
pub struct CachedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// What is known of a keyed request's answer.
#[derive(Clone, Debug)]
pub enum CacheEntry {
    /// It is on its way.
    Pending,
    /// It is here.
    Complete(Arc<CachedResponse>),
    /// It was refused.
    Refused(Problem),
    /// It broke off, or was too large to keep.
    Lost,
}

/// The answers, by [`Digest::of_key`]. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ResponseCache {
    table: Arc<Mutex<Table>>,
    news: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Table {
    kept: HashMap<Digest, watch::Receiver<CacheEntry>>,
    order: VecDeque<Digest>,
}

/// Where the first caller's copy of the answer goes.
#[derive(Debug)]
pub struct Copy {
    /// Takes the head, or a refusal.
    pub head: oneshot::Sender<Result<ResponseHead, Problem>>,
    /// Takes the body.
    pub body: mpsc::Sender<BodyPart>,
}

impl ResponseCache {
    /// Nothing is kept.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits for the answer to the request that holds the key here. `None`: it is not known here.
    pub async fn wait(&self, key: Digest) -> Option<CacheEntry> {
        // A repeat can learn from the log of a claim whose request is about to start.
        let mut kept = timeout(START_TIMEOUT, self.started(key)).await.ok()?;
        let settled = kept.wait_for(|k| !matches!(k, CacheEntry::Pending)).await;
        settled.map(|k| k.clone()).ok()
    }

    async fn started(&self, key: Digest) -> watch::Receiver<CacheEntry> {
        let mut news = self.news.subscribe();
        loop {
            if let Some(kept) = self.lock().kept.get(&key) {
                return kept.clone();
            }
            // The sender lives as long as `self`.
            let _ = news.changed().await;
        }
    }

    /// Keeps the answer that comes through `head` and `body`, and passes it on to the caller. The
    /// answer is taken in full even when that caller goes away.
    pub async fn keep(
        self,
        key: Digest,
        head: oneshot::Receiver<Result<ResponseHead, Problem>>,
        body: mpsc::Receiver<BodyPart>,
        copy: Copy,
    ) {
        let (state, kept) = watch::channel(CacheEntry::Pending);
        self.lock().put(key, kept);
        self.news.send_modify(|count| *count += 1);
        let result = match head.await {
            Ok(Ok(head)) => record(head, body, copy).await,
            Ok(Err(problem)) => {
                // A caller that is gone needs no word.
                let _ = copy.head.send(Err(problem));
                CacheEntry::Refused(problem)
            }
            Err(_) => CacheEntry::Lost,
        };
        if matches!(result, CacheEntry::Refused(_)) {
            self.lock().kept.remove(&key);
        }
        state.send_replace(result);
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the answers panics")
    }
}

impl Table {
    fn put(&mut self, key: Digest, kept: watch::Receiver<CacheEntry>) {
        self.kept.insert(key, kept);
        self.order.push_back(key);
        while self.order.len() > MAX_ANSWERS {
            let oldest = self.order.pop_front().expect("the order is not empty");
            self.kept.remove(&oldest);
        }
    }
}

/// Passes a body on and records it while it fits.
async fn record(head: ResponseHead, mut body: mpsc::Receiver<BodyPart>, copy: Copy) -> CacheEntry {
    let (status, headers) = (head.status, head.headers.clone());
    // A caller that is gone is no reason to stop.
    let _ = copy.head.send(Ok(head));
    let mut bytes = BytesMut::new();
    let mut fits = true;
    loop {
        let piece = body.recv().await;
        match &piece {
            Some(BodyPart::Data(data)) => {
                fits &= bytes.len() + data.len() <= MAX_ANSWER_BYTES;
                if fits {
                    bytes.extend_from_slice(data);
                }
            }
            Some(BodyPart::End) => {}
            None => return CacheEntry::Lost,
        }
        let ended = matches!(piece, Some(BodyPart::End));
        if let Some(piece) = piece {
            // As above.
            let _ = copy.body.send(piece).await;
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
