//! The users' platform: its names, formats and calls, in terms of the product's own types.
//!
//! Nothing here decides, and nothing outside this module knows the platform's names.

pub mod headers;
pub mod prompt;
pub mod records;
pub mod store;
pub mod wire;

#[cfg(test)]
mod tests;

pub use store::Store;

/// Path at which the platform asks whether a process is ready.
pub const READY_PATH: &str = "/v1/readiness";
