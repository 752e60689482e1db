//! Frames between entries and agents, and the openers of connections, as `postcard` writes them on TCP.
//!
//! Every frame is a 4-byte big-endian length, then the encoded message. The first message of each
//! side is a handshake message (see [`crate::auth`]); its first field is the protocol version.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DispatchId, OfferId, RequestId};
use crate::units::Micros;

/// Version of the protocol between the system's own processes.
pub const PROTOCOL_VERSION: u8 = 2;
/// Largest encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Largest piece of a body in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// Most bytes of a request's head: method, path, names and values of headers.
pub const MAX_HEAD_BYTES: usize = 48 * 1024;
/// Most bytes of an answer's headers, names and values, so that they fit in a frame.
pub const MAX_ANSWER_HEAD_BYTES: usize = 240 * 1024;
/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Most headers in a request or an answer.
pub const MAX_HEADERS: usize = 128;

/// A header field: name and raw value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Field name, in lower case.
    pub name: String,
    /// Field value as sent.
    pub value: Bytes,
}

impl Header {
    /// Length of name and value, in bytes.
    pub fn size(&self) -> usize {
        self.name.len() + self.value.len()
    }
}

/// Who an agent is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentInfo {
    /// Address of the host's target, which names the agent in the host list.
    pub host: SocketAddr,
    /// This run of the agent.
    pub boot: BootId,
    /// Availability zone.
    pub zone: String,
    /// Service that its target runs.
    pub service: String,
    /// Requests that its target runs at a time.
    pub slots: u16,
}

/// Who opens a connection to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opener {
    /// An agent, which stays connected.
    Agent(AgentInfo),
    /// An entry, which asks one thing (see [`crate::entry::peer_rules`]).
    Entry {
        /// This run of the entry.
        boot: BootId,
    },
}

/// What waits at an entry for the agent's service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Requests that wait.
    pub waiting: u32,
    /// Least service level among the client accounts that wait here; meaningless when none waits.
    pub least: Micros,
}

/// A request on its way to a target. Its body follows in [`ToAgent::Body`] frames when
/// `body_bytes` is not zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// This sending.
    pub dispatch: DispatchId,
    /// The offer that it answers.
    pub offer: OfferId,
    /// The caller's request.
    pub request: RequestId,
    /// Name of the client account.
    pub account: String,
    /// HTTP method.
    pub method: String,
    /// Path and query towards the target, from `/`.
    pub path: String,
    /// Headers towards the target.
    pub headers: Vec<Header>,
    /// Length of the body that follows, in bytes.
    pub body_bytes: u64,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Fencing number for targets that check one: the offset of the request's claim.
    pub fence: Option<u64>,
    /// Time left until the caller's deadline.
    pub deadline: Option<Micros>,
    /// Trace context (W3C `traceparent`) of the entry's span.
    pub trace: Option<String>,
}

/// What an agent knows of a dispatch that it is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchState {
    /// Its target runs it, or its answer is being sent; chunks follow from the asked number.
    Running,
    /// The answer is complete; what is missing follows.
    Done,
    /// The agent has never begun it, and from now on never will.
    NeverSeen,
    /// The agent may have begun it and no longer holds the answer or the record.
    Forgotten,
}

/// How an answer ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The target's answer was read to its end.
    Whole,
    /// The target's answer broke off.
    Cut,
    /// The target could not be reached; it has not begun.
    Unreached,
    /// The target was reached and its connection broke before an answer began.
    Crashed,
    /// The entry cancelled it.
    Cancelled,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// One slot is free.
    Offer { offer: OfferId },
    /// The offer no longer stands.
    Withdraw { offer: OfferId },
    /// The dispatch was not begun and never will be.
    Decline { dispatch: DispatchId },
    /// The answer's status and headers. Counts as chunk 0.
    Head {
        dispatch: DispatchId,
        status: u16,
        headers: Vec<Header>,
    },
    /// A piece of the answer's body; `seq` counts from 1.
    Chunk {
        dispatch: DispatchId,
        seq: u64,
        data: Bytes,
    },
    /// The answer ended: number and length of its chunks, slot time it took.
    End {
        dispatch: DispatchId,
        finish: Finish,
        chunks: u64,
        bytes: u64,
        spent: Micros,
    },
    /// Answer to [`ToAgent::Query`].
    State {
        dispatch: DispatchId,
        state: DispatchState,
    },
    /// Slot time of a dispatch that still runs.
    Progress { dispatch: DispatchId, spent: Micros },
    /// Sent when nothing else was for a while.
    Heartbeat,
    /// The agent takes no new work.
    Leaving,
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// No work waits for this offer; it stands until taken or voided.
    Parked { offer: OfferId, backlog: Backlog },
    /// A request for an offered slot.
    Dispatch {
        dispatch: Box<Dispatch>,
        backlog: Backlog,
    },
    /// A piece of a dispatched request's body.
    Body { dispatch: DispatchId, data: Bytes },
    /// What became of this dispatch? Chunks from `next` on are missing. The entry needs no record
    /// of its dispatches below `floor`.
    Query {
        dispatch: DispatchId,
        next: u64,
        floor: u64,
    },
    /// The caller has taken all chunks before `next`.
    Ack { dispatch: DispatchId, next: u64 },
    /// Nobody wants the answer any more.
    Cancel { dispatch: DispatchId },
    /// The entry holds the whole answer; the agent may let go of it, and of every record of the
    /// entry's dispatches below `floor`.
    Settled { dispatch: DispatchId, floor: u64 },
    /// Sent when nothing else was for a while.
    Heartbeat { backlog: Backlog },
    /// Requests that the rules let each target of the service run at a time; 0 when the service is
    /// not in them. Of two versions the higher counts.
    Limits { version: u64, slots: u16 },
    /// The entry sends no new work.
    Leaving,
}

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The length prefix exceeds [`MAX_FRAME_BYTES`], or what the moment allows.
    #[error("frame of {0} bytes exceeds the limit")]
    TooLong(usize),
    /// The bytes are no message.
    #[error("frame holds no message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message with its length prefix.
///
/// # Errors
/// [`WireError::TooLong`] when the message exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let buf = postcard::to_extend(message, vec![0u8; 4])?;
    let len = buf.len() - 4;
    if len > MAX_FRAME_BYTES {
        return Err(WireError::TooLong(len));
    }
    let mut buf = buf;
    buf[..4].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(Bytes::from(buf))
}

/// Decodes a message from a frame without its length prefix. Trailing bytes are an error.
///
/// # Errors
/// [`WireError::Malformed`] when the bytes are no message.
pub fn decode<'a, T: Deserialize<'a>>(frame: &'a [u8]) -> Result<T, WireError> {
    let (message, rest) = postcard::take_from_bytes(frame)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(postcard::Error::DeserializeBadEncoding.into())
    }
}
