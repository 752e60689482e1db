//! Reads the rules log to its end.

use std::time::Duration;

use anyhow::{Context, bail};

use crate::log::{Log, RULES, ReadError};
use crate::rules::history::{Follower, ProcessedRecord};
use crate::rules::record::RulesVersion;
use crate::rules::renew::Timing;
use crate::units::Clock;

/// How long to wait for a renewal when the log does not tell the current version.
pub const RENEWAL_WAIT: Duration = Duration::from_secs(30);
/// How long one read waits for a record.
pub const POLL_WAIT: Duration = Duration::from_secs(1);

/// A reader of the rules log.
pub struct Reader<L> {
    log: L,
    clock: Clock,
    follower: Follower,
}

impl<L: Log> Reader<L> {
    /// A reader that has read nothing.
    pub fn new(log: L) -> Self {
        Reader {
            log,
            clock: Clock::start(),
            follower: Follower::new(Timing::random()),
        }
    }

    /// Reads to the end, and on until the log tells the current version.
    pub async fn current(&mut self) -> anyhow::Result<RulesVersion> {
        let begun = self.clock.now();
        loop {
            self.read_on(Duration::ZERO).await?;
            if let Some(accepted) = self.follower.log_version() {
                return Ok(accepted.clone());
            }
            if Duration::from(self.clock.now() - begun) >= RENEWAL_WAIT {
                bail!("the log does not tell the current version; is an entry running?");
            }
            self.read_on(POLL_WAIT).await?;
        }
    }

    /// Reads to the end; waits so long for the first record.
    pub async fn read_on(&mut self, mut wait: Duration) -> anyhow::Result<Vec<ProcessedRecord>> {
        let mut decided = Vec::new();
        loop {
            let read = self
                .log
                .read(RULES, self.follower.next_offset(), wait)
                .await;
            wait = Duration::ZERO;
            match read {
                Ok(page) => {
                    let end = page.records.is_empty() && page.next >= self.follower.next_offset();
                    decided.extend(self.follower.apply_page(&page, self.clock.now()));
                    if end {
                        return Ok(decided);
                    }
                }
                Err(ReadError::Expired { first }) if first > self.follower.next_offset() => {
                    self.follower.skip_to(first);
                }
                Err(error) => return Err(error).context("could not read the rules log"),
            }
        }
    }

    /// What it has read.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The log that it reads.
    pub fn log(&self) -> &L {
        &self.log
    }
}
