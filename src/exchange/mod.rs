//! Exchange of service levels between entries, over UDP.
//!
//! An entry is a router process that accepts client requests; one that takes part is called a
//! member. The level of a client account at a service is the slot time (time for which requests
//! occupied slots of targets) that all entries have charged to the account there, as far as the
//! member knows. The live entries form a tree computed from the member list. Charges travel up the
//! tree in numbered batches, each applied once; levels travel down as absolute values. See
//! `docs/FAIRNESS.md`.

pub mod driver;
pub mod envelope;
pub mod gossip;
pub mod measure;
pub mod node;
pub mod numbering;
pub mod tree;

#[cfg(test)]
mod tests;

use crate::ids::{AccountKey, ServiceKey};

/// A client account at a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareKey {
    /// The service.
    pub service: ServiceKey,
    /// The client account.
    pub account: AccountKey,
}
