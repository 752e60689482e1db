//! Memory of gateway processes under floods.

// This binary uses only some of the helpers of the gateway's tests.
#![allow(dead_code)]

#[path = "../common/mod.rs"]
mod common;
#[path = "../gateway/flood.rs"]
mod flood;
mod floods;
#[path = "../gateway/gateway_process.rs"]
mod gateway_process;
#[path = "../gateway/harness.rs"]
mod harness;
#[path = "../gateway/store.rs"]
mod store;
#[path = "../gateway/target.rs"]
mod target;
