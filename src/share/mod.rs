//! Fair share: how much service each client account has received, fleet-wide.
//!
//! One [`Share`] per service. A level is the slot time charged to a client account by all entries,
//! as far as this entry knows; it is counted alike for every account.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::AccountKey;
use crate::units::Micros;

mod ratio;
#[cfg(test)]
mod tests;

use ratio::Ratio;

/// Rounds without any backlog after which an idle account is forgotten.
const QUIET_ROUNDS: u32 = 300;
/// Rounds for which an account counts as backlogged elsewhere after it was last heard to be.
const HEARD_ROUNDS: u8 = 2;

/// Slot time by which an account's level may exceed the least one while its short work goes first.
pub const SHORT_LEAD: Micros = Micros::from_secs(60);

/// Whether a client account has work waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Demand {
    /// Nothing waits.
    #[default]
    Idle,
    /// Work waits, and there was a moment in the last round when none did.
    Returned,
    /// Work has waited for the whole of the last round.
    Steady,
}

impl Demand {
    /// Whether work waits now.
    pub fn waits(self) -> bool {
        self != Demand::Idle
    }
}

/// A client account's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Its turn by its level: any of its work goes.
    Any(AccountKey),
    /// Its turn ahead of its level: only its short work goes.
    Short(AccountKey),
}

/// What one entry has to tell of a client account after a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The client account.
    pub account: AccountKey,
    /// Slot time charged here since the last report, in microseconds; negative when taken back.
    pub charged: i64,
    /// Whether the account has work waiting here.
    pub demand: Demand,
}

/// What the exchange tells of a client account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetUsage {
    /// All slot time that is known to be charged, here and elsewhere, and was collected.
    pub total: Micros,
    /// The part of it, in microseconds, that was charged here and that the fleet has not confirmed;
    /// negative when taken back.
    pub unconfirmed: i64,
    /// The account's demand in the fleet.
    pub demand: Demand,
}

/// Service levels of the client accounts of one service, as one entry knows them.
#[derive(Debug, Default)]
pub struct Share {
    levels: BTreeMap<AccountKey, Level>,
    turns: BTreeSet<(Micros, AccountKey)>,
    fleet: BTreeSet<(Micros, AccountKey)>,
    lasting: BTreeSet<(Micros, AccountKey)>,
    short: BTreeSet<(Micros, AccountKey)>,
    floor: Micros,
    members: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    total: Micros,
    fresh: i64,
    ratio: Ratio,
    here: bool,
    elsewhere: u8,
    steady: bool,
    /// Backlogged here for the whole of the last round.
    lasting: bool,
    quiet: u32,
    /// Whether short work is among what waits here.
    short: bool,
}

impl Share {
    /// A share without any service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Entries of the fleet, this one included. A charge is reckoned to go with as many like it
    /// until the exchange tells more.
    pub fn set_members(&mut self, members: usize) {
        self.members = u32::try_from(members).unwrap_or(u32::MAX);
    }

    /// The account has work waiting here. One that comes back from idle is lifted to the least
    /// level among those of the fleet that have been backlogged for a round, if there are any, else
    /// among all backlogged. So neither idling nor short waits earn credit.
    pub fn backlogged(&mut self, account: AccountKey) {
        let floor = self.floor();
        self.update(account, |level| {
            if level.here {
                return;
            }
            level.here = true;
            level.steady = false;
            level.lasting = false;
            if level.elsewhere == 0 {
                level.total = level.total.max(floor);
            }
        });
    }

    /// The account has no work waiting here.
    pub fn idle(&mut self, account: AccountKey) {
        if self.levels.contains_key(&account) {
            self.update(account, |level| {
                level.here = false;
                level.steady = false;
                level.lasting = false;
            });
        }
    }

    /// Charges slot time to the account. While nobody waits there is nobody to be fair to: the
    /// charge is reported, and the level stays.
    pub fn debit(&mut self, account: AccountKey, amount: Micros) {
        let floor = self.floor();
        let quiet = self.fleet.is_empty();
        let members = self.members;
        self.update(account, |level| {
            level.fresh = level.fresh.saturating_add(signed(amount));
            if !level.waits() {
                level.total = level.total.max(floor);
            }
            if quiet {
                return;
            }
            level.total += level.ratio.of(amount, members);
        });
    }

    /// Takes back slot time that was charged and not used.
    pub fn credit(&mut self, account: AccountKey, amount: Micros) {
        let members = self.members;
        if self.levels.contains_key(&account) {
            self.update(account, |level| {
                level.total = level.total - level.ratio.of(amount, members);
                level.fresh = level.fresh.saturating_sub(signed(amount));
            });
        }
    }

    /// The account's level. One that is not known has the level it would return with.
    pub fn level(&self, account: AccountKey) -> Micros {
        self.levels
            .get(&account)
            .map_or(self.floor, |level| level.total)
    }

    /// The account backlogged here whose turn it is, and its level.
    pub fn first(&self) -> Option<(AccountKey, Micros)> {
        self.turns.first().map(|&(level, account)| (account, level))
    }

    /// Whether the account has short work waiting here.
    pub fn set_short(&mut self, account: AccountKey, short: bool) {
        if self.levels.get(&account).is_some_and(|l| l.short != short) {
            self.update(account, |level| level.short = short);
        }
    }

    /// Whose turn it is. Short work goes before the work of others whose level is less by at most
    /// [`SHORT_LEAD`].
    pub fn turn(&self) -> Option<Turn> {
        let &(least, account) = self.turns.first()?;
        let lead = |&&(level, other): &&(Micros, AccountKey)| {
            other != account && level <= least + SHORT_LEAD
        };
        let turn = match self.short.first().filter(lead) {
            Some(&(_, account)) => Turn::Short(account),
            None => Turn::Any(account),
        };
        Some(turn)
    }

    /// The least level among the accounts backlogged here.
    pub fn least(&self) -> Option<Micros> {
        self.turns.first().map(|&(level, _)| level)
    }

    /// Client accounts held in memory.
    pub fn len(&self) -> usize {
        self.levels.len()
    }

    /// Whether no client account is held in memory.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Ends a round: returns what was charged here and who waits, and forgets the idle accounts
    /// whose level no longer matters.
    pub fn collect(&mut self) -> Vec<Report> {
        let quiet = self.fleet.is_empty();
        let floor = self.floor();
        let mut reports = Vec::new();
        for (&account, level) in &mut self.levels {
            level.ratio.collect(level.fresh);
            reports.push(Report {
                account,
                charged: std::mem::take(&mut level.fresh),
                demand: level.demand(),
            });
            let before = *level;
            level.lasting = level.here && level.steady;
            level.steady = level.here;
            level.elsewhere = level.elsewhere.saturating_sub(1);
            reorder(&mut self.lasting, account, before, *level, Level::lasts);
            if !level.waits() {
                self.fleet.remove(&(level.total, account));
            }
            level.quiet = if quiet { level.quiet + 1 } else { 0 };
        }
        self.levels.retain(|_, level| {
            level.waits() || (level.total > floor && level.quiet < QUIET_ROUNDS)
        });
        reports
    }

    /// Takes over the fleet's level of an account. What was charged here and is not confirmed counts
    /// as many times as the fleet has charged for each charge here: the other entries do likewise
    /// meanwhile.
    pub fn apply(&mut self, account: AccountKey, usage: FleetUsage) {
        let known = self.levels.contains_key(&account);
        if !usage.demand.waits() && !known && usage.total <= self.floor {
            return;
        }
        let members = self.members;
        self.update(account, |level| {
            let confirmed = Micros(usage.total.0.saturating_add_signed(-usage.unconfirmed));
            level.ratio.confirm(confirmed);
            let own = usage.unconfirmed.saturating_add(level.fresh);
            let all = level.ratio.of(Micros(own.unsigned_abs()), members);
            level.total = match own >= 0 {
                true => confirmed + all,
                false => confirmed - all,
            };
            level.elsewhere = match usage.demand {
                Demand::Steady => HEARD_ROUNDS,
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
        reorder(&mut self.turns, account, before, after, |l| l.here);
        reorder(&mut self.fleet, account, before, after, Level::waits);
        reorder(&mut self.lasting, account, before, after, Level::lasts);
        reorder(&mut self.short, account, before, after, |l| {
            l.here && l.short
        });
        self.floor = self.floor.max(self.floor());
    }
}

impl Level {
    fn waits(&self) -> bool {
        self.here || self.elsewhere > 0
    }

    fn lasts(&self) -> bool {
        self.lasting || self.elsewhere > 0
    }

    fn demand(&self) -> Demand {
        match (self.here, self.steady) {
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
