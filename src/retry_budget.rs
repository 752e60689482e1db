//! A budget for second copies: a share of first copies, so that retries and hedges cannot pile up.

#[cfg(test)]
mod tests;

/// Credits that one copy costs.
const COPY_COST: u32 = 100;
/// Most copies that can be saved up.
const MAX_SAVED: u32 = 10;

/// Credits for second copies.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u8,
    credits: u32,
}

impl RetryBudget {
    /// Allows second copies up to `percent` of first ones, and one to begin with unless that is
    /// zero.
    pub const fn new(percent: u8) -> Self {
        let credits = if percent == 0 { 0 } else { COPY_COST };
        RetryBudget { percent, credits }
    }

    /// As [`RetryBudget::new`], with as many copies saved up as can be.
    pub const fn full(percent: u8) -> Self {
        let credits = if percent == 0 {
            0
        } else {
            COPY_COST * MAX_SAVED
        };
        RetryBudget { percent, credits }
    }

    /// The rules changed the share.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
        if percent == 0 {
            self.credits = 0;
        }
    }

    /// A first copy was sent.
    pub fn deposit(&mut self) {
        let credits = self.credits + u32::from(self.percent);
        self.credits = credits.min(COPY_COST * MAX_SAVED);
    }

    /// Whether a second copy may be sent; if so, it is paid for.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.credits.checked_sub(COPY_COST) else {
            return false;
        };
        self.credits = left;
        true
    }
}
