//! Levels and demand of the pairs that a member knows.

use std::collections::BTreeMap;

use super::LevelUpdate;
use crate::exchange::ShareKey;
use crate::exchange::gossip::QUANTUM_US;
use crate::ids::ServiceKey;
use crate::share::{Demand, FleetUsage, Report};
use crate::units::Micros;

/// Most that a merge after a partition moves an account against another one, in microseconds.
pub const MERGE_CAP_US: i64 = 60_000_000;
/// Rounds without any backlog at a service after which its idle accounts are forgotten.
const QUIET_ROUNDS: u32 = 300;
/// Rounds of the parent after which a pair that it no longer names counts as idle elsewhere.
const EXPIRE_ROUNDS: u32 = 2;

/// What is known of one pair. All amounts are microseconds of slot time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cell {
    /// Level as the parent told it; at a root, the level itself.
    pub base: i64,
    /// Charges in batches that the base does not include.
    pub unacked: i64,
    /// Charges in no batch yet.
    pub pending: i64,
    /// Charges settled as a root, for a merge with another part of the fleet.
    pub alone: i64,
    /// Demand here.
    pub own: Demand,
    /// Demand in the subtree.
    pub subtree: Demand,
    /// Demand in the fleet, as the parent told it.
    pub fleet: Demand,
    /// Demand that the parent was last told.
    pub told: Demand,
    /// Round of the parent that last named the pair.
    pub seen: u32,
    /// Rounds without any backlog at the service.
    pub quiet: u32,
}

impl Cell {
    /// All that is known to be charged.
    pub fn level(&self) -> i64 {
        let own = self.unacked.saturating_add(self.pending);
        self.base.saturating_add(own).max(0)
    }

    /// Charges that the base does not include, but for what is too little to be sent.
    fn unconfirmed(&self) -> i64 {
        let due = self.pending / QUANTUM_US * QUANTUM_US;
        self.unacked.saturating_add(due)
    }

    /// Demand wherever it is known.
    pub fn demand(&self) -> Demand {
        self.subtree.max(self.fleet).max(self.own)
    }

    fn lift(&mut self, floor: i64) {
        let missing = floor.saturating_sub(self.level());
        self.base = self.base.saturating_add(missing.max(0));
    }
}

/// The pairs, and per service the least level that backlogged ones had.
#[derive(Debug, Default)]
pub struct Cells {
    cells: BTreeMap<ShareKey, Cell>,
    floors: BTreeMap<ServiceKey, i64>,
}

impl Cells {
    /// All pairs.
    pub fn iter(&self) -> impl Iterator<Item = (ShareKey, &Cell)> {
        self.cells.iter().map(|(&p, c)| (p, c))
    }

    /// All pairs, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ShareKey, &mut Cell)> {
        self.cells.iter_mut().map(|(&p, c)| (p, c))
    }

    /// A pair, when it is known.
    pub fn get_mut(&mut self, pair: ShareKey) -> Option<&mut Cell> {
        self.cells.get_mut(&pair)
    }

    /// The level of a pair.
    pub fn level(&self, pair: ShareKey) -> Micros {
        let level = match self.cells.get(&pair) {
            Some(cell) => cell.level(),
            None => self.floor(pair.service),
        };
        Micros(level.max(0) as u64)
    }

    /// Takes in what one service charged here. Charges of idle accounts at a service where nobody
    /// waits are left out: there is nobody to be fair to.
    pub fn collect(&mut self, service: ServiceKey, reports: &[Report]) {
        let contended = reports.iter().any(|r| r.demand.waits()) || self.contended(service);
        for report in reports {
            let pair = ShareKey {
                service,
                account: report.account,
            };
            if !contended && !self.cells.contains_key(&pair) {
                continue;
            }
            if report.charged != 0 || report.demand.waits() {
                self.charge(pair, report.charged, report.demand);
            }
        }
        self.set_own(service, reports);
    }

    /// Adds a charge. A pair that was idle in the fleet is first lifted to the least level among
    /// the backlogged.
    pub fn charge(&mut self, pair: ShareKey, amount: i64, demand: Demand) {
        let floor = self.floor(pair.service);
        let known = self.cells.contains_key(&pair);
        let cell = self.cells.entry(pair).or_default();
        let returns = demand == Demand::Returned && cell.demand() != Demand::Steady;
        if !known || returns {
            cell.lift(floor);
        }
        cell.pending = cell.pending.saturating_add(amount);
    }

    /// Sets the demand of subtrees below, joined with the demand here.
    pub fn settle_demands(&mut self, joined: BTreeMap<ShareKey, Demand>) {
        for pair in joined.keys() {
            self.cells.entry(*pair).or_default();
        }
        for (pair, cell) in &mut self.cells {
            let below = joined.get(pair).copied().unwrap_or_default();
            cell.subtree = below.max(cell.own);
        }
        self.raise_floors();
    }

    /// At a root, charges are settled at once.
    pub fn settle_root(&mut self) {
        for cell in self.cells.values_mut() {
            let amount = std::mem::take(&mut cell.pending);
            cell.base = cell.base.saturating_add(amount).max(0);
            cell.alone = cell.alone.saturating_add(amount);
            cell.fleet = Demand::Idle;
        }
    }

    /// A former root tells its new parent what it settled alone, relative to the least of each
    /// service and capped.
    pub fn report_alone(&mut self) {
        let mut least: BTreeMap<ServiceKey, i64> = BTreeMap::new();
        for (pair, cell) in &self.cells {
            let known = least.entry(pair.service).or_insert(cell.alone);
            *known = cell.alone.min(*known);
        }
        for (pair, cell) in &mut self.cells {
            let amount = cell
                .alone
                .saturating_sub(least[&pair.service])
                .min(MERGE_CAP_US);
            cell.alone = 0;
            cell.base = cell.base.saturating_sub(amount);
            cell.pending = cell.pending.saturating_add(amount);
        }
    }

    /// Leaves out what was settled alone: the parent takes over the levels as they are.
    pub fn clear_alone(&mut self) {
        self.cells.values_mut().for_each(|c| c.alone = 0);
    }

    /// Takes over a level from the parent.
    pub fn adopt(&mut self, pair: ShareKey, level: i64, demand: Demand, round: u32) {
        let cell = self.cells.entry(pair).or_default();
        cell.base = level;
        cell.fleet = demand;
        cell.seen = round;
    }

    /// Takes over a level that a child still knows.
    pub fn seed(&mut self, pair: ShareKey, level: i64) {
        let cell = self.cells.entry(pair).or_default();
        cell.base = cell.base.max(level);
    }

    /// Pairs that the parent no longer names count as idle elsewhere.
    pub fn expire(&mut self, round: u32) {
        for cell in self.cells.values_mut() {
            if round.wrapping_sub(cell.seen) >= EXPIRE_ROUNDS {
                cell.fleet = Demand::Idle;
            }
        }
    }

    /// Forgets idle pairs whose level no longer matters: a return would lift them to the same.
    pub fn forget(&mut self) {
        let floors = &self.floors;
        let waits: std::collections::BTreeSet<ServiceKey> = self
            .cells
            .iter()
            .filter(|(_, c)| c.demand().waits())
            .map(|(p, _)| p.service)
            .collect();
        self.cells.retain(|pair, cell| {
            cell.quiet = match waits.contains(&pair.service) {
                true => 0,
                false => cell.quiet + 1,
            };
            let floor = floors.get(&pair.service).copied().unwrap_or_default();
            let matters = cell.level() > floor && cell.quiet < QUIET_ROUNDS;
            cell.demand().waits() || cell.told.waits() || cell.unacked != 0 || matters
        });
    }

    /// The levels to give to the schedulers.
    pub fn updates(&self) -> impl Iterator<Item = LevelUpdate> {
        self.cells.iter().map(|(&key, cell)| LevelUpdate {
            key,
            usage: FleetUsage {
                total: Micros(cell.level() as u64),
                unconfirmed: cell.unconfirmed(),
                demand: cell.fleet.max(cell.subtree),
            },
        })
    }

    /// Bytes of state.
    pub fn state_bytes(&self) -> usize {
        self.cells.len() * (size_of::<ShareKey>() + size_of::<Cell>())
            + self.floors.len() * size_of::<(ServiceKey, i64)>()
    }

    fn floor(&self, service: ServiceKey) -> i64 {
        self.floors.get(&service).copied().unwrap_or_default()
    }

    fn contended(&self, service: ServiceKey) -> bool {
        let first = ShareKey {
            service,
            ..ShareKey::default()
        };
        self.cells
            .range(first..)
            .take_while(|(p, _)| p.service == service)
            .any(|(_, c)| c.demand().waits())
    }

    fn set_own(&mut self, service: ServiceKey, reports: &[Report]) {
        let demands: BTreeMap<_, _> = reports.iter().map(|r| (r.account, r.demand)).collect();
        let first = ShareKey {
            service,
            ..ShareKey::default()
        };
        let of_service = self
            .cells
            .range_mut(first..)
            .take_while(|(p, _)| p.service == service);
        for (pair, cell) in of_service {
            cell.own = demands.get(&pair.account).copied().unwrap_or_default();
        }
    }

    fn raise_floors(&mut self) {
        let mut least: BTreeMap<ServiceKey, i64> = BTreeMap::new();
        for (pair, cell) in self.cells.iter().filter(|(_, c)| c.demand().waits()) {
            let known = least.entry(pair.service).or_insert(cell.level());
            *known = cell.level().min(*known);
        }
        // Short waits must not hold the floor down.
        let mut lasting: BTreeMap<ServiceKey, i64> = BTreeMap::new();
        let steady = |c: &Cell| c.demand() == Demand::Steady;
        for (pair, cell) in self.cells.iter().filter(|(_, c)| steady(c)) {
            let known = lasting.entry(pair.service).or_insert(cell.level());
            *known = cell.level().min(*known);
        }
        least.extend(lasting);
        for (service, level) in least {
            let floor = self.floors.entry(service).or_default();
            *floor = level.max(*floor);
        }
    }
}
