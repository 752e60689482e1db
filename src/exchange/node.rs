//! One member of the exchange: its levels, the charges on their way up, and its neighbours.
//!
//! Pure: the caller passes the time, charges and datagrams, and sends what is returned.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Serialize;

use super::ShareKey;
use super::gossip::{Down, Gossip, Up};
use super::numbering::{Numbering, RecentNumberings};
use crate::ids::{BootId, ServiceKey};
use crate::share::{Demand, FleetUsage, Report};
use crate::units::Micros;

mod cells;
mod pack;
mod uplink;

use cells::Cells;
use uplink::{Child, Uplink};

/// Bytes a second that a member sends for the exchange.
pub const BUDGET_BYTES_PER_S: u64 = 2_600;
/// Shortest time between rounds.
pub const MIN_PERIOD: Micros = Micros::from_ms(100);
/// Longest time between rounds.
pub const MAX_PERIOD: Micros = Micros::from_secs(20);
/// Time that a member waits for its children's charges, for each level below it.
const HOP_WAIT: Micros = Micros::from_ms(50);
/// Rounds without a datagram after which a neighbour is taken for dead.
const SILENT_ROUNDS: u64 = 4;
/// Rounds that a member without levels waits for its children's before it is a root on its own.
const COLD_ROUNDS: u32 = 8;
/// Rounds between attempts to reach a suspected parent.
const PROBE_ROUNDS: u32 = 5;
/// Bytes that a datagram costs besides its payload: envelope, UDP and IPv4 headers.
const OVERHEAD_BYTES: u64 = super::envelope::ENVELOPE_BYTES as u64 + 28;

/// The time from a round that sent these bytes to the next, so that the budget holds.
pub fn period(sent_bytes: u64) -> Micros {
    let span = Micros(sent_bytes * 1_000_000 / BUDGET_BYTES_PER_S);
    span.clamp(MIN_PERIOD, MAX_PERIOD)
}

/// A datagram's payload, to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The encoded [`Gossip`].
    pub payload: Vec<u8>,
}

/// A level to give to the service's [`crate::share::Share`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelUpdate {
    /// Whose level it is.
    pub key: ShareKey,
    /// What is known of it.
    pub usage: FleetUsage,
}

/// Datagrams and rows that were not used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// From senders that are not members.
    pub strangers: u64,
    /// With a numbering that is not known here.
    pub unnamed: u64,
    /// Batches that were taken before or skip one.
    pub batches: u64,
    /// Levels from a member that is not the parent, or of another epoch.
    pub levels: u64,
}

/// One member of the exchange.
#[derive(Debug)]
pub struct Node {
    me: SocketAddr,
    members: Vec<SocketAddr>,
    suspects: BTreeSet<SocketAddr>,
    names: RecentNumberings,
    cells: Cells,
    uplink: Uplink,
    children: BTreeMap<SocketAddr, Child>,
    hellos: Vec<(SocketAddr, bool)>,
    round: u32,
    cold: bool,
    merge: bool,
    period: Micros,
    need: Micros,
    sent: u64,
    next: Micros,
    ready: bool,
    up_by: Option<Micros>,
    news: bool,
    patience: Micros,
    dropped: Dropped,
}

impl Node {
    /// A member that knows no levels yet.
    pub fn new(me: SocketAddr, names: Numbering) -> Self {
        let mut recent = RecentNumberings::default();
        recent.put(names);
        Node {
            me,
            members: vec![me],
            suspects: BTreeSet::new(),
            names: recent,
            cells: Cells::default(),
            uplink: Uplink::default(),
            children: BTreeMap::new(),
            hellos: Vec::new(),
            round: 0,
            cold: true,
            merge: false,
            period: MIN_PERIOD,
            need: MIN_PERIOD,
            sent: 0,
            next: Micros::ZERO,
            ready: false,
            up_by: None,
            news: false,
            patience: Micros::ZERO,
            dropped: Dropped::default(),
        }
    }

    /// Puts a member list in force; this member is added when it is missing.
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
        self.patience = Micros(HOP_WAIT.0 * below as u64);
        self.choose_parent(now);
    }

    /// Puts a numbering in force.
    pub fn set_numbering(&mut self, names: Numbering) {
        self.names.put(names);
    }

    /// The parent; `None` at a root.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.uplink.parent
    }

    /// Time between rounds.
    pub fn period(&self) -> Micros {
        self.period
    }

    /// Members in force, this one included.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Changes of parent, or of the parent's run, so far.
    pub fn epoch(&self) -> u32 {
        self.uplink.epoch
    }

    /// What was not used so far.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Whether it has neither levels of its own nor from others yet.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// When [`Node::tick`] has to be called, if no datagram comes before.
    pub fn next_tick(&self) -> Micros {
        self.up_by.map_or(self.next, |up| up.min(self.next))
    }

    /// Does what is due, and returns what to send. To be called at [`Node::next_tick`] and after each
    /// [`Node::receive`]; `collect` is called when charges are wanted.
    ///
    /// Levels go down as soon as the parent's have come; charges go up as soon as all children's
    /// have. So a round passes the whole tree within one period.
    pub fn tick<R, C>(&mut self, now: Micros, collect: C) -> Vec<Outgoing>
    where
        R: AsRef<[Report]>,
        C: FnOnce() -> Vec<(ServiceKey, R)>,
    {
        self.drop_silent(now);
        let mut out = Vec::new();
        let down = self.ready || now >= self.next;
        if down {
            self.begin_round(now);
        }
        let root = self.uplink.parent.is_none();
        let up = self
            .up_by
            .is_some_and(|by| now >= by || self.all_reported());
        if up || (down && root) {
            for (service, reports) in collect() {
                self.cells.collect(service, reports.as_ref());
            }
            let joined = self.combined_demands();
            self.cells.settle_demands(joined);
        }
        if down {
            self.finish_down(&mut out);
        }
        if up {
            self.up_by = None;
            self.uplink.fill(&mut self.cells, &self.names);
            self.send_up(&mut out);
        }
        if up || down {
            self.news = true;
            self.cells.forget();
        }
        let bytes = |o: &Outgoing| o.payload.len() as u64 + OVERHEAD_BYTES;
        self.sent += out.iter().map(bytes).sum::<u64>();
        out
    }

    /// Whether levels changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, boot: BootId, gossip: Gossip) {
        if self.members.binary_search(&from).is_err() || from == self.me {
            self.dropped.strangers += 1;
            return;
        }
        if self.suspects.remove(&from) {
            self.choose_parent(now);
        }
        match gossip {
            Gossip::Up(up) => self.take_up(now, from, boot, up),
            Gossip::Down(down) => self.take_down(now, from, boot, down),
            Gossip::Hello { answer: false } => self.hellos.push((from, true)),
            Gossip::Hello { answer: true } | Gossip::Opaque(_) => {}
        }
    }

    fn begin_round(&mut self, now: Micros) {
        self.round = self.round.wrapping_add(1);
        self.ready = false;
        self.need = period(std::mem::take(&mut self.sent));
        match self.uplink.parent {
            None => {
                self.period = self.subtree_need();
                self.next = now + self.period;
                self.cold &= self.round < COLD_ROUNDS;
            }
            Some(_) => {
                self.period = self.uplink.period.max(MIN_PERIOD);
                self.next = now + self.period + Micros(self.period.0 / 2);
                self.up_by = Some(now + self.patience);
            }
        }
        self.children.values_mut().for_each(|c| c.reported = false);
    }

    fn finish_down(&mut self, out: &mut Vec<Outgoing>) {
        if self.uplink.parent.is_none() {
            self.cells.settle_root();
        }
        self.send_down(out);
        self.send_hellos(out);
    }

    fn all_reported(&self) -> bool {
        self.children.values().all(|c| c.reported)
    }

    fn subtree_need(&self) -> Micros {
        let children = self.children.values().map(|c| c.period);
        let need = children.fold(self.need, Micros::max);
        need.clamp(MIN_PERIOD, MAX_PERIOD)
    }

    /// The levels to give to the schedulers.
    pub fn updates(&self) -> impl Iterator<Item = LevelUpdate> {
        self.cells.updates()
    }

    /// The level of a pair as this member knows it.
    pub fn level(&self, pair: ShareKey) -> Micros {
        self.cells.level(pair)
    }

    /// Bytes of state, leaving out the allocator's own.
    pub fn state_bytes(&self) -> usize {
        let children: usize = self.children.values().map(Child::state_bytes).sum();
        size_of::<Self>() + self.cells.state_bytes() + self.uplink.state_bytes() + children
    }

    fn choose_parent(&mut self, now: Micros) {
        let parent = super::tree::parent(&self.members, self.me, &self.suspects);
        if parent == self.uplink.parent {
            return;
        }
        self.merge |= self.uplink.parent.is_none() && !self.cold;
        self.merge &= parent.is_some();
        self.uplink.join(now, parent, &mut self.cells);
        if let Some(parent) = parent {
            self.children.remove(&parent);
        }
    }

    fn drop_silent(&mut self, now: Micros) {
        let limit = |period: Micros| Micros(period.0.max(self.period.0) * SILENT_ROUNDS);
        self.children
            .retain(|_, c| now.saturating_sub(c.heard) <= limit(Micros::ZERO));
        let Some(parent) = self.uplink.parent else {
            return;
        };
        if now.saturating_sub(self.uplink.heard) > limit(self.uplink.period) {
            self.suspects.insert(parent);
            self.choose_parent(now);
        }
    }

    fn combined_demands(&self) -> BTreeMap<ShareKey, Demand> {
        let mut joined = BTreeMap::new();
        for (&pair, &demand) in self.children.values().flat_map(|c| &c.demands) {
            let known = joined.entry(pair).or_insert(demand);
            *known = demand.max(*known);
        }
        joined
    }

    fn take_up(&mut self, now: Micros, from: SocketAddr, boot: BootId, up: Up) {
        if self.uplink.parent == Some(from) {
            self.dropped.batches += 1;
            return;
        }
        let Some(names) = self.names.find(up.names) else {
            self.dropped.unnamed += 1;
            return;
        };
        let child = self.children.entry(from).or_default();
        child.greet(now, boot, &up);
        child.reported |= !up.more;
        if up.number == 0 || self.cold {
            return;
        }
        if !child.is_next(up.number) {
            self.dropped.batches += 1;
            return;
        }
        child.taken = up.number;
        for row in pack::read_up(&up) {
            let pair = row.number.and_then(|n| names.pair(n));
            let Some(pair) = pair else {
                self.dropped.unnamed += 1;
                continue;
            };
            child.set(pair, row.demand);
            self.cells.charge(pair, row.charge, row.demand);
        }
    }

    fn take_down(&mut self, now: Micros, from: SocketAddr, boot: BootId, down: Down) {
        if self.uplink.parent != Some(from) {
            self.take_seed(from, &down);
            return;
        }
        self.uplink.hear(now, boot, &down, &mut self.cells);
        self.ready |= !down.more;
        if down.cold {
            self.cells.clear_alone();
            self.merge = false;
        }
        if down.epoch != self.uplink.epoch || down.cold {
            return;
        }
        let Some(names) = self.names.find(down.names) else {
            self.dropped.unnamed += 1;
            return;
        };
        if std::mem::take(&mut self.merge) {
            self.cells.report_alone();
        }
        self.uplink.release(down.taken, &mut self.cells);
        for row in pack::read_down(&down) {
            match row.number.and_then(|n| names.pair(n)) {
                Some(pair) => self.cells.adopt(pair, row.level, row.demand, down.round),
                None => self.dropped.unnamed += 1,
            }
        }
        self.cells.expire(down.round);
        self.cold = false;
    }

    /// A child that outlived this member's former run tells it the levels.
    fn take_seed(&mut self, from: SocketAddr, down: &Down) {
        if !self.cold || !self.children.contains_key(&from) {
            self.dropped.levels += 1;
            return;
        }
        let Some(names) = self.names.find(down.names) else {
            self.dropped.unnamed += 1;
            return;
        };
        for row in pack::read_down(down) {
            if let Some(pair) = row.number.and_then(|n| names.pair(n)) {
                self.cells.seed(pair, row.level);
            }
        }
    }

    fn send_up(&self, out: &mut Vec<Outgoing>) {
        let Some(parent) = self.uplink.parent else {
            return;
        };
        let digest = self.digest();
        let need = self.subtree_need();
        for up in self.uplink.datagrams(digest, need) {
            out.push(outgoing(parent, &Gossip::Up(up)));
        }
        if self.uplink.cold && !self.cold {
            let seeds = pack::seeds(&self.cells, &self.names, self.round, self.period);
            out.extend(
                seeds
                    .into_iter()
                    .map(|d| outgoing(parent, &Gossip::Down(d))),
            );
        }
    }

    fn send_down(&self, out: &mut Vec<Outgoing>) {
        if self.children.is_empty() {
            return;
        }
        let downs = match self.cold {
            true => vec![pack::cold(self.digest(), self.round, self.period)],
            false => pack::downs(&self.cells, &self.names, self.round, self.period),
        };
        for (&to, child) in &self.children {
            for down in &downs {
                let mut down = down.clone();
                down.epoch = child.epoch;
                down.taken = child.taken;
                out.push(outgoing(to, &Gossip::Down(down)));
            }
        }
    }

    fn send_hellos(&mut self, out: &mut Vec<Outgoing>) {
        if self.round.is_multiple_of(PROBE_ROUNDS) {
            let probes = self.suspects.iter().map(|&s| (s, false));
            self.hellos.extend(probes);
        }
        for (to, answer) in self.hellos.drain(..) {
            out.push(outgoing(to, &Gossip::Hello { answer }));
        }
    }

    fn digest(&self) -> u32 {
        self.names.current().map_or(0, Numbering::digest)
    }
}

fn outgoing(to: SocketAddr, gossip: &Gossip) -> Outgoing {
    Outgoing {
        to,
        payload: super::gossip::encode(gossip),
    }
}
