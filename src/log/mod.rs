//! Clients of the services of the platform (the operator's infrastructure): the append-only log and
//! the host list.
//!
//! The rest of the crate uses the log through the trait [`Log`]; [`Client`] implements it over
//! HTTP.

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
    /// Offset of the record in the stream, from 0.
    pub offset: u64,
    /// The appended bytes.
    pub data: Bytes,
}

/// Result of a read of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest record in the log.
    pub first: u64,
    /// Offset to read from next.
    pub next: u64,
    /// Records in offset order; offsets may have gaps.
    pub records: Vec<Record>,
}

/// A host that runs a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Address of the target's agent, the process beside it that runs dispatched requests.
    pub addr: SocketAddr,
    /// Availability zone of the host.
    pub zone: String,
    /// The service that the target provides.
    pub service: String,
    /// Whether the host accepts new requests.
    pub state: HostState,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// The host accepts new requests.
    Live,
    /// The host is about to shut down and must get no new requests.
    Leaving,
}

/// The append-only log service.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// Returns [`AppendError::NotAppended`] if the append failed and the record is certainly not in
    /// the log, and [`AppendError::Unknown`] if it may be in the log.
    fn append(
        &self,
        stream: Stream,
        data: Bytes,
    ) -> impl Future<Output = Result<u64, AppendError>> + Send;

    /// Reads records starting at an offset. If there are none yet, waits up to `wait` for the first
    /// one.
    ///
    /// # Errors
    /// Returns [`ReadError::Expired`] if the record at the offset has expired, and
    /// [`ReadError::Failed`] if the call failed.
    fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, ReadError>> + Send;
}

/// The list of hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// Reads the platform's current list of hosts.
    ///
    /// # Errors
    /// Returns an error if the list cannot be read.
    fn hosts(&self) -> impl Future<Output = Result<Vec<Host>, ReadError>> + Send;
}
