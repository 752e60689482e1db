//! The two ends of a tree edge: batches to be sent to the parent, and the state received from each
//! child.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::codec;
use super::shares::ShareTable;
use crate::exchange::ShareKey;
use crate::exchange::gossip::{ChargeBatch, ChargeRow, LevelMessage, QUANTUM_US};
use crate::exchange::numbering::RecentNumberings;
use crate::ids::BootId;
use crate::share::Demand;
use crate::units::Micros;

/// Maximum number of unacknowledged batches. Later charges stay pending in the share table.
const MAX_BATCHES: usize = 8;
/// Assumed number of keys in a batch.
const BATCH_PAIRS: usize = 160;
/// Maximum number of batches added in one round.
const ROUND_BATCHES: usize = 4;

/// One key's charge and demand in a batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchEntry {
    /// The client account and service.
    pub key: ShareKey,
    /// Charge in microseconds of slot time, a multiple of [`QUANTUM_US`].
    pub charge: i64,
    /// Demand in the subtree.
    pub demand: Demand,
}

/// A batch that the parent has not acknowledged.
#[derive(Clone, Debug)]
struct Batch {
    seq: u32,
    numbering: u32,
    entries: Vec<BatchEntry>,
    rows: Vec<ChargeRow>,
}

/// The edge to the parent.
#[derive(Debug, Default)]
pub struct Uplink {
    /// The parent; `None` at a root.
    pub parent: Option<SocketAddr>,
    /// Incremented whenever the parent changes or restarts.
    pub epoch: u32,
    /// When a datagram from the parent last arrived.
    pub last_heard: Micros,
    /// The parent's round period.
    pub period: Micros,
    /// Whether the parent knows no levels.
    pub cold: bool,
    boot: Option<BootId>,
    last_seq: u32,
    batches: VecDeque<Batch>,
}

impl Uplink {
    /// Changes the parent. Unacknowledged charges will be sent to the new one.
    pub fn set_parent(&mut self, now: Micros, parent: Option<SocketAddr>, shares: &mut ShareTable) {
        self.parent = parent;
        self.last_heard = now;
        self.period = Micros::ZERO;
        self.cold = false;
        self.boot = None;
        self.requeue(shares);
    }

    /// Records a level message from the parent. If the parent restarted, unacknowledged charges are
    /// queued again.
    pub fn record_levels(
        &mut self,
        now: Micros,
        boot: BootId,
        message: &LevelMessage,
        shares: &mut ShareTable,
    ) {
        self.last_heard = now;
        self.period = Micros::from_ms(u64::from(message.period));
        self.cold = message.cold;
        if self.boot.is_some_and(|known| known != boot) {
            self.requeue(shares);
        }
        self.boot = Some(boot);
    }

    /// Removes the batches that the parent's levels include.
    pub fn acknowledge(&mut self, acked: u32, shares: &mut ShareTable) {
        while self.batches.front().is_some_and(|b| b.seq <= acked) {
            let batch = self.batches.pop_front().expect("the front was just seen");
            for entry in batch.entries {
                if let Some(share) = shares.get_mut(entry.key) {
                    share.unacked = share.unacked.saturating_sub(entry.charge);
                    share.base = share.base.saturating_add(entry.charge);
                }
            }
        }
    }

    /// Moves pending charges and demand changes into batches.
    pub fn fill_batches(&mut self, shares: &mut ShareTable, numbering: &RecentNumberings) {
        let Some(numbering) = numbering.current() else {
            return;
        };
        let room = MAX_BATCHES
            .saturating_sub(self.batches.len())
            .min(ROUND_BATCHES)
            * BATCH_PAIRS;
        let mut due: Vec<_> = shares
            .iter_mut()
            .filter(|(_, c)| {
                c.pending.unsigned_abs() >= QUANTUM_US as u64
                    || c.reported != c.subtree
                    || c.subtree == Demand::Returned
            })
            .filter_map(|(p, c)| numbering.index_of(p).map(|n| (n, p, c)))
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
            .map(|(_, key, share)| {
                let charge = share.pending / QUANTUM_US * QUANTUM_US;
                share.pending = share.pending.saturating_sub(charge);
                share.unacked = share.unacked.saturating_add(charge);
                share.reported = share.subtree;
                BatchEntry {
                    key,
                    charge,
                    demand: share.subtree,
                }
            })
            .collect();
        for part in codec::split_batches(&entries, numbering) {
            self.last_seq += 1;
            self.batches.push_back(Batch {
                seq: self.last_seq,
                numbering: numbering.digest(),
                entries: part.to_vec(),
                rows: codec::charge_rows(part, numbering),
            });
        }
    }

    /// Returns the unacknowledged batches, or a heartbeat if there are none.
    pub fn datagrams(&self, digest: u32, period: Micros) -> Vec<ChargeBatch> {
        let head = ChargeBatch {
            numbering: digest,
            epoch: self.epoch,
            oldest: self.batches.front().map_or(self.last_seq + 1, |b| b.seq),
            seq: 0,
            period: u16::try_from(period.as_ms()).unwrap_or(u16::MAX),
            more: true,
            rows: Vec::new(),
        };
        let mut messages = Vec::new();
        for batch in &self.batches {
            messages.push(ChargeBatch {
                seq: batch.seq,
                numbering: batch.numbering,
                rows: batch.rows.clone(),
                ..head.clone()
            });
        }
        if messages.is_empty() {
            messages.push(head);
        }
        messages.last_mut().expect("there is one").more = false;
        messages
    }

    /// Returns the approximate size of the state in bytes.
    pub fn state_bytes(&self) -> usize {
        self.batches
            .iter()
            .map(|b| b.entries.len() * (size_of::<BatchEntry>() + 16))
            .sum()
    }

    fn requeue(&mut self, shares: &mut ShareTable) {
        self.epoch += 1;
        self.last_seq = 0;
        for entry in self.batches.drain(..).flat_map(|b| b.entries) {
            if let Some(share) = shares.get_mut(entry.key) {
                share.unacked = share.unacked.saturating_sub(entry.charge);
                share.pending = share.pending.saturating_add(entry.charge);
            }
        }
        for (_, share) in shares.iter_mut() {
            share.reported = Demand::Idle;
        }
    }
}

/// State that a member keeps about a child.
#[derive(Debug, Default)]
pub struct Child {
    /// The child's epoch.
    pub epoch: u32,
    /// Newest batch that was applied.
    pub acked: u32,
    /// When a batch or heartbeat of the child last arrived.
    pub last_heard: Micros,
    /// Whether the child's charges of this round have arrived.
    pub reported: bool,
    /// Shortest round period that keeps the child's subtree within its byte rate.
    pub period: Micros,
    /// Keys that are backlogged in the child's subtree.
    pub demands: BTreeMap<ShareKey, Demand>,
    boot: Option<BootId>,
}

impl Child {
    /// Records a batch or heartbeat from the child. A new boot id or epoch resets the sequence
    /// numbers and the demand.
    pub fn record_batch(&mut self, now: Micros, boot: BootId, batch: &ChargeBatch) {
        self.last_heard = now;
        self.period = Micros::from_ms(u64::from(batch.period));
        if self.boot != Some(boot) || self.epoch != batch.epoch {
            self.boot = Some(boot);
            self.epoch = batch.epoch;
            self.acked = batch.oldest.saturating_sub(1);
            self.demands.clear();
        }
    }

    /// Returns whether this batch directly follows the newest applied one.
    pub fn is_next(&self, seq: u32) -> bool {
        Some(seq) == self.acked.checked_add(1)
    }

    pub fn set_demand(&mut self, key: ShareKey, demand: Demand) {
        match demand.waits() {
            true => self.demands.insert(key, demand),
            false => self.demands.remove(&key),
        };
    }

    /// Returns the approximate size of the state in bytes.
    pub fn state_bytes(&self) -> usize {
        size_of::<Self>() + self.demands.len() * size_of::<(ShareKey, Demand)>()
    }
}
