//! Failures in a fleet of separate processes. The targets count how often they ran each request, and
//! the tests compare these counts with the responses that callers got.

#[path = "../common/mod.rs"]
mod common;
#[path = "../fleet/mod.rs"]
mod fleet;

mod agent_kill;
mod connection_loss;
mod crash;
mod drain;
mod draining_targets;
mod idempotency;
mod log;
mod outcome;
mod pause;
mod truncation;
