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
use crate::units::Micros;

/// Why a target gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// Its list entry says that it is shutting down.
    Draining,
    /// It announced in an answer that it is leaving.
    Leaving,
    /// The operator has evacuated its availability zone.
    Evacuated,
    /// It asked for a pause, which holds also if the service has no other target.
    Paused,
}

/// Returns why a target may not be sent requests now; `None` if it may. A pause is returned only if
/// nothing else is in the way.
pub fn check(target: &Target, evacuations: &Evacuations, now: Micros) -> Option<Restriction> {
    if target.entry.draining {
        Some(Restriction::Draining)
    } else if target.notices.is_leaving(now) {
        Some(Restriction::Leaving)
    } else if evacuations.contains(target.zone) {
        Some(Restriction::Evacuated)
    } else if target.notices.remaining_pause(now).is_some() {
        Some(Restriction::Paused)
    } else {
        None
    }
}

#[cfg(test)]
mod tests;
