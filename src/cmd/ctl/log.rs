//! Reads the rules log and the current version of the rules.

use std::time::Duration;

use anyhow::{Context, bail};

use crate::log::{Log, RULES, ReadError};
use crate::rules::history::{Follower, ProcessedRecord};
use crate::rules::record::RulesVersion;
use crate::rules::renew::Timing;
use crate::units::Clock;

/// How long to wait for a renewal when the log no longer contains the current version.
pub const RENEWAL_TIMEOUT: Duration = Duration::from_secs(30);
/// How long one read of the log waits for a record.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the rules log and tracks the rules versions.
pub struct Reader<L> {
    log: L,
    clock: Clock,
    follower: Follower,
}

impl<L: Log> Reader<L> {
    /// Creates a reader that has not read anything yet.
    pub fn new(log: L) -> Self {
        Reader {
            log,
            clock: Clock::start(),
            follower: Follower::new(Timing::random()),
        }
    }

    /// Reads to the end of the log and returns the current version. If the log no longer contains
    /// this version, waits for its renewal, and returns an error after [`RENEWAL_TIMEOUT`].
    pub async fn current(&mut self) -> anyhow::Result<RulesVersion> {
        let started = self.clock.now();
        loop {
            self.read_to_end(Duration::ZERO).await?;
            if let Some(accepted) = self.follower.log_version() {
                return Ok(accepted.clone());
            }
            if Duration::from(self.clock.now() - started) >= RENEWAL_TIMEOUT {
                bail!("the log does not contain the current version; is an entry running?");
            }
            self.read_to_end(POLL_TIMEOUT).await?;
        }
    }

    /// Reads to the end of the log, waiting up to `wait` for the first record.
    pub async fn read_to_end(
        &mut self,
        mut wait: Duration,
    ) -> anyhow::Result<Vec<ProcessedRecord>> {
        let mut processed = Vec::new();
        loop {
            let read = self
                .log
                .read(RULES, self.follower.next_offset(), wait)
                .await;
            wait = Duration::ZERO;
            match read {
                Ok(page) => {
                    let end = page.records.is_empty() && page.next >= self.follower.next_offset();
                    processed.extend(self.follower.apply_page(&page, self.clock.now()));
                    if end {
                        return Ok(processed);
                    }
                }
                Err(ReadError::Expired { first }) if first > self.follower.next_offset() => {
                    self.follower.skip_to(first);
                }
                Err(error) => return Err(error).context("could not read the rules log"),
            }
        }
    }

    /// The state after the records read so far.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The log client.
    pub fn log(&self) -> &L {
        &self.log
    }
}
