//! Durations, timestamps and slot time in microseconds. Slot time is the time for which a request
//! occupies one of a target's slots.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds: a duration, a timestamp relative to a [`Clock`], or an amount of target slot time.
/// Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    pub const ZERO: Micros = Micros(0);
    /// Largest representable value.
    pub const MAX: Micros = Micros(u64::MAX);

    /// Converts from whole milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Micros(ms.saturating_mul(1_000))
    }

    /// Converts from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Micros(secs.saturating_mul(1_000_000))
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }

    /// Seconds, including the fractional part.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// `self - other`, or zero when `other` is larger.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        self.saturating_sub(other)
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} ms", self.0 as f64 / 1e3)
    }
}

impl From<Duration> for Micros {
    fn from(span: Duration) -> Self {
        Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Micros> for Duration {
    fn from(span: Micros) -> Self {
        Duration::from_micros(span.0)
    }
}

/// Monotonic clock on tokio's time, read as [`Micros`] since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Clock {
            start: tokio::time::Instant::now(),
        }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> Micros {
        self.start.elapsed().into()
    }
}
