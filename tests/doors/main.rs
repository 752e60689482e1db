//! Bad input at the entry's doors: each is refused or closed, and nobody else notices.

mod callers;
#[path = "../common/mod.rs"]
mod common;
mod passing;
mod peers;
mod refusals;
mod world;
