//! Faults of the platform's services, as an administrator orders them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How a service of the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It does not.
    #[default]
    Ok,
    /// All requests are refused with 503.
    Down,
    /// Each request waits before it takes effect.
    Slow,
    /// Appends take effect, but their connection is dropped in place of an answer.
    LoseAnswers,
    /// Appends take no effect, and their connection is dropped in place of an answer.
    LoseRequests,
}

/// An order for a fault.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// The fault.
    #[serde(default)]
    pub mode: Mode,
    /// Wait of each request when slow, length of the outage when down, in milliseconds.
    pub ms: Option<u64>,
    /// Requests that it concerns; none: until the next order.
    pub count: Option<u64>,
}

/// A fault in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    mode: Mode,
    wait: Duration,
    until: Option<Instant>,
    count: Option<u64>,
}

impl From<FaultOrder> for Fault {
    fn from(order: FaultOrder) -> Self {
        let span = order.ms.map(Duration::from_millis);
        let until = span
            .filter(|_| order.mode == Mode::Down)
            .map(|span| Instant::now() + span);
        Fault {
            mode: order.mode,
            wait: span.unwrap_or_default(),
            until,
            count: order.count,
        }
    }
}

impl Fault {
    /// The fault that one request meets, and how long it waits when slow.
    pub fn meet(&mut self) -> (Mode, Duration) {
        if self.until.is_some_and(|until| Instant::now() >= until) {
            *self = Fault::default();
        }
        let met = (self.mode, self.wait);
        if let Some(count) = &mut self.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                *self = Fault::default();
            }
        }
        met
    }

    /// The fault in force, without counting a request.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Whether the service is down, without counting a request.
    pub fn is_down(&self) -> bool {
        self.mode == Mode::Down && self.until.is_none_or(|until| Instant::now() < until)
    }
}
