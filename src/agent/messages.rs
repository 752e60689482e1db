//! Messages to the agent's core.

use std::net::SocketAddr;

use serde::Serialize;

use crate::conn::Outbox;
use crate::ids::{BootId, DispatchId, EntryKey};
use crate::wire::{Finish, ToAgent};

/// An entry is connected.
pub struct EntryUp {
    /// Its peer address.
    pub address: SocketAddr,
    /// This run of the entry.
    pub boot: BootId,
    /// The connection.
    pub outbox: Outbox,
}

/// Names one connection to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// The entry.
    pub entry: EntryKey,
    /// Which of its connections, from 1.
    pub number: u64,
}

/// The connection to an entry is gone.
pub struct EntryDown(pub Link);

/// A frame from an entry.
pub struct FromEntry(pub Link, pub ToAgent);

/// A run has ended at the target: its slot is free.
pub struct Freed {
    /// The run.
    pub dispatch: DispatchId,
    /// How it ended.
    pub finish: Finish,
}

/// The target serves again after it failed.
pub struct TargetServes;

/// A run's answer is no longer held.
pub struct Released(pub DispatchId);

/// Sends heartbeats and the running requests' slot time.
pub struct Beat;

/// No new work is taken from now on.
pub struct Drain;

/// Asks for the figures of `/status`.
pub struct Inspect;

/// Figures of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct CoreStatus {
    /// Slots that run a request.
    pub busy: u16,
    /// Requests that may run at a time.
    pub slots: u16,
    /// Version of the rules that limits them; 0 before the first.
    pub rules: u64,
    /// Answers held, running ones included.
    pub runs: usize,
    /// Connected entries.
    pub entries: Vec<SocketAddr>,
    /// Connected entries that have not said that they send no new work.
    pub senders: usize,
    /// Whether no new work is taken.
    pub draining: bool,
}
