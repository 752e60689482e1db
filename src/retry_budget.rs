//! Budget for retries and hedges, as a percentage of the first attempts, so that extra attempts
//! cannot overload a fleet that is already failing.

#[cfg(test)]
mod tests;

/// Number of credits that one extra attempt costs. A first attempt deposits one credit per percent
/// of the budget.
const ATTEMPT_COST: u32 = 100;
/// Maximum number of extra attempts for which credits can be accumulated.
const MAX_ATTEMPTS: u32 = 10;

/// Token bucket for extra attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u8,
    credits: u32,
}

impl RetryBudget {
    /// Creates a budget that allows extra attempts up to `percent` of the first attempts, and one
    /// initially unless `percent` is zero.
    pub const fn new(percent: u8) -> Self {
        let credits = if percent == 0 { 0 } else { ATTEMPT_COST };
        RetryBudget { percent, credits }
    }

    /// Like [`RetryBudget::new`], but initially allows the maximum number of extra attempts, unless
    /// `percent` is zero.
    pub const fn full(percent: u8) -> Self {
        let credits = if percent == 0 {
            0
        } else {
            ATTEMPT_COST * MAX_ATTEMPTS
        };
        RetryBudget { percent, credits }
    }

    /// Changes the percentage; zero also discards accumulated credits.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
        if percent == 0 {
            self.credits = 0;
        }
    }

    /// Adds the credits of one first attempt.
    pub fn deposit(&mut self) {
        let credits = self.credits + u32::from(self.percent);
        self.credits = credits.min(ATTEMPT_COST * MAX_ATTEMPTS);
    }

    /// Withdraws the cost of one extra attempt. Returns `false` if the credits do not suffice, so
    /// that it must not be sent.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.credits.checked_sub(ATTEMPT_COST) else {
            return false;
        };
        self.credits = remaining;
        true
    }
}
