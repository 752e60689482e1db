//! How much the fleet charges a client account for each charge at this entry.

use crate::units::Micros;

/// Part of former rounds that counts on at each round.
const MEMORY: f64 = 0.9;
/// Slot time at this entry, in microseconds, for which the ratio starts as the number of entries.
const PRIOR_US: f64 = 10e6;

/// Charges of the last rounds, at this entry and in the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ratio {
    own: f64,
    fleet: f64,
    confirmed: Option<Micros>,
}

impl Ratio {
    /// A round ended in which so many microseconds were charged here.
    pub fn collect(&mut self, charged: i64) {
        self.own += charged as f64;
    }

    /// The fleet's level is now known to be this.
    pub fn confirm(&mut self, level: Micros) {
        if let Some(last) = self.confirmed.replace(level) {
            self.fleet += level.0 as f64 - last.0 as f64;
        }
        self.fleet *= MEMORY;
        self.own *= MEMORY;
    }

    /// What the fleet charges meanwhile when this is charged here, at so many entries.
    pub fn of(&self, amount: Micros, entries: u32) -> Micros {
        let most = f64::from(entries.max(1));
        let own = self.own.max(0.0) + PRIOR_US;
        let ratio = (self.fleet + most * PRIOR_US) / own;
        Micros((amount.0 as f64 * ratio.clamp(1.0, most)) as u64)
    }
}
