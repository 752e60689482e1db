//! The two ends of an edge of the tree: what a member holds for its parent, and what it knows of
//! each child.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::cells::Cells;
use super::pack;
use crate::exchange::ShareKey;
use crate::exchange::gossip::{Down, QUANTUM_US, Up, UpRow};
use crate::exchange::numbering::RecentNumberings;
use crate::ids::BootId;
use crate::share::Demand;
use crate::units::Micros;

/// Batches that may wait for the parent; later charges stay in their cells.
const MAX_BATCHES: usize = 8;
/// Pairs that one batch is reckoned to hold.
const BATCH_PAIRS: usize = 160;
/// Batches that one round adds.
const ROUND_BATCHES: usize = 4;

/// A pair's part of a batch.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Whose charge it is.
    pub pair: ShareKey,
    /// Microseconds of slot time, a multiple of [`QUANTUM_US`].
    pub charge: i64,
    /// Demand in the subtree.
    pub demand: Demand,
}

/// A batch that the parent has not been heard to have taken.
#[derive(Clone, Debug)]
struct Batch {
    number: u32,
    names: u32,
    entries: Vec<Entry>,
    rows: Vec<UpRow>,
}

/// The edge to the parent.
#[derive(Debug, Default)]
pub struct Uplink {
    /// The parent; `None` at a root.
    pub parent: Option<SocketAddr>,
    /// Grows with each change of parent, or of the parent's run.
    pub epoch: u32,
    /// When the parent was last heard.
    pub heard: Micros,
    /// Time between the parent's rounds.
    pub period: Micros,
    /// Whether the parent knows no levels.
    pub cold: bool,
    boot: Option<BootId>,
    last: u32,
    batches: VecDeque<Batch>,
}

impl Uplink {
    /// Takes another parent. What the former one was not heard to have taken goes to the new one.
    pub fn join(&mut self, now: Micros, parent: Option<SocketAddr>, cells: &mut Cells) {
        self.parent = parent;
        self.heard = now;
        self.period = Micros::ZERO;
        self.cold = false;
        self.boot = None;
        self.restart(cells);
    }

    /// Takes note of a datagram from the parent.
    pub fn hear(&mut self, now: Micros, boot: BootId, down: &Down, cells: &mut Cells) {
        self.heard = now;
        self.period = Micros::from_ms(u64::from(down.period));
        self.cold = down.cold;
        if self.boot.is_some_and(|known| known != boot) {
            self.restart(cells);
        }
        self.boot = Some(boot);
    }

    /// Lets go of the batches that the parent's levels include.
    pub fn release(&mut self, taken: u32, cells: &mut Cells) {
        while self.batches.front().is_some_and(|b| b.number <= taken) {
            let batch = self.batches.pop_front().expect("the front was just seen");
            for entry in batch.entries {
                if let Some(cell) = cells.get_mut(entry.pair) {
                    cell.unacked = cell.unacked.saturating_sub(entry.charge);
                    cell.base = cell.base.saturating_add(entry.charge);
                }
            }
        }
    }

    /// Puts pending charges and changes of demand into batches.
    pub fn fill(&mut self, cells: &mut Cells, names: &RecentNumberings) {
        let Some(names) = names.current() else {
            return;
        };
        let room = MAX_BATCHES
            .saturating_sub(self.batches.len())
            .min(ROUND_BATCHES)
            * BATCH_PAIRS;
        let mut due: Vec<_> = cells
            .iter_mut()
            .filter(|(_, c)| {
                c.pending.unsigned_abs() >= QUANTUM_US as u64
                    || c.told != c.subtree
                    || c.subtree == Demand::Returned
            })
            .filter_map(|(p, c)| names.number(p).map(|n| (n, p, c)))
            .collect();
        due.sort_unstable_by_key(|(n, _, c)| {
            (
                !c.subtree.waits(),
                std::cmp::Reverse(c.pending.unsigned_abs()),
                *n,
            )
        });
        due.truncate(room);
        due.sort_unstable_by_key(|&(n, ..)| n);
        let entries: Vec<_> = due
            .into_iter()
            .map(|(_, pair, cell)| {
                let charge = cell.pending / QUANTUM_US * QUANTUM_US;
                cell.pending = cell.pending.saturating_sub(charge);
                cell.unacked = cell.unacked.saturating_add(charge);
                cell.told = cell.subtree;
                Entry {
                    pair,
                    charge,
                    demand: cell.subtree,
                }
            })
            .collect();
        for part in pack::batches(&entries, names) {
            self.last += 1;
            self.batches.push_back(Batch {
                number: self.last,
                names: names.digest(),
                entries: part.to_vec(),
                rows: pack::up_rows(part, names),
            });
        }
    }

    /// The batches that the parent was not heard to have taken; else a heartbeat.
    pub fn datagrams(&self, digest: u32, period: Micros) -> Vec<Up> {
        let head = Up {
            names: digest,
            epoch: self.epoch,
            oldest: self.batches.front().map_or(self.last + 1, |b| b.number),
            number: 0,
            period: u16::try_from(period.as_ms()).unwrap_or(u16::MAX),
            more: true,
            rows: Vec::new(),
        };
        let mut ups = Vec::new();
        for batch in &self.batches {
            ups.push(Up {
                number: batch.number,
                names: batch.names,
                rows: batch.rows.clone(),
                ..head.clone()
            });
        }
        if ups.is_empty() {
            ups.push(head);
        }
        ups.last_mut().expect("there is one").more = false;
        ups
    }

    /// Bytes of state.
    pub fn state_bytes(&self) -> usize {
        self.batches
            .iter()
            .map(|b| b.entries.len() * (size_of::<Entry>() + 16))
            .sum()
    }

    fn restart(&mut self, cells: &mut Cells) {
        self.epoch += 1;
        self.last = 0;
        for entry in self.batches.drain(..).flat_map(|b| b.entries) {
            if let Some(cell) = cells.get_mut(entry.pair) {
                cell.unacked = cell.unacked.saturating_sub(entry.charge);
                cell.pending = cell.pending.saturating_add(entry.charge);
            }
        }
        for (_, cell) in cells.iter_mut() {
            cell.told = Demand::Idle;
        }
    }
}

/// What a member knows of a child.
#[derive(Debug, Default)]
pub struct Child {
    /// The child's epoch.
    pub epoch: u32,
    /// Newest batch that was taken in.
    pub taken: u32,
    /// When it was last heard.
    pub heard: Micros,
    /// Whether its charges of this round have come.
    pub reported: bool,
    /// Time between rounds that its subtree needs to stay within budget.
    pub period: Micros,
    /// Pairs that wait in its subtree.
    pub demands: BTreeMap<ShareKey, Demand>,
    boot: Option<BootId>,
}

impl Child {
    /// Takes note of a datagram from the child.
    pub fn greet(&mut self, now: Micros, boot: BootId, up: &Up) {
        self.heard = now;
        self.period = Micros::from_ms(u64::from(up.period));
        if self.boot != Some(boot) || self.epoch != up.epoch {
            self.boot = Some(boot);
            self.epoch = up.epoch;
            self.taken = up.oldest.saturating_sub(1);
            self.demands.clear();
        }
    }

    /// Whether this batch follows the newest one.
    pub fn is_next(&self, number: u32) -> bool {
        Some(number) == self.taken.checked_add(1)
    }

    /// Sets a pair's demand.
    pub fn set(&mut self, pair: ShareKey, demand: Demand) {
        match demand.waits() {
            true => self.demands.insert(pair, demand),
            false => self.demands.remove(&pair),
        };
    }

    /// Bytes of state.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>() + self.demands.len() * size_of::<(ShareKey, Demand)>()
    }
}
