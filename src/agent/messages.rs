//! Messages to the agent's core.
//!
//! The agent is the process beside a target that runs dispatched requests. A dispatch is a request
//! that an entry (router process) sends to the agent; a run executes one dispatch on the target. A
//! run has two stages: it occupies one of the agent's slots until it is finished with the target,
//! and then holds the response for the entry.

use std::net::SocketAddr;

use serde::Serialize;

use crate::conn::Outbox;
use crate::ids::{BootId, DispatchId, EntryKey};
use crate::wire::{Finish, ToAgent};

/// A connection to an entry was established.
pub struct EntryConnected {
    /// Address of the entry.
    pub address: SocketAddr,
    /// Identifies this process instance of the entry.
    pub boot: BootId,
    /// Queue of outgoing frames.
    pub outbox: Outbox,
}

/// Identifies one connection to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The entry.
    pub entry: EntryKey,
    /// Sequence number among the connections to this entry, starting at 1.
    pub seq: u64,
}

/// A connection to an entry ended.
pub struct EntryDisconnected(pub ConnectionId);

/// A frame received from an entry.
pub struct EntryFrame(pub ConnectionId, pub ToAgent);

/// A run no longer uses the target, and its slot is free.
pub struct RunFinished {
    /// The dispatch that the run executed.
    pub dispatch: DispatchId,
    /// How it ended.
    pub finish: Finish,
}

/// The target accepts connections again after a failure.
pub struct TargetRecovered;

/// A run no longer holds its response: the entry received all of it or cancelled the dispatch, or
/// the response was kept for the maximum time.
pub struct ResponseReleased(pub DispatchId);

/// Tells the core to send heartbeats to the entries, and to make each run report its slot time (the
/// time for which it has occupied a slot) to its entry.
pub struct SendHeartbeats;

/// Tells the core to accept no new dispatches.
pub struct Drain;

/// Asks the core for its part of `/status`.
pub struct GetStatus;

/// The core's part of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct CoreStatus {
    /// Slots in use.
    pub busy: u16,
    /// Number of slots currently allowed by both the settings and the rules; 0 while the target has
    /// failed.
    pub slots: u16,
    /// Version of the operator's rules that the agent's slot limit comes from; 0 before any version
    /// has been received.
    pub rules: u64,
    /// Number of dispatches that are being received or run, or whose responses are still held for
    /// entries.
    pub runs: usize,
    /// Addresses of the connected entries.
    pub entries: Vec<SocketAddr>,
    /// Number of connected entries that may still send new dispatches.
    pub senders: usize,
    /// Whether the agent accepts no new dispatches.
    pub draining: bool,
}
