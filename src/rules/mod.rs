//! The operator's rules, which define the client accounts and services: the text format, its data
//! model, and the versions stored in the log of the platform (the operator's infrastructure
//! service).

pub mod chain;
pub mod change;
pub mod error;
pub mod fields;
pub mod history;
pub mod model;
pub mod parse;
pub mod record;
pub mod renew;
pub mod service;
pub mod table;
pub mod units;

pub use chain::{RecordOutcome, WinningEdit};
pub use error::{ErrorKind, RuleError};
pub use history::{Follower, ProcessedRecord};
pub use model::{Definition, Rule, Rules};
pub use parse::parse;
pub use record::{Edit, EditId, Record, RulesVersion};
pub use table::{Account, KeyDigest, Service, Table};

#[cfg(test)]
mod tests;
