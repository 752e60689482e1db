//! Whether the platform answers reads of a list.

use crate::log::ReadError;
use crate::units::Micros;

/// Tracks whether a dependency of the gateway answers; logs each change once.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost_since: Option<Micros>,
}

impl Dependency {
    /// A dependency of this name, which answers.
    pub fn new(name: &'static str) -> Self {
        Dependency {
            name,
            lost_since: None,
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
