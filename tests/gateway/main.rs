//! A gateway between raw callers and raw targets that misbehave to order.

mod answers;
#[path = "../common/mod.rs"]
mod common;
mod lists;
mod process;
mod repeats;
mod streams;
mod target;
mod walks;
mod world;
