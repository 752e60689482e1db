//! Limits of a gateway's connections, from its file descriptors and its memory.
//!
//! Load pattern: thousands of requests are open at a small gateway, each with a connection of its
//! caller and one to a target. What has been accepted must be able to go on, so callers and targets
//! have shares of their own, and neither can take all.

/// Descriptors that are kept for files, other gateways, the platform and monitoring.
const RESERVED: usize = 256;
/// Largest fraction of the descriptors that is kept for these.
const RESERVED_SHARE: f64 = 0.125;
/// Memory of a process without connections, in bytes.
const BASE_BYTES: usize = 40 << 20;
/// Memory of a connection with its buffers and tasks, in bytes.
const CONNECTION_BYTES: usize = 36 << 10;
/// Share of the callers' connections, as a fraction of all. Some of them are idle.
const CALLERS: f64 = 0.65;
/// Least fraction of the memory of connections and bodies together that is for bodies.
const BODIES: f64 = 0.25;
/// Fraction of the callers' share up to which their connections are kept after a response.
const KEPT: f64 = 0.8;
/// Maximum fraction of the targets' share that is idle.
const IDLE: f64 = 0.4;
/// Least number of connections of either kind.
const LEAST: usize = 16;

/// Maximum numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Callers' connections beyond which requests are turned away.
    pub callers: usize,
    /// Callers' connections beyond which each is closed after its response.
    pub kept_callers: usize,
    /// Connections to targets.
    pub targets: usize,
    /// Idle connections to targets.
    pub idle_targets: usize,
}

impl ConnectionLimits {
    /// Divides what a process may use: `descriptors` file descriptors, and `memory` bytes.
    pub fn new(descriptors: usize, memory: usize) -> Self {
        let by_memory = memory.saturating_sub(BASE_BYTES) / CONNECTION_BYTES;
        let reserved = RESERVED.min(fraction(descriptors, RESERVED_SHARE));
        let total = (descriptors - reserved).min(by_memory);
        let callers = fraction(total, CALLERS).max(LEAST);
        let targets = total.saturating_sub(callers).max(LEAST);
        ConnectionLimits {
            callers,
            kept_callers: fraction(callers, KEPT),
            targets,
            idle_targets: fraction(targets, IDLE),
        }
    }

    /// Number of bytes that a process with these limits may hold for requests, of `memory` bytes in
    /// all: what its connections leave, but at least a part.
    pub fn body_bytes(&self, memory: usize) -> usize {
        let room = memory.saturating_sub(BASE_BYTES);
        let connections = (self.callers + self.targets).saturating_mul(CONNECTION_BYTES);
        let left = room.saturating_sub(connections);
        left.max(fraction(room, BODIES))
    }
}

impl Default for ConnectionLimits {
    /// Practically no limits.
    fn default() -> Self {
        ConnectionLimits::new(usize::MAX, usize::MAX)
    }
}

fn fraction(total: usize, share: f64) -> usize {
    (total as f64 * share) as usize
}

#[cfg(test)]
mod tests;
