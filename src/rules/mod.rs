//! The operator's rules: the plain text file, its model, and the versions in the log.

pub mod table;

pub use table::{Account, KeyDigest, Service, Table};
