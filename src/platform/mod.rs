//! Adapter to the platform, the operator's infrastructure service whose store holds the
//! configuration and the list of targets: translates its names, formats and calls to this crate's
//! types.
//!
//! This module makes no decisions, and no other module depends on the platform's names.

pub mod headers;
pub mod prompt;
pub mod records;
pub mod report;
pub mod reservation;
pub mod store;
pub mod wire;

#[cfg(test)]
mod tests;

pub use store::Store;

/// Path of the platform's readiness check.
pub const READY_PATH: &str = "/v1/readiness";
