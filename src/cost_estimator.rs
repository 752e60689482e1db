//! Estimates the slot time of requests from earlier outcomes.
//!
//! Slot time is the time for which a request occupies one of a target's slots. A caller's cost hint
//! is used to group similar requests, not as the cost itself: the estimator keeps a moving average
//! of the ratio of actual slot time to hint, for each client account and magnitude of the hint. So
//! wrong hints are corrected by the outcomes of requests with the same hint, and only for the
//! account that sent them.

use std::collections::BTreeMap;

use crate::ids::AccountKey;
use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Number of distinct hint magnitudes; each is twice the previous one.
const MAGNITUDES: usize = 24;
/// Minimum hint; lower hints are raised to it.
const MIN_HINT: Micros = Micros::from_ms(1);
/// EWMA weight of the latest outcome.
const WEIGHT: f32 = 0.125;
/// Maximum ratio that is recorded for one outcome; the minimum is its inverse.
const MAX_RATIO: f32 = 1_000.0;

/// Ratios of slot time to hint per client account. Memory is bounded by the number of accounts.
#[derive(Debug, Default)]
pub struct CostEstimator {
    ratios: BTreeMap<AccountKey, [f32; MAGNITUDES]>,
}

impl CostEstimator {
    /// Creates an estimator without history, which returns hints unchanged.
    pub fn new() -> Self {
        Self::default()
    }

    /// Estimates the slot time of an account's request with this hint.
    pub fn estimate(&self, account: AccountKey, hint: Micros) -> Micros {
        let hint = hint.max(MIN_HINT);
        let ratio = self
            .ratios
            .get(&account)
            .map_or(1.0, |r| r[magnitude(hint)]);
        Micros((hint.0 as f64 * f64::from(ratio)) as u64)
    }

    /// Records the actual slot time of a request with this hint.
    pub fn record(&mut self, account: AccountKey, hint: Micros, spent: Micros) {
        let hint = hint.max(MIN_HINT);
        let ratios = self.ratios.entry(account).or_insert([1.0; MAGNITUDES]);
        let ratio = &mut ratios[magnitude(hint)];
        let observed = (spent.0 as f32 / hint.0 as f32).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        *ratio += WEIGHT * (observed - *ratio);
    }
}

fn magnitude(hint: Micros) -> usize {
    let log = (hint.0 / MIN_HINT.0).max(1).ilog2() as usize;
    log.min(MAGNITUDES - 1)
}
