//! The time after the platform's list has come back from an older copy.
//!
//! Performs no I/O.

use crate::units::Micros;

/// How long after a restore of the list its older records may be out of date. Targets write their
/// entries again every 1,200 ms, and the entry of one that is gone lapses after three times that.
pub const SETTLING_TIME: Micros = Micros::from_secs(5);

/// A restore of the platform's list, as seen by one gateway.
#[derive(Clone, Copy, Debug)]
pub struct Restore {
    /// Time at which the gateway learned of it.
    pub at: Micros,
    /// Whether entries that the list lacks are kept. A gateway that has just started knows none.
    pub keeps_missing: bool,
    /// Offset from which on records were certainly written since.
    pub proven_from: u64,
}

impl Restore {
    /// Whether the list may still be out of date.
    pub fn is_settling(&self, now: Micros) -> bool {
        now < self.at + SETTLING_TIME
    }
}
