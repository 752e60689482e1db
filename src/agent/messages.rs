//! Messages to the agent's core.

use std::net::SocketAddr;

use serde::Serialize;

use crate::conn::Outbox;
use crate::ids::{BootId, DispatchId, EntryKey};
use crate::wire::{Finish, ToAgent};

/// A connection to an entry was established.
pub struct EntryConnected {
    /// Address of the entry.
    pub address: SocketAddr,
    /// Boot id of the entry.
    pub boot: BootId,
    /// Queue of outgoing frames.
    pub outbox: Outbox,
}

/// Identifies one connection to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The entry.
    pub entry: EntryKey,
    /// Number of the connection to this entry, from 1.
    pub seq: u64,
}

/// A connection to an entry ended.
pub struct EntryDisconnected(pub ConnectionId);

/// A frame received from an entry.
pub struct EntryFrame(pub ConnectionId, pub ToAgent);

/// A run has ended at the target, and its slot is free.
pub struct RunFinished {
    /// The dispatch that was run.
    pub dispatch: DispatchId,
    /// How it ended.
    pub finish: Finish,
}

/// The target accepts connections again after a failure.
pub struct TargetRecovered;

/// A run has discarded its response.
pub struct ResponseReleased(pub DispatchId);

/// Sends heartbeats to the entries and has the runs report their slot time.
pub struct SendHeartbeats;

/// Stops taking new work.
pub struct Drain;

/// Requests the status shown in `/status`.
pub struct GetStatus;

/// The core's part of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct CoreStatus {
    /// Slots in use.
    pub busy: u16,
    /// Total number of slots.
    pub slots: u16,
    /// Version of the rules that sets the slot limit; 0 before the first one.
    pub rules: u64,
    /// Requests being received or run, and responses still held.
    pub runs: usize,
    /// Addresses of the connected entries.
    pub entries: Vec<SocketAddr>,
    /// Number of connected entries that may still send new work.
    pub senders: usize,
    /// Whether the agent is draining.
    pub draining: bool,
}
