//! Integration tests of the gateway with raw client connections and scripted targets.

mod answers;
mod cold;
#[path = "../common/mod.rs"]
mod common;
mod crashing_part;
mod crashing_request;
mod diagnosis;
mod directory;
mod endless;
mod engines;
mod evacuation;
mod faulty_answers;
mod flood;
mod followers;
mod gateway_process;
mod grace;
mod harness;
mod named_limit;
mod notices;
mod odd_entries;
mod process;
mod raw_target;
mod regions;
mod restored;
mod retries;
mod shared_request;
mod store;
mod streams;
mod target;
mod unframed;
mod versions;
