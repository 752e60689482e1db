//! Framed, authenticated connections from agents and entries to an entry.

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
/// Time without a received frame after which a connection is closed.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a handshake frame, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;

/// Maximum number of frames that may be queued for sending.
const OUTBOX_CAPACITY: usize = 8192;
const READ_BUFFER_BYTES: usize = 4 * 1024;
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Capacity of the batch buffer that is kept between writes.
const RETAINED_BATCH_BYTES: usize = 1024;

/// Why a connection failed or could not be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnError {
    /// The transport failed or was closed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame was malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The peer failed authentication.
    #[error(transparent)]
    Auth(#[from] AuthError),
    /// Nothing was received for [`RECEIVE_TIMEOUT`], or the handshake exceeded
    /// [`HANDSHAKE_TIMEOUT`].
    #[error("connection timed out waiting for the peer")]
    Silent,
}

impl ConnError {
    /// Counts malformed frames and time-outs in the metrics. Handshake failures are counted by the
    /// caller.
    pub fn count(&self, metrics: &Metrics) {
        match self {
            ConnError::Wire(_) => metrics.event(Event::MalformedFrame),
            ConnError::Silent => metrics.event(Event::ReceiveTimeout),
            ConnError::Io(_) | ConnError::Auth(_) => {}
        }
    }
}

/// Sending half of a connection. Frames are queued and written in batches.
#[derive(Clone, Debug)]
pub struct Outbox {
    frames: mpsc::Sender<Bytes>,
    stop: CancellationToken,
}

impl Outbox {
    /// Queues a message. Closes the connection if the queue is full or the message cannot be
    /// encoded; the peer recovers the missing messages by queries after it reconnects.
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

/// Receiving half of a connection.
#[derive(Debug)]
pub struct Inbox {
    read: BufReader<OwnedReadHalf>,
    stop: CancellationToken,
}

impl Inbox {
    /// Receives the next message.
    ///
    /// # Errors
    /// Returns an error if the connection failed, was closed or timed out, or if a frame is
    /// malformed.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, ConnError> {
        let stop = self.stop.clone();
        tokio::select! {
            () = stop.cancelled() => Err(io::Error::from(io::ErrorKind::ConnectionAborted).into()),
            frame = timeout(RECEIVE_TIMEOUT, read_frame(&mut self.read, MAX_FRAME_BYTES)) => {
                let frame = frame.map_err(|_| ConnError::Silent)??;
                Ok(wire::decode(&frame)?)
            }
        }
    }
}

/// Performs the opener's side of the handshake on a new connection. Returns the entry's boot id.
///
/// # Errors
/// Returns an error if the handshake fails or takes longer than [`HANDSHAKE_TIMEOUT`].
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

/// Performs the entry's side of the handshake on an accepted connection.
///
/// # Errors
/// Returns an error if the handshake fails or takes longer than [`HANDSHAKE_TIMEOUT`].
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
        // Checked before decoding, because other versions may have a different layout.
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
    let (frames, queue) = mpsc::channel(OUTBOX_CAPACITY);
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

/// Reads one frame. Its length is checked before the buffer is allocated.
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

/// Writes queued frames in batches of all that are available, up to [`WRITE_BATCH_BYTES`].
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
        batch.shrink_to(RETAINED_BATCH_BYTES);
    }
    stop.cancel();
}
