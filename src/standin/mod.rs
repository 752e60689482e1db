//! Simulated external systems (stand-ins) for tests and local runs: the platform (the operator's
//! infrastructure service, with its append-only log and its host list), a target, and a faulty
//! network link.
//!
//! Each has an HTTP interface through which faults can be injected. All state is kept in memory and
//! bounded. [`runs`] records the requests that a target ran; [`query`] parses query strings of
//! requests to the stand-ins.

pub mod fault;
pub mod hosts;
pub mod http;
pub mod link;
pub mod log;
pub mod platform;
pub mod query;
pub mod runs;
pub mod target;
pub mod target_fault;
mod target_response;

pub use hosts::Host;
pub use link::Link;
pub use platform::Platform;
pub use target::{Target, TargetOptions};
pub use target_fault::{TargetFault, TargetMode};
