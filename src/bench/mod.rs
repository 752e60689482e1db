//! The measurements of `balsampitch-bench`.
//!
//! A small discrete-event harness drives the real decisions in virtual time: the world moves
//! messages and runs targets, a policy decides. Every run is fixed by its seed. [`path`] alone
//! measures real processes' code in real time.

mod capacity;
mod demand;
mod events;
mod experiments;
pub mod heap;
mod links;
mod member;
mod meter;
mod naive;
mod ours;
pub mod path;
mod policy;
mod report;
mod target;
#[cfg(test)]
mod tests;
mod threads;
mod world;

pub use experiments::{Experiment, Variant, run};
pub use report::Report;
