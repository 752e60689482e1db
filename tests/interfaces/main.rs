//! The entry's interfaces towards callers and towards agents. Invalid input is answered with an
//! error or closes its connection, and does not affect other requests and connections.

mod agents;
mod callers;
#[path = "../common/mod.rs"]
mod common;
mod forwarding;
mod harness;
mod refusals;
