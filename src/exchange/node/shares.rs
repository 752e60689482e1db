//! Levels and demand of all keys that a member knows.

use std::collections::BTreeMap;

use super::LevelUpdate;
use crate::exchange::ShareKey;
use crate::exchange::gossip::QUANTUM_US;
use crate::ids::ServiceKey;
use crate::share::{Demand, FleetUsage, Report};
use crate::units::Micros;

/// Maximum charge that a merge after a partition adds to one account, in microseconds of slot time.
pub const MAX_MERGE_US: i64 = 60_000_000;
/// Number of rounds without backlog at a service after which its idle accounts are evicted.
const IDLE_ROUNDS: u32 = 300;
/// Number of the parent's rounds after which a key that is missing from the parent's messages
/// counts as idle in the rest of the fleet.
const UNSEEN_ROUNDS: u32 = 2;

/// State of one key. All amounts are microseconds of slot time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareState {
    /// Level received from the parent; at a root, the level itself.
    pub base: i64,
    /// Charges in batches that the base does not include yet.
    pub unacked: i64,
    /// Charges that are not in a batch yet.
    pub pending: i64,
    /// Charges committed as a root, kept for a merge with another part of the fleet.
    pub as_root: i64,
    /// Demand at this member.
    pub local: Demand,
    /// Demand in the subtree, this member included.
    pub subtree: Demand,
    /// Demand in the fleet, as received from the parent.
    pub fleet: Demand,
    /// Demand that was last reported to the parent.
    pub reported: Demand,
    /// The parent's round that last included the key.
    pub last_seen: u32,
    /// Rounds without backlog at the service.
    pub idle_rounds: u32,
}

impl ShareState {
    /// Returns the level: the base plus all charges that the base does not include.
    pub fn level(&self) -> i64 {
        let own = self.unacked.saturating_add(self.pending);
        self.base.saturating_add(own).max(0)
    }

    /// Returns the charges that the base does not include, without the part that is too small to be
    /// sent.
    fn unconfirmed(&self) -> i64 {
        let due = self.pending / QUANTUM_US * QUANTUM_US;
        self.unacked.saturating_add(due)
    }

    /// Returns the strongest demand at this member, in the subtree or in the fleet.
    pub fn demand(&self) -> Demand {
        self.subtree.max(self.fleet).max(self.local)
    }

    fn raise_to(&mut self, floor: i64) {
        let missing = floor.saturating_sub(self.level());
        self.base = self.base.saturating_add(missing.max(0));
    }
}

/// The state of each key, and for each service the floor: the lowest level among its backlogged
/// keys, which never falls.
#[derive(Debug, Default)]
pub struct ShareTable {
    shares: BTreeMap<ShareKey, ShareState>,
    floors: BTreeMap<ServiceKey, i64>,
}

impl ShareTable {
    pub fn iter(&self) -> impl Iterator<Item = (ShareKey, &ShareState)> {
        self.shares.iter().map(|(&k, s)| (k, s))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ShareKey, &mut ShareState)> {
        self.shares.iter_mut().map(|(&k, s)| (k, s))
    }

    pub fn get_mut(&mut self, key: ShareKey) -> Option<&mut ShareState> {
        self.shares.get_mut(&key)
    }

    /// Returns the level of a key, or the service's floor if the key is unknown.
    pub fn level(&self, key: ShareKey) -> Micros {
        let level = match self.shares.get(&key) {
            Some(share) => share.level(),
            None => self.floor(key.service),
        };
        Micros(level.max(0) as u64)
    }

    /// Applies the charges that a service made at this member. If no account is backlogged at the
    /// service, charges of unknown accounts are ignored, because there is no account to compare
    /// them with.
    pub fn apply_reports(&mut self, service: ServiceKey, reports: &[Report]) {
        let has_backlog = reports.iter().any(|r| r.demand.waits()) || self.has_backlog(service);
        for report in reports {
            let key = ShareKey {
                service,
                account: report.account,
            };
            if !has_backlog && !self.shares.contains_key(&key) {
                continue;
            }
            if report.charged != 0 || report.demand.waits() {
                self.add_charge(key, report.charged, report.demand);
            }
        }
        self.set_local_demand(service, reports);
    }

    /// Adds a charge. The level of an unknown key, or of one that was idle and is backlogged again,
    /// is first raised to the floor.
    pub fn add_charge(&mut self, key: ShareKey, amount: i64, demand: Demand) {
        let floor = self.floor(key.service);
        let known = self.shares.contains_key(&key);
        let share = self.shares.entry(key).or_default();
        let returns = demand == Demand::Returned && share.demand() != Demand::Steady;
        if !known || returns {
            share.raise_to(floor);
        }
        share.pending = share.pending.saturating_add(amount);
    }

    /// Sets the demand of each subtree from that of the children, combined with the demand at this
    /// member.
    pub fn set_subtree_demand(&mut self, combined: BTreeMap<ShareKey, Demand>) {
        for key in combined.keys() {
            self.shares.entry(*key).or_default();
        }
        for (key, share) in &mut self.shares {
            let below = combined.get(key).copied().unwrap_or_default();
            share.subtree = below.max(share.local);
        }
        self.raise_floors();
    }

    /// Adds pending charges to the levels, as only a root does.
    pub fn commit_root_charges(&mut self) {
        for share in self.shares.values_mut() {
            let amount = std::mem::take(&mut share.pending);
            share.base = share.base.saturating_add(amount).max(0);
            share.as_root = share.as_root.saturating_add(amount);
            share.fleet = Demand::Idle;
        }
    }

    /// Queues the charges committed as a root for the new parent, relative to the lowest amount at
    /// each service and capped at [`MAX_MERGE_US`].
    pub fn queue_root_charges(&mut self) {
        let mut least: BTreeMap<ServiceKey, i64> = BTreeMap::new();
        for (key, share) in &self.shares {
            let known = least.entry(key.service).or_insert(share.as_root);
            *known = share.as_root.min(*known);
        }
        for (key, share) in &mut self.shares {
            let amount = share
                .as_root
                .saturating_sub(least[&key.service])
                .min(MAX_MERGE_US);
            share.as_root = 0;
            share.base = share.base.saturating_sub(amount);
            share.pending = share.pending.saturating_add(amount);
        }
    }

    /// Discards the charges committed as a root, when the new parent is cold and adopts the levels.
    pub fn clear_root_charges(&mut self) {
        self.shares.values_mut().for_each(|c| c.as_root = 0);
    }

    /// Sets the base to a level received from the parent.
    pub fn set_level(&mut self, key: ShareKey, level: i64, demand: Demand, round: u32) {
        let share = self.shares.entry(key).or_default();
        share.base = level;
        share.fleet = demand;
        share.last_seen = round;
    }

    /// Raises the base to a level received from a child.
    pub fn raise_base(&mut self, key: ShareKey, level: i64) {
        let share = self.shares.entry(key).or_default();
        share.base = share.base.max(level);
    }

    /// Marks the keys that the parent no longer sends as idle in the fleet.
    pub fn expire_unseen(&mut self, round: u32) {
        for share in self.shares.values_mut() {
            if round.wrapping_sub(share.last_seen) >= UNSEEN_ROUNDS {
                share.fleet = Demand::Idle;
            }
        }
    }

    /// Evicts idle keys that do not affect fairness: when such a key is charged again, its level is
    /// raised to the floor.
    pub fn evict_idle(&mut self) {
        let floors = &self.floors;
        let waits: std::collections::BTreeSet<ServiceKey> = self
            .shares
            .iter()
            .filter(|(_, c)| c.demand().waits())
            .map(|(p, _)| p.service)
            .collect();
        self.shares.retain(|key, share| {
            share.idle_rounds = match waits.contains(&key.service) {
                true => 0,
                false => share.idle_rounds + 1,
            };
            let floor = floors.get(&key.service).copied().unwrap_or_default();
            let matters = share.level() > floor && share.idle_rounds < IDLE_ROUNDS;
            share.demand().waits() || share.reported.waits() || share.unacked != 0 || matters
        });
    }

    /// Returns the levels to apply to the schedulers.
    pub fn updates(&self) -> impl Iterator<Item = LevelUpdate> {
        self.shares.iter().map(|(&key, share)| LevelUpdate {
            key,
            usage: FleetUsage {
                total: Micros(share.level() as u64),
                unconfirmed: share.unconfirmed(),
                demand: share.fleet.max(share.subtree),
            },
        })
    }

    /// Returns the approximate size of the state in bytes.
    pub fn state_bytes(&self) -> usize {
        self.shares.len() * (size_of::<ShareKey>() + size_of::<ShareState>())
            + self.floors.len() * size_of::<(ServiceKey, i64)>()
    }

    fn floor(&self, service: ServiceKey) -> i64 {
        self.floors.get(&service).copied().unwrap_or_default()
    }

    fn has_backlog(&self, service: ServiceKey) -> bool {
        let first = ShareKey {
            service,
            ..ShareKey::default()
        };
        self.shares
            .range(first..)
            .take_while(|(p, _)| p.service == service)
            .any(|(_, c)| c.demand().waits())
    }

    fn set_local_demand(&mut self, service: ServiceKey, reports: &[Report]) {
        let demands: BTreeMap<_, _> = reports.iter().map(|r| (r.account, r.demand)).collect();
        let first = ShareKey {
            service,
            ..ShareKey::default()
        };
        let of_service = self
            .shares
            .range_mut(first..)
            .take_while(|(p, _)| p.service == service);
        for (key, share) in of_service {
            share.local = demands.get(&key.account).copied().unwrap_or_default();
        }
    }

    fn raise_floors(&mut self) {
        let mut least: BTreeMap<ServiceKey, i64> = BTreeMap::new();
        for (key, share) in self.shares.iter().filter(|(_, c)| c.demand().waits()) {
            let known = least.entry(key.service).or_insert(share.level());
            *known = share.level().min(*known);
        }
        // A key that is backlogged only briefly must not hold the floor down.
        let mut lasting: BTreeMap<ServiceKey, i64> = BTreeMap::new();
        let steady = |c: &ShareState| c.demand() == Demand::Steady;
        for (key, share) in self.shares.iter().filter(|(_, c)| steady(c)) {
            let known = lasting.entry(key.service).or_insert(share.level());
            *known = share.level().min(*known);
        }
        least.extend(lasting);
        for (service, level) in least {
            let floor = self.floors.entry(service).or_default();
            *floor = level.max(*floor);
        }
    }
}
