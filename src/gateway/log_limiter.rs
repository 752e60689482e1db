//! Rate limit for log lines about requests.
//!
//! Under overload nearly every request is refused and would log a line. A token bucket limits the
//! lines; suppressed ones are counted and reported with the next line.

use crate::units::Micros;

/// Sustained number of log lines per second.
const LINES_PER_S: u64 = 40;
/// Number of lines that may be logged at once after a quiet period.
const BURST: u64 = 200;
/// Sustained number of lines per second while the gateway has no time for more.
const FEW_LINES_PER_S: u64 = 4;

/// Token bucket for log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogLimiter {
    /// Time per line at the sustained rate.
    line: Micros,
    /// Number of lines that may be logged at once after a quiet period.
    burst: u64,
    /// Time up to which the sustained rate is used up; may be ahead of the clock by the burst.
    used_until: Micros,
    suppressed: u64,
}

impl Default for LogLimiter {
    fn default() -> Self {
        LogLimiter::new(LINES_PER_S, BURST)
    }
}

impl LogLimiter {
    /// Allows this many lines per second, and a number of lines at once after a quiet period.
    fn new(rate: u64, burst: u64) -> Self {
        LogLimiter {
            line: Micros(Micros::from_secs(1).0 / rate),
            burst,
            used_until: Micros::ZERO,
            suppressed: 0,
        }
    }

    /// Allows few lines, for a gateway that has no time for more.
    pub fn few_lines() -> Self {
        LogLimiter::new(FEW_LINES_PER_S, FEW_LINES_PER_S)
    }

    /// Returns the number of lines suppressed since the last one if a line may be logged now,
    /// `None` if this one must be suppressed.
    pub fn try_log(&mut self, now: Micros) -> Option<u64> {
        let oldest = now;
        // Adding the burst here makes all of it available from the start of the process.
        let now = now + Micros(self.line.0 * self.burst);
        let used_until = self.used_until.max(oldest) + self.line;
        if used_until > now + self.line {
            self.suppressed += 1;
            return None;
        }
        self.used_until = used_until;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;
