//! What a target's run and stream answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::http::{self, Answer, AnswerBody, Dropped, Refusal};
use super::query::{BadNumber, Query};
use super::target::Run;
use super::target_fault::{TargetFault, TargetMode};

/// Longest answer, in bytes.
pub const MAX_ANSWER_BYTES: u64 = 256 * 1024 * 1024;
/// Most chunks of a stream.
pub const MAX_CHUNKS: u64 = 1_000_000;
/// Largest piece that a generated answer is sent in, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// Chunks that wait for a slow reader.
const CHUNK_QUEUE: usize = 4;

/// A request that is to be run.
pub(super) struct Job {
    pub(super) query: Query,
    pub(super) body: Bytes,
    pub(super) fault: TargetFault,
    pub(super) run: Run,
}

impl Job {
    fn span(&self) -> Result<Duration, BadNumber> {
        let ms = self.query.number("ms")?.unwrap_or(0);
        Ok(self.fault.stretch(Duration::from_millis(ms)))
    }
}

/// Chunks on their way to the caller.
struct Sender {
    chunks: mpsc::Sender<Result<Bytes, Dropped>>,
    left: Option<u64>,
}

impl Sender {
    /// Sends a chunk; false when the answer broke off, to order or at the caller's end.
    async fn send(&mut self, chunk: Bytes) -> bool {
        match &mut self.left {
            Some(0) => {
                let _ = self.chunks.send(Err(Dropped)).await;
                return false;
            }
            Some(left) => *left -= 1,
            None => {}
        }
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the answer; one that is to be cut never ends whole.
    async fn finish(self) {
        if self.left.is_some() {
            let _ = self.chunks.send(Err(Dropped)).await;
        }
    }
}

/// Waits, then answers the asked number of bytes, or the body.
pub(super) async fn run(job: Job) -> Result<Answer, Refusal> {
    let span = job.span()?;
    let bytes = job.query.number("bytes")?;
    tokio::time::sleep(span).await;
    match job.fault.mode {
        TargetMode::LoseAnswers => return Ok(Err(Dropped)),
        TargetMode::Stall => std::future::pending().await,
        _ => {}
    }
    if bytes.is_none() && job.fault.cut_after().is_none() {
        return Ok(http::text(StatusCode::OK, job.body));
    }
    let len = bytes.unwrap_or(job.body.len() as u64).min(MAX_ANSWER_BYTES);
    Ok(chunked(job, move |job, sender| {
        send_pieces(job, sender, len)
    }))
}

/// Answers chunks with a pause before each; each holds the body and its number, from 1.
pub(super) fn stream(job: Job) -> Result<Answer, Refusal> {
    let span = job.span()?;
    let count = job.query.number("chunks")?.unwrap_or(1).min(MAX_CHUNKS);
    match job.fault.mode {
        TargetMode::LoseAnswers => Ok(Err(Dropped)),
        _ => Ok(chunked(job, move |job, sender| {
            send_numbered(job, sender, count, span)
        })),
    }
}

fn chunked<F>(job: Job, send: impl FnOnce(Job, Sender) -> F) -> Answer
where
    F: Future<Output = ()> + Send + 'static,
{
    let (chunks, receiver) = mpsc::channel(CHUNK_QUEUE);
    let left = job.fault.cut_after();
    tokio::spawn(send(job, Sender { chunks, left }));
    Ok(Response::new(AnswerBody::Chunks(receiver)))
}

async fn send_pieces(job: Job, mut sender: Sender, len: u64) {
    let piece = Bytes::from(vec![b'x'; PIECE_BYTES]);
    let mut left = len;
    while left > 0 {
        let size = left.min(PIECE_BYTES as u64);
        if !sender.send(piece.slice(..size as usize)).await {
            return;
        }
        left -= size;
    }
    drop(job.run);
    sender.finish().await;
}

async fn send_numbered(job: Job, mut sender: Sender, count: u64, span: Duration) {
    for number in 1..=count {
        tokio::select! {
            () = tokio::time::sleep(span) => {}
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
    drop(job.run);
    sender.finish().await;
}
