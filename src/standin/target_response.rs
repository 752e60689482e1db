//! Responses of a target to `/run` and `/stream`.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::http::{self, ConnectionDropped, HandlerResult, HttpError, ResponseBody};
use super::query::{InvalidNumber, Query};
use super::target::RunGuard;
use super::target_fault::{TargetFault, TargetMode};

/// Maximum size of a response, in bytes.
pub const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;
/// Maximum number of chunks in a stream.
pub const MAX_CHUNKS: u64 = 1_000_000;
/// Maximum size of a chunk of generated data, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Maximum number of chunks buffered for a slow reader.
const CHUNK_QUEUE: usize = 4;

/// Request to be run.
pub(super) struct Job {
    pub(super) query: Query,
    pub(super) body: Bytes,
    pub(super) fault: TargetFault,
    pub(super) guard: RunGuard,
}

impl Job {
    fn duration(&self) -> Result<Duration, InvalidNumber> {
        let ms = self.query.number("ms")?.unwrap_or(0);
        Ok(self.fault.slowed(Duration::from_millis(ms)))
    }
}

/// Sends the chunks of a response.
struct ChunkSender {
    chunks: mpsc::Sender<Result<Bytes, ConnectionDropped>>,
    remaining: Option<u64>,
}

impl ChunkSender {
    /// Sends a chunk. Returns false if the response was truncated by the fault or the caller
    /// disconnected.
    async fn send(&mut self, chunk: Bytes) -> bool {
        match &mut self.remaining {
            Some(0) => {
                let _ = self.chunks.send(Err(ConnectionDropped)).await;
                return false;
            }
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the response. A response that the fault truncates is cut off here if it was not cut off
    /// earlier.
    async fn finish(self) {
        if self.remaining.is_some() {
            let _ = self.chunks.send(Err(ConnectionDropped)).await;
        }
    }
}

/// Waits, then responds with the requested number of bytes, or with the request body.
pub(super) async fn run(job: Job) -> Result<HandlerResult, HttpError> {
    let duration = job.duration()?;
    let bytes = job.query.number("bytes")?;
    tokio::time::sleep(duration).await;
    match job.fault.mode {
        TargetMode::LoseAnswers => return Ok(Err(ConnectionDropped)),
        TargetMode::Stall => std::future::pending().await,
        _ => {}
    }
    if bytes.is_none() && job.fault.truncate_after().is_none() {
        return Ok(http::text(StatusCode::OK, job.body));
    }
    let len = bytes
        .unwrap_or(job.body.len() as u64)
        .min(MAX_RESPONSE_BYTES);
    Ok(chunked_response(job, move |job, sender| {
        send_filler(job, sender, len)
    }))
}

/// Responds with chunks, with a delay before each. A chunk holds the request body and the number
/// of the chunk, from 1.
pub(super) fn stream(job: Job) -> Result<HandlerResult, HttpError> {
    let duration = job.duration()?;
    let count = job.query.number("chunks")?.unwrap_or(1).min(MAX_CHUNKS);
    match job.fault.mode {
        TargetMode::LoseAnswers => Ok(Err(ConnectionDropped)),
        _ => Ok(chunked_response(job, move |job, sender| {
            send_numbered(job, sender, count, duration)
        })),
    }
}

fn chunked_response<F>(job: Job, send: impl FnOnce(Job, ChunkSender) -> F) -> HandlerResult
where
    F: Future<Output = ()> + Send + 'static,
{
    let (chunks, receiver) = mpsc::channel(CHUNK_QUEUE);
    let remaining = job.fault.truncate_after();
    tokio::spawn(send(job, ChunkSender { chunks, remaining }));
    Ok(Response::new(ResponseBody::Streamed(receiver)))
}

async fn send_filler(job: Job, mut sender: ChunkSender, len: u64) {
    let filler = Bytes::from(vec![b'x'; CHUNK_BYTES]);
    let mut remaining = len;
    while remaining > 0 {
        let size = remaining.min(CHUNK_BYTES as u64);
        if !sender.send(filler.slice(..size as usize)).await {
            return;
        }
        remaining -= size;
    }
    drop(job.guard);
    sender.finish().await;
}

async fn send_numbered(job: Job, mut sender: ChunkSender, count: u64, duration: Duration) {
    for number in 1..=count {
        tokio::select! {
            () = tokio::time::sleep(duration) => {}
            () = sender.chunks.closed() => return,
        }
        if job.fault.mode == TargetMode::Stall {
            sender.chunks.closed().await;
            return;
        }
        let mut chunk = BytesMut::from(&job.body[..]);
        chunk.extend_from_slice(format!(" {number}\n").as_bytes());
        if !sender.send(chunk.freeze()).await {
            return;
        }
    }
    drop(job.guard);
    sender.finish().await;
}
