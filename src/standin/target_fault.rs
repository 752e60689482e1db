//! Faults of a target, as an administrator orders them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest run, and longest pause between two chunks.
pub const MAX_WAIT: Duration = Duration::from_secs(600);

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// It does not.
    #[default]
    Ok,
    /// Runs take `factor` times as long.
    Slow,
    /// Answers break off after `after_chunks` chunks, at the latest before their end.
    Cut,
    /// Requests run, but their connection is dropped in place of an answer.
    LoseAnswers,
    /// Requests are answered 503 without a run.
    Refuse,
    /// Requests run and are never answered.
    Stall,
    /// The target goes away for `ms`, once.
    Away,
}

/// An order for a fault.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetFault {
    /// The fault.
    #[serde(default)]
    pub mode: TargetMode,
    /// Times as long that runs take when slow.
    pub factor: Option<f64>,
    /// Chunks before an answer breaks off.
    pub after_chunks: Option<u64>,
    /// Length of an absence, in milliseconds; none: that of a crash.
    pub ms: Option<u64>,
    /// Requests that it concerns; none: until the next order.
    pub count: Option<u64>,
}

impl TargetFault {
    /// The fault that one request meets.
    pub(super) fn meet(&mut self) -> TargetFault {
        let met = *self;
        if let Some(count) = &mut self.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                *self = TargetFault::default();
            }
        }
        met
    }

    /// How long a run takes that would take `span`.
    pub(super) fn stretch(&self, span: Duration) -> Duration {
        let factor = match self.mode {
            TargetMode::Slow => self.factor.unwrap_or(1.0),
            _ => 1.0,
        };
        let secs = span.as_secs_f64() * factor.max(0.0);
        Duration::try_from_secs_f64(secs).map_or(MAX_WAIT, |span| span.min(MAX_WAIT))
    }

    /// Chunks after which an answer breaks off.
    pub(super) fn cut_after(&self) -> Option<u64> {
        (self.mode == TargetMode::Cut).then(|| self.after_chunks.unwrap_or(0))
    }
}
