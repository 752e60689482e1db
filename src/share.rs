//! Fair share: how much service each client account has received, fleet-wide.
//!
//! One [`Share`] per service. A level is the slot time charged to a client account, equal for all.

use std::collections::BTreeMap;

use crate::ids::AccountKey;
use crate::units::Micros;

/// Service levels of the client accounts of one service, as one entry knows them.
#[derive(Debug, Default)]
pub struct Share {
    levels: BTreeMap<AccountKey, Level>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    total: Micros,
    backlogged: bool,
}

impl Share {
    /// A share without any service.
    pub fn new() -> Self {
        Self::default()
    }

    /// The account has work waiting here. One that comes back from idle is lifted to the least
    /// level among the backlogged, so that idling earns no credit.
    pub fn backlogged(&mut self, account: AccountKey) {
        let least = self.least();
        let level = self.levels.entry(account).or_default();
        if level.backlogged {
            return;
        }
        level.backlogged = true;
        level.total = level.total.max(least.unwrap_or_default());
    }

    /// The account has no work waiting here.
    pub fn idle(&mut self, account: AccountKey) {
        if let Some(level) = self.levels.get_mut(&account) {
            level.backlogged = false;
        }
    }

    /// Charges slot time to the account.
    pub fn debit(&mut self, account: AccountKey, amount: Micros) {
        self.levels.entry(account).or_default().total += amount;
    }

    /// Takes back slot time that was charged and not used.
    pub fn credit(&mut self, account: AccountKey, amount: Micros) {
        let level = self.levels.entry(account).or_default();
        level.total = level.total - amount;
    }

    /// The account's level.
    pub fn level(&self, account: AccountKey) -> Micros {
        self.levels
            .get(&account)
            .map(|l| l.total)
            .unwrap_or_default()
    }

    /// The backlogged account whose turn it is, and its level.
    pub fn first(&self) -> Option<(AccountKey, Micros)> {
        self.levels
            .iter()
            .filter(|(_, l)| l.backlogged)
            .map(|(&k, l)| (k, l.total))
            .min_by_key(|&(k, total)| (total, k))
    }

    /// The least level among the backlogged accounts.
    pub fn least(&self) -> Option<Micros> {
        self.first().map(|(_, level)| level)
    }
}
