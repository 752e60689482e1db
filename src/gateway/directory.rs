//! The source of the gateway's configuration and list of targets: the platform, which is the
//! operator's infrastructure service.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

use crate::gateway::config::Config;
use crate::gateway::position::Position;
use crate::gateway::targets::Entry;
use crate::log::CallError;
use crate::units::Micros;

/// A list that the platform maintains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// What the operator writes: the configuration and the evacuations of zones.
    Config,
    /// The list of targets.
    Targets,
}

/// A change to one list entry.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new configuration.
    Config(Box<Config>),
    /// A target was added or updated: its id, its entry, and the position of its record.
    Target(Box<str>, Entry, Position),
    /// Another gateway keeps the entry of this target for this time, although it has been missing
    /// since the record at this position.
    Missing(Box<str>, Entry, Position, Micros),
    /// The entry with this key, in the record at this position, could not be decoded; a target with
    /// this id must not be used.
    Unreadable(Box<str>, Position),
    /// The entry with this key was removed by the record at this position.
    Removed(Box<str>, Position),
    /// The operator has evacuated the availability zone with this name.
    ZoneEvacuated(Box<str>),
    /// The operator has ended the evacuation of the availability zone with this name.
    ZoneRestored(Box<str>),
}

/// Changes to a list, in order.
#[derive(Clone, Debug, Default)]
pub struct ChangeBatch {
    /// Position at which to read the changes that follow these.
    pub next: Position,
    /// Whether entries may be missing from what [`Directory::list`] returns. They are read as soon as
    /// they are written again.
    pub partial: bool,
    /// The changes; from [`Directory::list`], one for each current entry.
    pub changes: Vec<Change>,
}

/// Why a list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// Changes after the position are no longer retained.
    #[error("the changes are no longer retained")]
    Expired,
    /// The answer is from before a restore of the list that is already known.
    #[error("the answer is from before a restore")]
    Superseded,
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] CallError),
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

    /// Reads the changes since `from`. If there are none yet, waits up to `wait` for the first one.
    /// If the list was restored since, what is returned is of another era than `from`, and some of it
    /// may be missing.
    ///
    /// # Errors
    /// Returns [`ListError::Expired`] if changes after `from` are no longer retained, and another
    /// error if the changes cannot be read or the response is malformed.
    fn changes(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeBatch, ListError>> + Send;
}
