//! Failures of a fleet of separate processes. The targets' own counts tell what was run.

#[path = "../common/mod.rs"]
mod common;
#[path = "../fleet/mod.rs"]
mod fleet;

mod crash;
mod cut;
mod drain;
mod freeze;
mod killed;
mod leaving;
mod log;
mod outcome;
mod repeat;
mod silence;
