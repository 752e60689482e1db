//! The state of a gateway's copies of the platform's lists: how recently the platform has confirmed
//! them, and which copy of another gateway they follow.
//!
//! Performs no I/O.

use crate::gateway::peers::member::CopyStatus;
use crate::gateway::peers::wire_targets::Cursor;
use crate::gateway::position::Position;
use crate::units::Micros;

/// The copy of the list of targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListCopy {
    /// Time at which the platform confirmed the list; `None` while it cannot be reached, directly
    /// or through another gateway.
    pub confirmed_at: Option<Micros>,
    /// Time since which the platform has confirmed the list without an outage.
    pub confirmed_since: Option<Micros>,
    /// Position in the platform's list up to which the copy is complete.
    pub next: Position,
    /// State of another gateway's list that this copy equals; `None` if it was read from the
    /// platform since.
    pub cursor: Option<Cursor>,
}

impl ListCopy {
    /// Records that the platform confirmed the list at `at`, unless it did so later.
    pub fn confirm(&mut self, at: Option<Micros>) {
        self.confirmed_at = self.confirmed_at.max(at);
    }
}

/// The copies of one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Copies {
    /// Time at which the platform confirmed the configuration; `None` while it cannot be reached,
    /// directly or through another gateway.
    pub config_at: Option<Micros>,
    /// The list of targets.
    pub list: ListCopy,
}

impl Copies {
    /// The status to report to other gateways, from the version of the configuration, the id of
    /// this process, and the number of the last change in its list's journal.
    pub fn status(&self, version: u64, boot: u64, list_change: u64) -> CopyStatus {
        CopyStatus {
            version,
            config_at: self.config_at,
            list_at: self.list.confirmed_at,
            list_since: self.list.confirmed_since,
            list_next: self.list.next,
            boot,
            list_change,
        }
    }
}
