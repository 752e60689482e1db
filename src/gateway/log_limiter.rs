//! Rate limit for log lines about requests.
//!
//! Under overload nearly every request is refused and would log a line. A token bucket limits the
//! lines; suppressed ones are counted and reported with the next line.

use crate::units::Micros;

/// Sustained rate of log lines.
const LINES_PER_S: u64 = 40;
/// Number of lines that may be logged at once after a quiet period.
const BURST: u64 = 200;
/// Time per line at the sustained rate.
const LINE_US: u64 = 1_000_000 / LINES_PER_S;

/// Token bucket for log lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimiter {
    /// Time up to which the sustained rate is used up; may be ahead of the clock by the burst.
    used_until: Micros,
    suppressed: u64,
}

impl LogLimiter {
    /// Returns the number of lines suppressed since the last one if a line may be logged now,
    /// `None` if this one must be suppressed.
    pub fn try_log(&mut self, now: Micros) -> Option<u64> {
        let oldest = now;
        // Adding the burst here makes all of it available from the start of the process.
        let now = now + Micros(LINE_US * BURST);
        let used_until = self.used_until.max(oldest) + Micros(LINE_US);
        if used_until > now + Micros(LINE_US) {
            self.suppressed += 1;
            return None;
        }
        self.used_until = used_until;
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;
