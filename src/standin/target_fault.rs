//! Fault injection for a target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum duration of a run and maximum delay between two chunks.
pub const MAX_WAIT: Duration = Duration::from_secs(600);

/// Kind of fault of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// No fault.
    #[default]
    Ok,
    /// Runs take `factor` times as long.
    Slow,
    /// Responses are truncated after `after_chunks` chunks, or before their end if they are shorter.
    Cut,
    /// Requests run, but the connection is dropped instead of a response.
    LoseAnswers,
    /// Requests are rejected with status 503 without being run.
    Refuse,
    /// Requests run but never get a response.
    Stall,
    /// The target has one outage of `ms` milliseconds.
    Away,
}

/// Fault configuration, as posted to `/fault/target`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetFault {
    /// Kind of fault.
    #[serde(default)]
    pub mode: TargetMode,
    /// Factor by which runs take longer when slow.
    pub factor: Option<f64>,
    /// Number of chunks before a response is truncated.
    pub after_chunks: Option<u64>,
    /// Duration of the outage, in milliseconds. `None`: as long as after a crash.
    pub ms: Option<u64>,
    /// Number of requests that the fault affects. `None`: all until the next configuration.
    pub count: Option<u64>,
}

impl TargetFault {
    /// Returns the fault that affects the next request, and counts the request.
    pub(super) fn next_request(&mut self) -> TargetFault {
        let current = *self;
        if let Some(count) = &mut self.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                *self = TargetFault::default();
            }
        }
        current
    }

    /// Returns how long a run takes that would take `duration` without a fault.
    pub(super) fn slowed(&self, duration: Duration) -> Duration {
        let factor = match self.mode {
            TargetMode::Slow => self.factor.unwrap_or(1.0),
            _ => 1.0,
        };
        let secs = duration.as_secs_f64() * factor.max(0.0);
        Duration::try_from_secs_f64(secs).map_or(MAX_WAIT, |duration| duration.min(MAX_WAIT))
    }

    /// Returns the number of chunks after which a response is truncated.
    pub(super) fn truncate_after(&self) -> Option<u64> {
        (self.mode == TargetMode::Cut).then(|| self.after_chunks.unwrap_or(0))
    }
}
