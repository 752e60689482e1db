//! Estimates how many times more slot time the whole fleet charges a client account than this entry
//! does.
//!
//! An entry is a router process; slot time is the time for which a request occupies one of a
//! target's slots.

use crate::units::Micros;

/// Factor by which both sums decay with each new fleet total.
const DECAY: f64 = 0.9;
/// Weight of the prior, in microseconds of slot time at this entry. The prior assumes that every
/// entry charges the same amount, so that the ratio is the number of entries.
const PRIOR_US: f64 = 10e6;

/// Decaying sums of the charges to one client account at this entry and in the whole fleet, in
/// microseconds of slot time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetRatio {
    local: f64,
    fleet: f64,
    /// The fleet total of the last call of [`FleetRatio::add_fleet_total`]; `None` before the
    /// first.
    last_total: Option<Micros>,
}

impl FleetRatio {
    /// Adds charges at this entry, in microseconds; negative after refunds.
    pub fn add_local(&mut self, charged: i64) {
        self.local += charged as f64;
    }

    /// Adds the fleet's charges since the last call, and decays both sums. `total` is the sum of
    /// all charges known so far, without those of this entry that the fleet has not confirmed yet.
    /// The first call adds nothing, since there is no earlier total.
    pub fn add_fleet_total(&mut self, total: Micros) {
        if let Some(last) = self.last_total.replace(total) {
            self.fleet += total.0 as f64 - last.0 as f64;
        }
        self.fleet *= DECAY;
        self.local *= DECAY;
    }

    /// Estimates how much a fleet of `entries` entries charges while this entry charges `amount`.
    /// The result is between `amount` and `entries` times `amount`.
    pub fn scale(&self, amount: Micros, entries: u32) -> Micros {
        let max = f64::from(entries.max(1));
        let local = self.local.max(0.0) + PRIOR_US;
        let ratio = (self.fleet + max * PRIOR_US) / local;
        Micros((amount.0 as f64 * ratio.clamp(1.0, max)) as u64)
    }
}
