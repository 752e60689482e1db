//! Messages between entries and agents, encoded with `postcard` in frames on TCP.
//!
//! An entry is a router process that accepts client requests, queues them and dispatches them to
//! agents. An agent is the process beside a target that runs dispatched requests.
//!
//! A frame is a 4-byte big-endian length, followed by the encoded message. The first message of
//! each side is a handshake message (see [`crate::auth`]); its first field is the protocol version.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DispatchId, OfferId, RequestId};
use crate::units::Micros;

/// Version of the protocol between the processes of the fleet.
pub const PROTOCOL_VERSION: u8 = 2;
/// Maximum size of an encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Maximum size of the body chunk in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// Maximum size of a request head, in bytes: method, path, and names and values of headers.
pub const MAX_HEAD_BYTES: usize = 48 * 1024;
/// Maximum total size of a response's header names and values, in bytes. They must fit in one
/// frame.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 240 * 1024;
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum number of headers in a request or a response.
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
    /// Total length of name and value, in bytes.
    pub fn size(&self) -> usize {
        self.name.len() + self.value.len()
    }
}

/// Identity and properties of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentInfo {
    /// Address of the host's target, which identifies the agent in the host list.
    pub host: SocketAddr,
    /// Boot id of the agent.
    pub boot: BootId,
    /// Availability zone.
    pub zone: String,
    /// Service that its target provides.
    pub service: String,
    /// Maximum number of requests that its target runs concurrently.
    pub slots: u16,
}

/// The side that opens a connection to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opener {
    /// An agent, which stays connected.
    Agent(AgentInfo),
    /// An entry, which makes one request (see [`crate::entry::peer_rules`]).
    Entry {
        /// Boot id of the entry.
        boot: BootId,
    },
}

/// Requests that wait at an entry for the agent's service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Number of waiting requests.
    pub waiting: u32,
    /// Least level among the client accounts with waiting requests; not meaningful if there are
    /// none.
    pub least: Micros,
}

/// A request to be run by a target. Its body follows in [`ToAgent::Body`] frames unless
/// `body_bytes` is zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Id of this dispatch.
    pub dispatch: DispatchId,
    /// The offer that the dispatch takes.
    pub offer: OfferId,
    /// Id of the caller's request.
    pub request: RequestId,
    /// Name of the client account.
    pub account: String,
    /// HTTP method.
    pub method: String,
    /// Path and query for the target, starting with `/`.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<Header>,
    /// Length of the body that follows, in bytes.
    pub body_bytes: u64,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Fencing token for targets that check one: the log offset of the request's claim. `None` if
    /// the request has no claim.
    pub fence: Option<u64>,
    /// Time left until the caller's deadline; `None` if there is none.
    pub deadline: Option<Micros>,
    /// Trace context (W3C `traceparent`) of the entry's span; `None` if the request is not traced.
    pub trace: Option<String>,
}

/// State of a dispatch at an agent, in answer to [`ToAgent::Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchState {
    /// The dispatch is running, or its response is being sent. The chunks from the requested
    /// number on follow.
    Running,
    /// The response is complete. The chunks from the requested number on follow.
    Done,
    /// The agent has not started the dispatch, and will decline it from now on.
    NeverSeen,
    /// The agent may have started the dispatch, but no longer holds its response or its record.
    Forgotten,
}

/// How a response from the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The response was read to its end.
    Whole,
    /// The response was truncated.
    Cut,
    /// The target could not be reached, so the request was not started.
    Unreached,
    /// The connection to the target broke before the response began.
    Crashed,
    /// The entry cancelled the request.
    Cancelled,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Offers one free slot.
    Offer { offer: OfferId },
    /// Withdraws an offer.
    Withdraw { offer: OfferId },
    /// The dispatch was not started and never will be.
    Decline { dispatch: DispatchId },
    /// Status and headers of the response. Counts as chunk 0.
    Head {
        dispatch: DispatchId,
        status: u16,
        headers: Vec<Header>,
    },
    /// A chunk of the response body; `seq` starts at 1.
    Chunk {
        dispatch: DispatchId,
        seq: u64,
        data: Bytes,
    },
    /// End of the response, with the number and total length of its chunks and the slot time used.
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
    /// Slot time used so far by a running dispatch.
    Progress { dispatch: DispatchId, spent: Micros },
    /// Keeps the connection alive while nothing else is sent.
    Heartbeat,
    /// The agent is shutting down and accepts no new dispatches.
    Leaving,
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// No request waits for this offer; it stays valid until it is taken or withdrawn.
    Parked { offer: OfferId, backlog: Backlog },
    /// A request for an offered slot.
    Dispatch {
        dispatch: Box<Dispatch>,
        backlog: Backlog,
    },
    /// A chunk of a dispatched request's body.
    Body { dispatch: DispatchId, data: Bytes },
    /// Asks for the state of a dispatch and for its chunks from `next` on. The entry needs no
    /// records of its dispatches below `floor`.
    Query {
        dispatch: DispatchId,
        next: u64,
        floor: u64,
    },
    /// The caller has received all chunks before `next`.
    Ack { dispatch: DispatchId, next: u64 },
    /// The response is no longer needed.
    Cancel { dispatch: DispatchId },
    /// The entry holds the complete response. The agent may drop it, and all records of the entry's
    /// dispatches below `floor`.
    Settled { dispatch: DispatchId, floor: u64 },
    /// Keeps the connection alive while nothing else is sent.
    Heartbeat { backlog: Backlog },
    /// Concurrency limit of each target of the service under the rules; 0 if they do not contain
    /// the service. The highest version of the rules applies.
    Limits { version: u64, slots: u16 },
    /// The entry is shutting down and sends no new dispatches.
    Leaving,
}

/// Why a frame could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The length exceeds [`MAX_FRAME_BYTES`], or the limit of the current protocol step.
    #[error("frame of {0} bytes exceeds the limit")]
    TooLong(usize),
    /// The bytes are not a valid message.
    #[error("frame cannot be decoded: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message with its length prefix.
///
/// # Errors
/// Returns [`WireError::TooLong`] if the message exceeds [`MAX_FRAME_BYTES`].
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

/// Decodes a message from a frame without its length prefix.
///
/// # Errors
/// Returns [`WireError::Malformed`] if the bytes are not a valid message or bytes are left after
/// it.
pub fn decode<'a, T: Deserialize<'a>>(frame: &'a [u8]) -> Result<T, WireError> {
    let (message, rest) = postcard::take_from_bytes(frame)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(postcard::Error::DeserializeBadEncoding.into())
    }
}
