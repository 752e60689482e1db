//! Bounds how many log lines requests may cause.
//!
//! Answers load at which nearly every request is refused: lines go out at a steady rate with a
//! burst, and those that are left out are counted and told with the next one.

use crate::units::Micros;

/// Lines that go out each second.
const LINES_PER_S: u64 = 40;
/// Lines that go out at once after a quiet time.
const BURST: u64 = 200;
/// Time in which one more line may go out.
const LINE_US: u64 = 1_000_000 / LINES_PER_S;

/// Bounds how many lines go out.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimiter {
    /// The moment from which lines are paid for; it lies in the past by what is left.
    paid: Micros,
    left_out: u64,
}

impl LogLimiter {
    /// Whether a line may go out now; then how many were left out before it.
    pub fn try_log(&mut self, now: Micros) -> Option<u64> {
        let oldest = now;
        // Counted ahead by a burst, so that a process has a whole one from its start.
        let now = now + Micros(LINE_US * BURST);
        let paid = self.paid.max(oldest) + Micros(LINE_US);
        if paid > now + Micros(LINE_US) {
            self.left_out += 1;
            return None;
        }
        self.paid = paid;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[cfg(test)]
mod tests;
