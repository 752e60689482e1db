//! A framed, authenticated connection to an entry, from an agent or another entry.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::auth::{AuthError, Challenge, Hello, Proof, Secret, check_version};
use crate::ids::BootId;
use crate::telemetry::{Event, Metrics};
use crate::wire::{self, MAX_FRAME_BYTES, Opener, WireError};

/// Time between heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// A connection on which nothing arrives for this long is given up.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest frame of a handshake, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;

const OUTBOX_FRAMES: usize = 8192;
const READ_BUFFER_BYTES: usize = 4 * 1024;
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Bytes of a batch that are kept for the next one.
const WRITE_KEPT_BYTES: usize = 1024;

/// Why a connection ended or was not made.
#[derive(Debug, thiserror::Error)]
pub enum ConnError {
    /// The transport failed or was closed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame was malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The other side was not authenticated.
    #[error(transparent)]
    Auth(#[from] AuthError),
    /// Nothing arrived for [`SILENCE_TIMEOUT`], or the handshake took too long.
    #[error("connection is silent")]
    Silent,
}

impl ConnError {
    /// Counts malformed frames and silence. Whoever makes a handshake counts its failure.
    pub fn count(&self, metrics: &Metrics) {
        match self {
            ConnError::Wire(_) => metrics.event(Event::MalformedFrame),
            ConnError::Silent => metrics.event(Event::ReceiveTimeout),
            ConnError::Io(_) | ConnError::Auth(_) => {}
        }
    }
}

/// The sending half: frames queue here and are written in batches.
#[derive(Clone, Debug)]
pub struct Outbox {
    frames: mpsc::Sender<Bytes>,
    stop: CancellationToken,
}

impl Outbox {
    /// Queues a message. A connection whose queue is full is closed: the other side will find out
    /// what it missed when it asks on the next one.
    pub fn send<T: Serialize>(&self, message: &T) {
        let Ok(frame) = wire::encode(message) else {
            self.stop.cancel();
            return;
        };
        if self.frames.try_send(frame).is_err() {
            self.stop.cancel();
        }
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.stop.cancel();
    }

    /// Whether the connection is closed or closing.
    pub fn is_closed(&self) -> bool {
        self.stop.is_cancelled()
    }
}

/// The receiving half.
#[derive(Debug)]
pub struct Inbox {
    read: BufReader<OwnedReadHalf>,
    stop: CancellationToken,
}

impl Inbox {
    /// The next message.
    ///
    /// # Errors
    /// [`ConnError`] when the connection failed, was closed, is silent, or a frame is malformed.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ConnError> {
        let stop = self.stop.clone();
        tokio::select! {
            () = stop.cancelled() => Err(io::Error::from(io::ErrorKind::ConnectionAborted).into()),
            frame = timeout(SILENCE_TIMEOUT, read_frame(&mut self.read, MAX_FRAME_BYTES)) => {
                let frame = frame.map_err(|_| ConnError::Silent)??;
                Ok(wire::decode(&frame)?)
            }
        }
    }
}

/// The opener's side of the handshake on a fresh connection. Gives the entry's boot id.
///
/// # Errors
/// [`ConnError`] when the handshake fails or takes longer than [`HANDSHAKE_TIMEOUT`].
pub async fn dial(
    stream: TcpStream,
    secret: &Secret,
    opener: Opener,
) -> Result<(BootId, Outbox, Inbox), ConnError> {
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::with_capacity(READ_BUFFER_BYTES, read);
    let handshake = async {
        let hello = wire::encode(&Hello::new(opener))?;
        write.write_all(&hello).await?;
        let challenge: Challenge =
            wire::decode(&read_frame(&mut read, MAX_HANDSHAKE_BYTES).await?)?;
        challenge.check(secret, &hello[4..])?;
        let proof = Proof::new(secret, &hello[4..], &challenge);
        write.write_all(&wire::encode(&proof)?).await?;
        Ok::<_, ConnError>(challenge.boot)
    };
    let boot = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| ConnError::Silent)??;
    let (outbox, inbox) = start(read, write);
    Ok((boot, outbox, inbox))
}

/// The entry's side of the handshake on an accepted connection.
///
/// # Errors
/// [`ConnError`] when the handshake fails or takes longer than [`HANDSHAKE_TIMEOUT`].
pub async fn accept(
    stream: TcpStream,
    secret: &Secret,
    boot: BootId,
) -> Result<(Opener, Outbox, Inbox), ConnError> {
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::with_capacity(READ_BUFFER_BYTES, read);
    let handshake = async {
        let frame = read_frame(&mut read, MAX_HANDSHAKE_BYTES).await?;
        // Other versions may lay the rest out differently.
        check_version(frame.first().copied().unwrap_or_default())?;
        let hello: Hello = wire::decode(&frame)?;
        let challenge = Challenge::new(secret, &frame, boot);
        write.write_all(&wire::encode(&challenge)?).await?;
        let proof: Proof = wire::decode(&read_frame(&mut read, MAX_HANDSHAKE_BYTES).await?)?;
        proof.check(secret, &frame, &challenge)?;
        Ok::<_, ConnError>(hello.opener)
    };
    let opener = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| ConnError::Silent)??;
    let (outbox, inbox) = start(read, write);
    Ok((opener, outbox, inbox))
}

fn start(read: BufReader<OwnedReadHalf>, write: OwnedWriteHalf) -> (Outbox, Inbox) {
    let (frames, queue) = mpsc::channel(OUTBOX_FRAMES);
    let stop = CancellationToken::new();
    tokio::spawn(write_frames(write, queue, stop.clone()));
    (
        Outbox {
            frames,
            stop: stop.clone(),
        },
        Inbox { read, stop },
    )
}

/// Reads one frame; its length is checked before anything is allocated.
async fn read_frame(
    read: &mut BufReader<OwnedReadHalf>,
    limit: usize,
) -> Result<Vec<u8>, ConnError> {
    let len = read.read_u32().await? as usize;
    if len > limit {
        return Err(WireError::TooLong(len).into());
    }
    let mut frame = vec![0; len];
    read.read_exact(&mut frame).await?;
    Ok(frame)
}

/// Writes queued frames, as many in one call as are there.
async fn write_frames(
    mut write: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Bytes>,
    stop: CancellationToken,
) {
    let mut batch = Vec::new();
    loop {
        let first = tokio::select! {
            () = stop.cancelled() => break,
            frame = queue.recv() => match frame {
                Some(frame) => frame,
                None => break,
            },
        };
        batch.extend_from_slice(&first);
        while batch.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = queue.try_recv() else { break };
            batch.extend_from_slice(&frame);
        }
        let written = tokio::select! {
            () = stop.cancelled() => break,
            written = write.write_all(&batch) => written,
        };
        if written.is_err() {
            break;
        }
        batch.clear();
        batch.shrink_to(WRITE_KEPT_BYTES);
    }
    stop.cancel();
}
