//! State machine of one member: its levels, the charges to be reported, and its neighbours.
//!
//! Does no I/O: the caller passes in the time, charges and datagrams, and sends what is returned.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Serialize;

use super::ShareKey;
use super::gossip::{ChargeBatch, Gossip, LevelMessage};
use super::numbering::{Numbering, RecentNumberings};
use crate::ids::{BootId, ServiceKey};
use crate::share::{Demand, FleetUsage, Report};
use crate::units::Micros;

mod codec;
mod shares;
mod uplink;

use shares::ShareTable;
use uplink::{Child, Uplink};

/// Maximum send rate of each member, in bytes per second with headers.
pub const BUDGET_BYTES_PER_S: u64 = 2_600;
/// Shortest round period.
pub const MIN_PERIOD: Micros = Micros::from_ms(100);
/// Longest round period.
pub const MAX_PERIOD: Micros = Micros::from_secs(20);
/// Time for which a member waits for its children's charges, per tree level below the member.
const CHILD_WAIT: Micros = Micros::from_ms(50);
/// Number of round periods without a datagram after which a neighbour counts as dead.
const DEAD_ROUNDS: u64 = 4;
/// Number of rounds for which a root without levels waits to receive them from its children.
const COLD_ROUNDS: u32 = 8;
/// Number of rounds between pings to each suspected member.
const PING_ROUNDS: u32 = 5;
/// Number of bytes that a datagram adds to its payload: envelope, UDP and IPv4 headers.
const OVERHEAD_BYTES: u64 = super::envelope::ENVELOPE_BYTES as u64 + 28;

/// Returns the period after a round that sent this many bytes, so that the send rate stays within
/// [`BUDGET_BYTES_PER_S`].
pub fn round_period(sent_bytes: u64) -> Micros {
    let span = Micros(sent_bytes * 1_000_000 / BUDGET_BYTES_PER_S);
    span.clamp(MIN_PERIOD, MAX_PERIOD)
}

/// A datagram's payload, to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The destination.
    pub to: SocketAddr,
    /// The encoded [`Gossip`].
    pub payload: Vec<u8>,
}

/// A level to apply to the service's [`crate::share::Share`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelUpdate {
    /// The client account and service.
    pub key: ShareKey,
    /// Fleet-wide usage of the account at the service.
    pub usage: FleetUsage,
}

/// Counts of received datagrams and rows that were discarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DropCounts {
    /// Datagrams from senders that are not members.
    pub strangers: u64,
    /// Datagrams with an unknown numbering, and rows with an unknown index.
    pub unnamed: u64,
    /// Batches that were already applied, arrived after a gap, or came from the parent.
    pub batches: u64,
    /// Levels from a member that is not the parent.
    pub levels: u64,
}

/// One member of the exchange.
#[derive(Debug)]
pub struct Node {
    me: SocketAddr,
    members: Vec<SocketAddr>,
    suspects: BTreeSet<SocketAddr>,
    numbering: RecentNumberings,
    shares: ShareTable,
    uplink: Uplink,
    children: BTreeMap<SocketAddr, Child>,
    pings: Vec<(SocketAddr, bool)>,
    round: u32,
    cold: bool,
    merge_due: bool,
    period: Micros,
    own_period: Micros,
    sent_bytes: u64,
    next_round: Micros,
    levels_complete: bool,
    charges_due: Option<Micros>,
    changed: bool,
    child_wait: Micros,
    dropped: DropCounts,
}

impl Node {
    /// Creates a member that knows no levels yet.
    pub fn new(me: SocketAddr, numbering: Numbering) -> Self {
        let mut recent = RecentNumberings::default();
        recent.set_current(numbering);
        Node {
            me,
            members: vec![me],
            suspects: BTreeSet::new(),
            numbering: recent,
            shares: ShareTable::default(),
            uplink: Uplink::default(),
            children: BTreeMap::new(),
            pings: Vec::new(),
            round: 0,
            cold: true,
            merge_due: false,
            period: MIN_PERIOD,
            own_period: MIN_PERIOD,
            sent_bytes: 0,
            next_round: Micros::ZERO,
            levels_complete: false,
            charges_due: None,
            changed: false,
            child_wait: Micros::ZERO,
            dropped: DropCounts::default(),
        }
    }

    /// Replaces the member list; this member is added if it is missing.
    pub fn set_members(&mut self, now: Micros, members: &[SocketAddr]) {
        self.members = members.to_vec();
        self.members.push(self.me);
        self.members.sort_unstable();
        self.members.dedup();
        let members = &self.members;
        self.suspects.retain(|s| members.binary_search(s).is_ok());
        self.children
            .retain(|c, _| members.binary_search(c).is_ok());
        let below = super::tree::levels_below(members, self.me);
        self.child_wait = Micros(CHILD_WAIT.0 * below as u64);
        self.choose_parent(now);
    }

    /// Makes a numbering the current one.
    pub fn set_numbering(&mut self, numbering: Numbering) {
        self.numbering.set_current(numbering);
    }

    /// Returns the parent, or `None` at a root.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.uplink.parent
    }

    /// Returns the round period.
    pub fn period(&self) -> Micros {
        self.period
    }

    /// Returns the number of members, this one included.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of times that the parent changed or restarted.
    pub fn epoch(&self) -> u32 {
        self.uplink.epoch
    }

    /// Returns the counts of discarded datagrams and rows.
    pub fn dropped(&self) -> DropCounts {
        self.dropped
    }

    /// Returns whether this member has not received any levels yet and still waits for them.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the time at which [`Node::tick`] must be called, unless a datagram arrives earlier.
    pub fn next_tick(&self) -> Micros {
        self.charges_due
            .map_or(self.next_round, |due| due.min(self.next_round))
    }

    /// Performs the actions that are due and returns the datagrams to send. Call it at
    /// [`Node::next_tick`] and after each [`Node::receive`]; `collect` is called when charges are
    /// due.
    ///
    /// Levels are sent on as soon as the parent's levels have arrived, and charges as soon as the
    /// charges of all children have arrived, so that a round crosses the whole tree within one
    /// period.
    pub fn tick<R, C>(&mut self, now: Micros, collect: C) -> Vec<Outgoing>
    where
        R: AsRef<[Report]>,
        C: FnOnce() -> Vec<(ServiceKey, R)>,
    {
        self.expire_neighbours(now);
        let mut out = Vec::new();
        let starts_round = self.levels_complete || now >= self.next_round;
        if starts_round {
            self.start_round(now);
        }
        let root = self.uplink.parent.is_none();
        let reports_due = self
            .charges_due
            .is_some_and(|by| now >= by || self.all_reported());
        if reports_due || (starts_round && root) {
            for (service, reports) in collect() {
                self.shares.apply_reports(service, reports.as_ref());
            }
            let combined = self.combined_demands();
            self.shares.set_subtree_demand(combined);
        }
        if starts_round {
            self.finish_round(&mut out);
        }
        if reports_due {
            self.charges_due = None;
            self.uplink.fill_batches(&mut self.shares, &self.numbering);
            self.send_charges(&mut out);
        }
        if reports_due || starts_round {
            self.changed = true;
            self.shares.evict_idle();
        }
        let bytes = |o: &Outgoing| o.payload.len() as u64 + OVERHEAD_BYTES;
        self.sent_bytes += out.iter().map(bytes).sum::<u64>();
        out
    }

    /// Returns whether levels may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, boot: BootId, gossip: Gossip) {
        if self.members.binary_search(&from).is_err() || from == self.me {
            self.dropped.strangers += 1;
            return;
        }
        if self.suspects.remove(&from) {
            self.choose_parent(now);
        }
        match gossip {
            Gossip::Charges(batch) => self.handle_charges(now, from, boot, batch),
            Gossip::Levels(message) => self.handle_levels(now, from, boot, message),
            Gossip::Ping { reply: false } => self.pings.push((from, true)),
            Gossip::Ping { reply: true } | Gossip::Opaque(_) => {}
        }
    }

    fn start_round(&mut self, now: Micros) {
        self.round = self.round.wrapping_add(1);
        self.levels_complete = false;
        self.own_period = round_period(std::mem::take(&mut self.sent_bytes));
        match self.uplink.parent {
            None => {
                self.period = self.subtree_period();
                self.next_round = now + self.period;
                self.cold &= self.round < COLD_ROUNDS;
            }
            Some(_) => {
                self.period = self.uplink.period.max(MIN_PERIOD);
                self.next_round = now + self.period + Micros(self.period.0 / 2);
                self.charges_due = Some(now + self.child_wait);
            }
        }
        self.children.values_mut().for_each(|c| c.reported = false);
    }

    fn finish_round(&mut self, out: &mut Vec<Outgoing>) {
        if self.uplink.parent.is_none() {
            self.shares.commit_root_charges();
        }
        self.send_levels(out);
        self.send_pings(out);
    }

    fn all_reported(&self) -> bool {
        self.children.values().all(|c| c.reported)
    }

    fn subtree_period(&self) -> Micros {
        let children = self.children.values().map(|c| c.period);
        let longest = children.fold(self.own_period, Micros::max);
        longest.clamp(MIN_PERIOD, MAX_PERIOD)
    }

    /// Returns the levels to apply to the schedulers.
    pub fn updates(&self) -> impl Iterator<Item = LevelUpdate> {
        self.shares.updates()
    }

    /// Returns the level of a key as known to this member.
    pub fn level(&self, key: ShareKey) -> Micros {
        self.shares.level(key)
    }

    /// Returns the approximate size of the state in bytes, without allocator overhead.
    pub fn state_bytes(&self) -> usize {
        let children: usize = self.children.values().map(Child::state_bytes).sum();
        size_of::<Self>() + self.shares.state_bytes() + self.uplink.state_bytes() + children
    }

    fn choose_parent(&mut self, now: Micros) {
        let parent = super::tree::parent(&self.members, self.me, &self.suspects);
        if parent == self.uplink.parent {
            return;
        }
        self.merge_due |= self.uplink.parent.is_none() && !self.cold;
        self.merge_due &= parent.is_some();
        self.uplink.set_parent(now, parent, &mut self.shares);
        if let Some(parent) = parent {
            self.children.remove(&parent);
        }
    }

    fn expire_neighbours(&mut self, now: Micros) {
        let limit = |period: Micros| Micros(period.0.max(self.period.0) * DEAD_ROUNDS);
        self.children
            .retain(|_, c| now.saturating_sub(c.last_heard) <= limit(Micros::ZERO));
        let Some(parent) = self.uplink.parent else {
            return;
        };
        if now.saturating_sub(self.uplink.last_heard) > limit(self.uplink.period) {
            self.suspects.insert(parent);
            self.choose_parent(now);
        }
    }

    fn combined_demands(&self) -> BTreeMap<ShareKey, Demand> {
        let mut combined = BTreeMap::new();
        for (&key, &demand) in self.children.values().flat_map(|c| &c.demands) {
            let known = combined.entry(key).or_insert(demand);
            *known = demand.max(*known);
        }
        combined
    }

    fn handle_charges(&mut self, now: Micros, from: SocketAddr, boot: BootId, batch: ChargeBatch) {
        if self.uplink.parent == Some(from) {
            self.dropped.batches += 1;
            return;
        }
        let Some(numbering) = self.numbering.find(batch.numbering) else {
            self.dropped.unnamed += 1;
            return;
        };
        let child = self.children.entry(from).or_default();
        child.record_batch(now, boot, &batch);
        child.reported |= !batch.more;
        if batch.seq == 0 || self.cold {
            return;
        }
        if !child.is_next(batch.seq) {
            self.dropped.batches += 1;
            return;
        }
        child.acked = batch.seq;
        for row in codec::decode_charges(&batch) {
            let key = row.index.and_then(|i| numbering.key(i));
            let Some(key) = key else {
                self.dropped.unnamed += 1;
                continue;
            };
            child.set_demand(key, row.demand);
            self.shares.add_charge(key, row.charge, row.demand);
        }
    }

    fn handle_levels(
        &mut self,
        now: Micros,
        from: SocketAddr,
        boot: BootId,
        message: LevelMessage,
    ) {
        if self.uplink.parent != Some(from) {
            self.handle_seed(from, &message);
            return;
        }
        self.uplink
            .record_levels(now, boot, &message, &mut self.shares);
        self.levels_complete |= !message.more;
        if message.cold {
            self.shares.clear_root_charges();
            self.merge_due = false;
        }
        if message.epoch != self.uplink.epoch || message.cold {
            return;
        }
        let Some(numbering) = self.numbering.find(message.numbering) else {
            self.dropped.unnamed += 1;
            return;
        };
        if std::mem::take(&mut self.merge_due) {
            self.shares.queue_root_charges();
        }
        self.uplink.acknowledge(message.acked, &mut self.shares);
        for row in codec::decode_levels(&message) {
            match row.index.and_then(|i| numbering.key(i)) {
                Some(key) => self
                    .shares
                    .set_level(key, row.level, row.demand, message.round),
                None => self.dropped.unnamed += 1,
            }
        }
        self.shares.expire_unseen(message.round);
        self.cold = false;
    }

    /// Handles levels from a member that is not the parent. While this member is cold, for example
    /// after a restart, it takes over the levels that its children still know.
    fn handle_seed(&mut self, from: SocketAddr, message: &LevelMessage) {
        if !self.cold || !self.children.contains_key(&from) {
            self.dropped.levels += 1;
            return;
        }
        let Some(numbering) = self.numbering.find(message.numbering) else {
            self.dropped.unnamed += 1;
            return;
        };
        for row in codec::decode_levels(message) {
            if let Some(key) = row.index.and_then(|i| numbering.key(i)) {
                self.shares.raise_base(key, row.level);
            }
        }
    }

    fn send_charges(&self, out: &mut Vec<Outgoing>) {
        let Some(parent) = self.uplink.parent else {
            return;
        };
        let digest = self.digest();
        let period = self.subtree_period();
        for batch in self.uplink.datagrams(digest, period) {
            out.push(outgoing(parent, &Gossip::Charges(batch)));
        }
        if self.uplink.cold && !self.cold {
            let seeds =
                codec::seed_messages(&self.shares, &self.numbering, self.round, self.period);
            out.extend(
                seeds
                    .into_iter()
                    .map(|d| outgoing(parent, &Gossip::Levels(d))),
            );
        }
    }

    fn send_levels(&self, out: &mut Vec<Outgoing>) {
        if self.children.is_empty() {
            return;
        }
        let messages = match self.cold {
            true => vec![codec::cold_message(self.digest(), self.round, self.period)],
            false => codec::level_messages(&self.shares, &self.numbering, self.round, self.period),
        };
        for (&to, child) in &self.children {
            for message in &messages {
                let mut message = message.clone();
                message.epoch = child.epoch;
                message.acked = child.acked;
                out.push(outgoing(to, &Gossip::Levels(message)));
            }
        }
    }

    fn send_pings(&mut self, out: &mut Vec<Outgoing>) {
        if self.round.is_multiple_of(PING_ROUNDS) {
            let probes = self.suspects.iter().map(|&s| (s, false));
            self.pings.extend(probes);
        }
        for (to, reply) in self.pings.drain(..) {
            out.push(outgoing(to, &Gossip::Ping { reply }));
        }
    }

    fn digest(&self) -> u32 {
        self.numbering.current().map_or(0, Numbering::digest)
    }
}

fn outgoing(to: SocketAddr, gossip: &Gossip) -> Outgoing {
    Outgoing {
        to,
        payload: super::gossip::encode(gossip),
    }
}
