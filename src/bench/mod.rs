//! The experiments of `balsampitch-bench`.
//!
//! A discrete-event simulation runs the real scheduling code in virtual time: `simulation`
//! delivers messages and models targets, and a `policy` makes the routing decisions. The seed
//! determines each run of the simulation. [`path`] measures an entry and an agent in real time,
//! and `capacity` measures the cost of single operations in real time.

mod capacity;
mod demand;
mod event_queue;
mod experiments;
mod fleet;
pub mod heap;
mod member;
mod meter;
mod naive;
mod network;
pub mod path;
mod policy;
mod report;
mod simulation;
mod target;
#[cfg(test)]
mod tests;
mod threads;

pub use experiments::{Experiment, Variant, run};
pub use report::Report;
