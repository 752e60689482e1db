//! Clients of the platform's services: the log and the host list.
//!
//! [`Log`] is what the rest of the crate asks of the log; [`Client`] is the one that speaks HTTP.

pub mod client;
pub mod error;
#[cfg(test)]
pub mod fake;
pub mod http;
pub mod wire;

#[cfg(test)]
mod tests;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

pub use client::Client;
pub use error::{AppendError, CallError, ReadError};

/// Name of a stream of the log: lower-case letters, digits and `-`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Stream(pub &'static str);

/// Stream of the operator's rules.
pub const RULES: Stream = Stream("rules");
/// Stream of claims on idempotency keys.
pub const CLAIMS: Stream = Stream("claims");

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream, from 0.
    pub offset: u64,
    /// What was appended.
    pub data: Bytes,
}

/// A part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest record that the log still holds.
    pub first: u64,
    /// Offset to read from next.
    pub next: u64,
    /// Records in offset order; offsets may have gaps.
    pub records: Vec<Record>,
}

/// A host that runs a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Address of the target's agent.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The service that it runs.
    pub service: String,
    /// Whether it is leaving.
    pub state: HostState,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It takes work.
    Live,
    /// It is about to go and must get no new work.
    Leaving,
}

/// The append-only log service.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// [`AppendError::NotAppended`] when the record surely is not in the log,
    /// [`AppendError::Unknown`] when it may be.
    fn append(
        &self,
        stream: Stream,
        data: Bytes,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Reads records from an offset on. Waits up to `wait` for the first one.
    ///
    /// # Errors
    /// [`ReadError::Expired`] when the offset's record has expired, else why nothing was read.
    fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, ReadError>> + Send;
}

/// The list of hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// The hosts as the platform last knew them.
    ///
    /// # Errors
    /// Why the list was not read.
    fn hosts(&self) -> impl Future<Output = Result<Vec<Host>, ReadError>> + Send;
}
