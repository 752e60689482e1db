//! The dispatcher's part of the `/status` and `/shares` responses.

use std::net::SocketAddr;

use serde::Serialize;

/// The `desk` object of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct DispatcherStatus {
    /// Agents that have connected since the entry started.
    pub agents: Vec<AgentStatus>,
    /// Queue lengths and service levels, by service.
    pub services: Vec<ServiceStatus>,
    /// Number of requests that are queued or running.
    pub jobs: usize,
}

/// An agent in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// Address of the agent's target.
    pub host: SocketAddr,
    /// Name of the service that the target runs.
    pub service: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Whether the agent is connected.
    pub up: bool,
    /// Whether the agent accepts no new requests, or its host is leaving.
    pub leaving: bool,
    /// Number of this entry's requests that run on the target.
    pub running: usize,
}

/// A service in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Number of requests queued at this entry.
    pub waiting: u32,
    /// Service levels of its client accounts, in milliseconds.
    pub levels: Vec<LevelStatus>,
}

/// A client account's service level in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct LevelStatus {
    /// Name of the client account.
    pub account: String,
    /// Slot time charged, in milliseconds.
    pub level_ms: u64,
}
