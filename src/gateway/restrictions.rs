//! Whether a target may be sent requests now.
//!
//! Asked when a target is chosen, and again right before a request is sent: configuration, targets
//! and the operator may have changed their mind in between. All paths that send ask here: first
//! attempts, retries and resumed streams.
//!
//! Performs no I/O.

pub mod evacuations;

use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::targets::Target;

/// Why a target gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// It is shutting down.
    Draining,
    /// The operator has evacuated its availability zone.
    Evacuated,
}

/// Returns why a target may not be sent requests; `None` if it may.
pub fn check(target: &Target, evacuations: &Evacuations) -> Option<Restriction> {
    if target.entry.draining {
        Some(Restriction::Draining)
    } else if evacuations.contains(target.zone) {
        Some(Restriction::Evacuated)
    } else {
        None
    }
}

#[cfg(test)]
mod tests;
