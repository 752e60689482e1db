//! Cost of requests, learnt from those before.
//!
//! A caller's hint says which of its requests are alike, not what they cost: for each client
//! account and magnitude of hint, the ratio of slot time taken to hint is learnt. A wrong hint is
//! so corrected by its own outcomes, and only for the account that gave it.

use std::collections::BTreeMap;

use crate::ids::AccountKey;
use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Magnitudes of hint that are told apart; each is twice the one before.
const MAGNITUDES: usize = 24;
/// Least hint that is told from none.
const LEAST_HINT: Micros = Micros::from_ms(1);
/// Weight of the latest outcome.
const WEIGHT: f32 = 0.125;
/// Largest ratio that one outcome counts for, either way.
const MAX_RATIO: f32 = 1_000.0;

/// Ratios of slot time to hint, by client account. Memory is bounded by the accounts.
#[derive(Debug, Default)]
pub struct CostEstimator {
    ratios: BTreeMap<AccountKey, [f32; MAGNITUDES]>,
}

impl CostEstimator {
    /// Nothing learnt: hints are taken as they are.
    pub fn new() -> Self {
        Self::default()
    }

    /// Slot time to expect of an account's request with this hint.
    pub fn estimate(&self, account: AccountKey, hint: Micros) -> Micros {
        let hint = hint.max(LEAST_HINT);
        let ratio = self
            .ratios
            .get(&account)
            .map_or(1.0, |r| r[magnitude(hint)]);
        Micros((hint.0 as f64 * f64::from(ratio)) as u64)
    }

    /// A request with this hint took this slot time.
    pub fn record(&mut self, account: AccountKey, hint: Micros, spent: Micros) {
        let hint = hint.max(LEAST_HINT);
        let ratios = self.ratios.entry(account).or_insert([1.0; MAGNITUDES]);
        let ratio = &mut ratios[magnitude(hint)];
        let seen = (spent.0 as f32 / hint.0 as f32).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        *ratio += WEIGHT * (seen - *ratio);
    }
}

fn magnitude(hint: Micros) -> usize {
    let log = (hint.0 / LEAST_HINT.0).max(1).ilog2() as usize;
    log.min(MAGNITUDES - 1)
}
