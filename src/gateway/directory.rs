//! Where the gateway learns its configuration and the list of targets.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

use crate::gateway::config::Config;
use crate::gateway::targets::Entry;
use crate::log::{CallError, ReadError};

/// A list that the platform keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The operator's configuration.
    Config,
    /// The targets.
    Targets,
}

/// One change of a list.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Config(Box<Config>),
    /// A target and what is said of it.
    Target(Box<str>, Entry),
    /// An entry that cannot be read; it names nothing to use.
    Unreadable(Box<str>),
    /// An entry is gone.
    Removed(Box<str>),
}

/// Changes, in order.
#[derive(Clone, Debug, Default)]
pub struct ChangeBatch {
    /// Where to read on.
    pub next: u64,
    /// What changed, or all that there is.
    pub changes: Vec<Change>,
}

/// The platform's lists.
pub trait Directory: Clone + Send + Sync + 'static {
    /// All that a list holds now.
    ///
    /// # Errors
    /// Why it was not read.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<ChangeBatch, CallError>> + Send;

    /// Reads a configuration as the operator wrote it; `None`: it cannot be read.
    fn decode(&self, source: Bytes) -> Option<Config>;

    /// What changed since `from`. Waits up to `wait` for a change.
    ///
    /// # Errors
    /// [`ReadError::Expired`] when the changes are no longer held, else why none was read.
    fn changes(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeBatch, ReadError>> + Send;
}
