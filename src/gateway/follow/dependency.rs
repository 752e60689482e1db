//! Whether the platform answers reads of a list.

use crate::gateway::directory::{ChangeBatch, Era};
use crate::log::ReadError;
use crate::units::Micros;

/// Tracks whether a dependency of the gateway answers; logs each change once.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost_since: Option<Micros>,
    era: Option<Era>,
}

impl Dependency {
    /// A dependency of this name, which answers.
    pub fn new(name: &'static str) -> Self {
        Dependency {
            name,
            lost_since: None,
            era: None,
        }
    }

    /// Records a successful read. Returns the length of the outage that it ends; zero if there was
    /// none.
    pub fn record_success(&mut self, now: Micros) -> Micros {
        let Some(since) = self.lost_since.take() else {
            return Micros::ZERO;
        };
        let outage = now.saturating_sub(since);
        spdlog::info!("dependency regained", kv: { name: = self.name, out_ms: = outage.as_ms() });
        outage
    }

    /// Records the era of what was read from the offset `from` on, or of the whole list if that is
    /// `None`; logs when it has changed.
    pub fn record_era(&mut self, from: Option<u64>, batch: &ChangeBatch) {
        let before = self.era.replace(batch.era);
        if let Some(before) = before.filter(|before| *before != batch.era) {
            spdlog::warn!("the platform's list was restored from an older copy", kv: {
                name: = self.name, era = batch.era.0, before = before.0, read_from:? = from, end = batch.next,
            });
        }
    }

    /// Whether it does not answer.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, now: Micros, error: &ReadError) {
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            spdlog::warn!("dependency lost", kv: { name: = self.name, error: = error });
        }
    }
}
