//! The operator's rules: the plain text file, its model, and the versions in the log.

pub mod error;
pub mod fields;
pub mod model;
pub mod parse;
pub mod table;
pub mod units;

pub use error::{Fault, RuleError};
pub use model::{Rule, Rules, Subject};
pub use parse::parse;
pub use table::{Account, KeyDigest, Service, Table};

#[cfg(test)]
mod tests;
