//! Fault injection for the platform's log and host list.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of fault of a platform service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// No fault.
    #[default]
    Ok,
    /// Every request is rejected with status 503.
    Down,
    /// Every request is delayed before it takes effect.
    Slow,
    /// Appends take effect, but the connection is dropped instead of a response.
    LoseAnswers,
    /// Appends take no effect, and the connection is dropped instead of a response.
    LoseRequests,
}

/// Fault configuration, as posted to `/fault/log`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultConfig {
    /// Kind of fault.
    #[serde(default)]
    pub mode: Mode,
    /// Delay of each request when slow, duration of the outage when down, in milliseconds.
    pub ms: Option<u64>,
    /// Number of requests that the fault affects. `None`: all until the next configuration.
    pub count: Option<u64>,
}

/// Active fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    mode: Mode,
    delay: Duration,
    until: Option<Instant>,
    remaining: Option<u64>,
}

impl From<FaultConfig> for Fault {
    fn from(config: FaultConfig) -> Self {
        let duration = config.ms.map(Duration::from_millis);
        let until = duration
            .filter(|_| config.mode == Mode::Down)
            .map(|duration| Instant::now() + duration);
        Fault {
            mode: config.mode,
            delay: duration.unwrap_or_default(),
            until,
            remaining: config.count,
        }
    }
}

impl Fault {
    /// Returns the fault that affects the next request, and the delay when slow. Counts the
    /// request.
    pub fn next_request(&mut self) -> (Mode, Duration) {
        if self.until.is_some_and(|until| Instant::now() >= until) {
            *self = Fault::default();
        }
        let current = (self.mode, self.delay);
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(1);
            if *remaining == 0 {
                *self = Fault::default();
            }
        }
        current
    }

    /// Returns the active kind of fault without counting a request.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns whether the service is down, without counting a request.
    pub fn is_down(&self) -> bool {
        self.mode == Mode::Down && self.until.is_none_or(|until| Instant::now() < until)
    }
}
