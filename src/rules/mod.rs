//! The operator's rules: the plain text file, its model, and the versions in the log.

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

pub use chain::{Verdict, Winner};
pub use error::{Fault, RuleError};
pub use history::{Decided, Follower};
pub use model::{Rule, Rules, Subject};
pub use parse::parse;
pub use record::{Accepted, Edit, EditId, Record};
pub use table::{Account, KeyDigest, Service, Table};

#[cfg(test)]
mod tests;
