//! The source of the gateway's configuration and list of targets: the platform, which is the
//! operator's infrastructure service.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

use crate::gateway::config::Config;
use crate::gateway::targets::Entry;
use crate::log::{CallError, ReadError};
use crate::units::Micros;

/// A list that the platform maintains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// What the operator writes: the configuration and the evacuations of zones.
    Config,
    /// The list of targets.
    Targets,
}

/// Number of times that the platform's lists were restored from an older copy. What was written to
/// them between the copy and the restore is gone, and their offsets are given out again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

/// A change to one list entry.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new configuration.
    Config(Box<Config>),
    /// A target was added or updated: its id, its entry, and the offset of its record.
    Target(Box<str>, Entry, u64),
    /// Another gateway keeps the entry of this target for this time, although it has been missing
    /// since the record at this offset.
    Missing(Box<str>, Entry, u64, Micros),
    /// The entry with this key, in the record at this offset, could not be decoded; a target with
    /// this id must not be used.
    Unreadable(Box<str>, u64),
    /// The entry with this key was removed by the record at this offset.
    Removed(Box<str>, u64),
    /// The operator has evacuated the availability zone with this name.
    ZoneEvacuated(Box<str>),
    /// The operator has ended the evacuation of the availability zone with this name.
    ZoneRestored(Box<str>),
}

/// Changes to a list, in order.
#[derive(Clone, Debug, Default)]
pub struct ChangeBatch {
    /// Era of the list that they were read from.
    pub era: Era,
    /// Offset at which to read the changes that follow these.
    pub next: u64,
    /// Whether entries may be missing from what [`Directory::list`] returns. They are read as soon as
    /// they are written again.
    pub partial: bool,
    /// The changes; from [`Directory::list`], one for each current entry.
    pub changes: Vec<Change>,
}

/// Read access to the platform's lists.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Reads all current entries of a list.
    ///
    /// # Errors
    /// Returns an error if the list cannot be read or the response is malformed.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<ChangeBatch, CallError>> + Send;

    /// Decodes the operator's text of a configuration; `None` if it is invalid.
    fn decode(&self, source: Bytes) -> Option<Config>;

    /// Reads the changes since the offset `from`. If there are none yet, waits up to `wait` for the
    /// first one.
    ///
    /// # Errors
    /// Returns [`ReadError::Expired`] if changes after `from` are no longer retained, and another
    /// error if the changes cannot be read or the response is malformed.
    fn changes(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeBatch, ReadError>> + Send;
}
