//! Figures of the dispatcher, as `/status` and `/shares` show them.

use std::net::SocketAddr;

use serde::Serialize;

/// Figures of `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct DispatcherStatus {
    /// Connected agents.
    pub agents: Vec<AgentStatus>,
    /// What waits, by service.
    pub services: Vec<ServiceStatus>,
    /// Requests held, waiting or running.
    pub jobs: usize,
}

/// An agent in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// Its target's address.
    pub host: SocketAddr,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is connected.
    pub up: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that this entry runs on it.
    pub running: usize,
}

/// A service in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Its name.
    pub service: String,
    /// Requests that wait here.
    pub waiting: u32,
    /// Service levels of its client accounts, in milliseconds.
    pub levels: Vec<LevelStatus>,
}

/// An account's service level in `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct LevelStatus {
    /// The account.
    pub account: String,
    /// Slot time charged, in milliseconds.
    pub level_ms: u64,
}
