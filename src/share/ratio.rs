//! FleetRatio of the fleet's charges to this entry's charges for a client account.

use crate::units::Micros;

/// Decay factor of earlier rounds at each new round.
const DECAY: f64 = 0.9;
/// Weight of the prior, in microseconds of slot time at this entry. The prior assumes that every
/// entry charges alike, so that the ratio is the number of entries.
const PRIOR_US: f64 = 10e6;

/// Decaying sums of the charges at this entry and in the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetRatio {
    own: f64,
    fleet: f64,
    confirmed: Option<Micros>,
}

impl FleetRatio {
    /// Adds a round's charges at this entry, in microseconds.
    pub fn collect(&mut self, charged: i64) {
        self.own += charged as f64;
    }

    /// Adds the fleet's charges since the last confirmed level, and decays both sums.
    pub fn confirm(&mut self, level: Micros) {
        if let Some(last) = self.confirmed.replace(level) {
            self.fleet += level.0 as f64 - last.0 as f64;
        }
        self.fleet *= DECAY;
        self.own *= DECAY;
    }

    /// Estimated charge of the whole fleet, of `entries` entries, while `amount` is charged here.
    /// Between `amount` and `entries` times `amount`.
    pub fn scale(&self, amount: Micros, entries: u32) -> Micros {
        let max = f64::from(entries.max(1));
        let own = self.own.max(0.0) + PRIOR_US;
        let ratio = (self.fleet + max * PRIOR_US) / own;
        Micros((amount.0 as f64 * ratio.clamp(1.0, max)) as u64)
    }
}
