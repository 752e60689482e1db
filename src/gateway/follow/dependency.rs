//! Whether the platform answers reads of a list.

use crate::gateway::directory::ListError;
use crate::gateway::position::{Era, Position};
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

    /// Records that the list was read up to `next`; logs when its era has changed.
    pub fn record_era(&mut self, next: Position) {
        let before = self.era.replace(next.era);
        if let Some(before) = before.filter(|before| *before != next.era) {
            spdlog::warn!("the platform's list was restored from an older copy", kv: {
                name: = self.name, era = next.era.0, before = before.0, end = next.offset,
            });
        }
    }

    /// Whether it does not answer.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, now: Micros, error: &ListError) {
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            spdlog::warn!("dependency lost", kv: { name: = self.name, error: = error });
        }
    }
}
