//! A gateway between raw callers and raw targets that misbehave to order.

mod answers;
mod lists;
mod repeats;
mod streams;
mod target;
mod world;
