//! Fair sharing of slot time between client accounts, across the fleet.
//!
//! Slot time is the time for which a request occupies one of a target's slots; an entry is a router
//! process, which queues requests and dispatches them. There is one [`Share`] per service at each
//! entry. An account's level is the slot time that all entries have charged to it, as far as this
//! entry knows. The backlogged account (one with waiting requests) with the least level is served
//! next, except that short requests of other accounts may precede (see [`Turn`]). Accounts are
//! equal: levels have no weights.
//!
//! A round ends with each call of [`Share::collect`], whose reports are exchanged with the other
//! entries.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::AccountKey;
use crate::units::Micros;

mod ratio;
#[cfg(test)]
mod tests;

use ratio::FleetRatio;

/// Number of rounds without any backlog after which an idle account is dropped from memory.
const IDLE_ROUNDS: u32 = 300;
/// Number of rounds for which an account counts as backlogged at other entries after the last
/// update that said so.
const REMOTE_ROUNDS: u8 = 2;

/// Maximum excess of an account's level over the least level up to which its short requests still
/// go first.
pub const SHORT_LEAD: Micros = Micros::from_secs(60);

/// Whether a client account has requests waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Demand {
    /// No request waits.
    #[default]
    Idle,
    /// Requests wait, but none did at some time in the last round.
    Returned,
    /// Requests have been waiting throughout the last round.
    Steady,
}

impl Demand {
    /// Whether requests wait now.
    pub fn waits(self) -> bool {
        self != Demand::Idle
    }
}

/// The client account to be served next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The account has the least level: any of its requests may go.
    Any(AccountKey),
    /// The account precedes others with a lower level: only its short requests may go.
    Short(AccountKey),
}

/// One entry's report on a client account after a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The client account.
    pub account: AccountKey,
    /// Slot time charged here since the last report, in microseconds; negative after refunds.
    pub charged: i64,
    /// The account's demand at this entry.
    pub demand: Demand,
}

/// Fleet-wide usage of a client account, from the exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetUsage {
    /// All slot time known to be charged, at this and at other entries, up to the last call of
    /// [`Share::collect`].
    pub total: Micros,
    /// The part of `total`, in microseconds, that was charged at this entry and is not yet
    /// confirmed by the fleet; negative after refunds.
    pub unconfirmed: i64,
    /// The account's demand in the fleet.
    pub demand: Demand,
}

/// Levels of the client accounts of one service, as known to one entry.
///
/// Each set orders some of the accounts by level.
#[derive(Debug, Default)]
pub struct Share {
    levels: BTreeMap<AccountKey, Level>,
    /// Accounts backlogged at this entry.
    local: BTreeSet<(Micros, AccountKey)>,
    /// Accounts backlogged anywhere in the fleet.
    fleet: BTreeSet<(Micros, AccountKey)>,
    /// Accounts backlogged for at least a round, at this or another entry.
    lasting: BTreeSet<(Micros, AccountKey)>,
    /// Accounts with short requests that may go first.
    short: BTreeSet<(Micros, AccountKey)>,
    /// Highest value of [`Share::floor`] so far.
    floor: Micros,
    members: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    total: Micros,
    /// Slot time charged at this entry since the last report, in microseconds; negative after
    /// refunds.
    unreported: i64,
    ratio: FleetRatio,
    /// Whether the account is backlogged at this entry.
    local: bool,
    /// Number of rounds for which the account still counts as backlogged at other entries.
    remote: u8,
    /// Whether it has been backlogged at this entry since the start of the current round.
    steady: bool,
    /// Whether it was backlogged at this entry throughout the last round.
    lasting: bool,
    /// Number of rounds since any account was backlogged.
    idle_rounds: u32,
    /// Whether short requests that wait here may go first.
    short: bool,
}

impl Share {
    /// Creates a share without any accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of entries in the fleet, including this one. Until the exchange reports
    /// actual usage, every entry is assumed to charge as much as this one.
    pub fn set_members(&mut self, members: usize) {
        self.members = u32::try_from(members).unwrap_or(u32::MAX);
    }

    /// Marks the account as backlogged here. When it was idle, its level is raised to the least
    /// level among the accounts that have been backlogged for a round, if there are any, else among
    /// all backlogged accounts. So an account earns no credit by being idle or by short waits.
    pub fn set_backlogged(&mut self, account: AccountKey) {
        let floor = self.floor();
        self.update(account, |level| {
            if level.local {
                return;
            }
            level.local = true;
            level.steady = false;
            level.lasting = false;
            if level.remote == 0 {
                level.total = level.total.max(floor);
            }
        });
    }

    /// Marks the account as idle here.
    pub fn set_idle(&mut self, account: AccountKey) {
        if self.levels.contains_key(&account) {
            self.update(account, |level| {
                level.local = false;
                level.steady = false;
                level.lasting = false;
            });
        }
    }

    /// Charges slot time to the account. While no account is backlogged in the fleet, the charge is
    /// reported but leaves the level unchanged: no other account is kept waiting by it.
    pub fn debit(&mut self, account: AccountKey, amount: Micros) {
        let floor = self.floor();
        let idle = self.fleet.is_empty();
        let members = self.members;
        self.update(account, |level| {
            level.unreported = level.unreported.saturating_add(signed(amount));
            if !level.is_backlogged() {
                level.total = level.total.max(floor);
            }
            if idle {
                return;
            }
            level.total += level.ratio.scale(amount, members);
        });
    }

    /// Refunds slot time that was charged but not used.
    pub fn credit(&mut self, account: AccountKey, amount: Micros) {
        let members = self.members;
        if self.levels.contains_key(&account) {
            self.update(account, |level| {
                level.total = level.total - level.ratio.scale(amount, members);
                level.unreported = level.unreported.saturating_sub(signed(amount));
            });
        }
    }

    /// The account's level. For an account not held in memory, the level it would start with.
    pub fn level(&self, account: AccountKey) -> Micros {
        self.levels
            .get(&account)
            .map_or(self.floor, |level| level.total)
    }

    /// The account with the least level among those backlogged here, and its level; `None` if no
    /// account is backlogged here.
    pub fn first(&self) -> Option<(AccountKey, Micros)> {
        self.local.first().map(|&(level, account)| (account, level))
    }

    /// Sets whether the account has short requests here that may go first.
    pub fn set_short(&mut self, account: AccountKey, short: bool) {
        if self.levels.get(&account).is_some_and(|l| l.short != short) {
            self.update(account, |level| level.short = short);
        }
    }

    /// The account to be served next; `None` if no account is backlogged here. Short requests go
    /// before requests of other accounts whose level is lower by at most [`SHORT_LEAD`].
    pub fn turn(&self) -> Option<Turn> {
        let &(least, account) = self.local.first()?;
        let lead = |&&(level, other): &&(Micros, AccountKey)| {
            other != account && level <= least + SHORT_LEAD
        };
        let turn = match self.short.first().filter(lead) {
            Some(&(_, account)) => Turn::Short(account),
            None => Turn::Any(account),
        };
        Some(turn)
    }

    /// The least level among the accounts backlogged here; `None` if there are none.
    pub fn least_level(&self) -> Option<Micros> {
        self.local.first().map(|&(level, _)| level)
    }

    /// Number of client accounts held in memory.
    pub fn len(&self) -> usize {
        self.levels.len()
    }

    /// Whether no client account is held in memory.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Ends a round: returns a report of the charges and demand of each account at this entry, and
    /// drops idle accounts whose level no longer has an effect.
    pub fn collect(&mut self) -> Vec<Report> {
        let idle = self.fleet.is_empty();
        let floor = self.floor();
        let mut reports = Vec::new();
        for (&account, level) in &mut self.levels {
            level.ratio.add_local(level.unreported);
            reports.push(Report {
                account,
                charged: std::mem::take(&mut level.unreported),
                demand: level.demand(),
            });
            let before = *level;
            level.lasting = level.local && level.steady;
            level.steady = level.local;
            level.remote = level.remote.saturating_sub(1);
            reorder(
                &mut self.lasting,
                account,
                before,
                *level,
                Level::is_lasting,
            );
            if !level.is_backlogged() {
                self.fleet.remove(&(level.total, account));
            }
            level.idle_rounds = if idle { level.idle_rounds + 1 } else { 0 };
        }
        self.levels.retain(|_, level| {
            level.is_backlogged() || (level.total > floor && level.idle_rounds < IDLE_ROUNDS)
        });
        reports
    }

    /// Applies the fleet-wide usage of an account. Charges made here that are not yet confirmed are
    /// scaled by the ratio of the fleet's charges to this entry's, because the other entries have
    /// made charges in the meantime too.
    pub fn apply(&mut self, account: AccountKey, usage: FleetUsage) {
        let known = self.levels.contains_key(&account);
        if !usage.demand.waits() && !known && usage.total <= self.floor {
            return;
        }
        let members = self.members;
        self.update(account, |level| {
            let confirmed = Micros(usage.total.0.saturating_add_signed(-usage.unconfirmed));
            level.ratio.add_fleet_total(confirmed);
            let own = usage.unconfirmed.saturating_add(level.unreported);
            let scaled = level.ratio.scale(Micros(own.unsigned_abs()), members);
            level.total = match own >= 0 {
                true => confirmed + scaled,
                false => confirmed - scaled,
            };
            level.remote = match usage.demand {
                Demand::Steady => REMOTE_ROUNDS,
                _ => 0,
            };
        });
    }

    fn floor(&self) -> Micros {
        let lasting = self.lasting.first();
        let least = lasting.or_else(|| self.fleet.first());
        least.map_or(self.floor, |&(level, _)| level)
    }

    fn update(&mut self, account: AccountKey, change: impl FnOnce(&mut Level)) {
        let level = self.levels.entry(account).or_default();
        let before = *level;
        change(level);
        let after = *level;
        reorder(&mut self.local, account, before, after, |l| l.local);
        reorder(
            &mut self.fleet,
            account,
            before,
            after,
            Level::is_backlogged,
        );
        reorder(&mut self.lasting, account, before, after, Level::is_lasting);
        reorder(&mut self.short, account, before, after, |l| {
            l.local && l.short
        });
        self.floor = self.floor.max(self.floor());
    }
}

impl Level {
    fn is_backlogged(&self) -> bool {
        self.local || self.remote > 0
    }

    fn is_lasting(&self) -> bool {
        self.lasting || self.remote > 0
    }

    fn demand(&self) -> Demand {
        match (self.local, self.steady) {
            (true, true) => Demand::Steady,
            (true, false) => Demand::Returned,
            (false, _) => Demand::Idle,
        }
    }
}

fn reorder(
    order: &mut BTreeSet<(Micros, AccountKey)>,
    account: AccountKey,
    before: Level,
    after: Level,
    member: impl Fn(&Level) -> bool,
) {
    if member(&before) {
        order.remove(&(before.total, account));
    }
    if member(&after) {
        order.insert((after.total, account));
    }
}

fn signed(amount: Micros) -> i64 {
    i64::try_from(amount.0).unwrap_or(i64::MAX)
}
