//! Simulates entries that share a pool of slots over a lossy network, and records the service that
//! each account receives.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::exchange::ShareKey;
use crate::exchange::envelope::ReplayFilter;
use crate::exchange::gossip::{self, Gossip, QUANTUM_US};
use crate::exchange::node::{DropCounts, Node};
use crate::exchange::numbering::Numbering;
use crate::exchange::tree;
use crate::ids::{AccountKey, BootId, ServiceKey};
use crate::rules::{Account, Service, Table};
use crate::share::Share;
use crate::units::Micros;

pub const ACCOUNTS: usize = 4;
const SERVICE: ServiceKey = ServiceKey(0);
const STEP_US: u64 = 50_000;
const SLOTS: usize = 12;
const MAX_COST_US: u64 = 400_000;
const PERIOD_US: u64 = 200_000;
const HOP_US: u64 = 2 * STEP_US;
const LOSSY_ATTEMPTS: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    NoExchange,
    NoFloor,
    NoCollect,
    CountTwice,
    FavourFirst,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Demand(usize, usize, bool),
    BacklogAll(usize),
    IdleAll(usize),
    Loss(u8),
    Run(u32),
    Restart(usize),
    Partition(u8),
    Heal,
    RemoveMember(usize, usize),
}

struct Entry {
    share: Share,
    node: Node,
    boot: BootId,
    seq: u64,
    filters: BTreeMap<SocketAddr, ReplayFilter>,
    due: u64,
    demand: [bool; ACCOUNTS],
    idle_levels: [Micros; ACCOUNTS],
}

struct Packet {
    at: u64,
    from: usize,
    to: usize,
    boot: BootId,
    seq: u64,
    payload: Vec<u8>,
}

struct Running {
    entry: usize,
    boot: BootId,
    account: usize,
    cost: u64,
    spent: u64,
    charged: u64,
}

pub struct Simulation {
    entries: Vec<Entry>,
    net: Vec<Packet>,
    running: Vec<Running>,
    rng: StdRng,
    now: u64,
    loss: u8,
    partition: u8,
    boots: u64,
    fault: Fault,
    window: [[(i64, i64); ACCOUNTS]; ACCOUNTS],
    pub served: [i64; ACCOUNTS],
    pub charged: [i64; ACCOUNTS],
    pub worst_gap: i64,
}

fn gap_bound(age: u64) -> i64 {
    (2 * SLOTS as u64 * (age + MAX_COST_US)) as i64
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16 + 1))
}

fn key(account: usize) -> AccountKey {
    AccountKey::from(account)
}

fn numbering() -> Numbering {
    let accounts = (0..ACCOUNTS).map(|i| Account {
        name: format!("account-{i}"),
        keys: Vec::new(),
        queue_limit: 1,
        body_limit: 1,
        live: true,
    });
    let service = Service {
        name: "model".into(),
        slots: 1,
        repeatable: true,
        fenced: false,
        deadline: Micros::ZERO,
        hedge_percent: 0,
        retry_percent: 0,
        live: true,
    };
    Numbering::from_table(&Table::default().next_version(1, accounts.collect(), vec![service]))
}

fn entry(index: usize, count: usize, now: u64, boot: u64) -> Entry {
    let members: Vec<_> = (0..count).map(address).collect();
    let mut node = Node::new(address(index), numbering());
    node.set_members(Micros(now), &members);
    Entry {
        share: Share::new(),
        node,
        boot: BootId(boot),
        seq: 0,
        filters: BTreeMap::new(),
        due: now + index as u64 * 37_000,
        demand: [false; ACCOUNTS],
        idle_levels: [Micros::ZERO; ACCOUNTS],
    }
}

impl Simulation {
    pub fn new(entries: usize, seed: u64, fault: Fault) -> Self {
        Simulation {
            entries: (0..entries)
                .map(|i| entry(i, entries, 0, i as u64))
                .collect(),
            net: Vec::new(),
            running: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            loss: 0,
            partition: 0,
            boots: entries as u64,
            fault,
            window: Default::default(),
            served: [0; ACCOUNTS],
            charged: [0; ACCOUNTS],
            worst_gap: 0,
        }
    }

    pub fn apply(&mut self, event: Event) {
        let count = self.entries.len();
        match event {
            Event::Demand(e, a, on) => self.demand(e % count, a, on),
            Event::BacklogAll(a) => (0..count).for_each(|e| self.demand(e, a, true)),
            Event::IdleAll(a) => (0..count).for_each(|e| self.demand(e, a, false)),
            Event::Loss(percent) => self.loss = percent,
            Event::Run(steps) => self.run(steps),
            Event::Restart(e) => {
                self.boots += 1;
                self.entries[e % count] = entry(e % count, count, self.now, self.boots);
                self.reset_gaps();
            }
            Event::Partition(mask) => {
                self.partition = mask;
                self.reset_gaps();
            }
            Event::RemoveMember(e, other) => {
                let mut members: Vec<_> = (0..count).map(address).collect();
                members.remove(other % count);
                self.set_members(e % count, &members);
                self.reset_gaps();
            }
            Event::Heal => {
                self.partition = 0;
                self.set_all_members();
                self.reset_gaps();
            }
        }
    }

    /// Heals the network, backlogs all accounts at all entries, and lets the levels converge.
    pub fn settle(&mut self) {
        self.apply(Event::Heal);
        self.loss = 0;
        (0..ACCOUNTS).for_each(|a| self.apply(Event::BacklogAll(a)));
        self.run(600);
        self.drain();
    }

    /// Runs the simulation without new requests until the exchange has propagated all charges.
    pub fn drain(&mut self) {
        for _ in 0..200 {
            self.now += STEP_US;
            self.deliver();
            self.run_work();
            self.rounds();
        }
    }

    pub fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now += STEP_US;
            self.deliver();
            self.run_work();
            self.start_work();
            self.rounds();
            self.update_worst_gap();
        }
    }

    pub fn tolerance(&self) -> i64 {
        QUANTUM_US * 2 * (tree::depth(self.entries.len()) as i64 + 1)
    }

    /// Bound of the service gap when datagrams are lost; see `docs/FAIRNESS.md`.
    pub fn bound(&self) -> i64 {
        let hops = 2 * tree::depth(self.entries.len()) as u64 + 1;
        gap_bound(LOSSY_ATTEMPTS * PERIOD_US * hops)
    }

    /// Bound of the service gap when no datagram is lost.
    pub fn lossless_bound(&self) -> i64 {
        let hops = 2 * tree::depth(self.entries.len()) as u64;
        gap_bound(2 * PERIOD_US + hops * HOP_US)
    }

    /// Credits an account at the first entry.
    pub fn grant(&mut self, account: usize, amount: Micros) {
        self.entries[0].share.credit(key(account), amount);
    }

    pub fn levels(&self, entry: usize) -> Vec<i64> {
        let share = &self.entries[entry].share;
        (0..ACCOUNTS)
            .map(|a| share.level(key(a)).0 as i64)
            .collect()
    }

    pub fn disagreement(&self) -> i64 {
        let first = self.levels(0);
        let others = (1..self.entries.len()).flat_map(|e| self.levels(e));
        let pairs = others.zip(first.iter().cycle());
        pairs.map(|(a, b)| (a - b).abs()).max().unwrap_or(0)
    }

    pub fn tracked(&self) -> usize {
        self.entries
            .iter()
            .map(|e| e.share.len() + e.node.updates().count())
            .sum()
    }

    pub fn epochs(&self) -> Vec<u32> {
        self.entries.iter().map(|e| e.node.epoch()).collect()
    }

    pub fn dropped(&self, entry: usize) -> DropCounts {
        self.entries[entry].node.dropped()
    }

    pub fn node_level(&self, entry: usize, pair: ShareKey) -> Micros {
        self.entries[entry].node.level(pair)
    }

    pub fn inject(&mut self, from: usize, to: usize, gossip: Gossip) {
        let boot = self.entries[from].boot;
        let now = Micros(self.now);
        self.entries[to]
            .node
            .receive(now, address(from), boot, gossip);
    }

    fn set_members(&mut self, e: usize, members: &[SocketAddr]) {
        let now = Micros(self.now);
        self.entries[e].node.set_members(now, members);
    }

    fn set_all_members(&mut self) {
        let members: Vec<_> = (0..self.entries.len()).map(address).collect();
        (0..members.len()).for_each(|e| self.set_members(e, &members));
    }

    fn demand(&mut self, e: usize, a: usize, on: bool) {
        let before = self.waits(a);
        let entry = &mut self.entries[e];
        entry.demand[a] = on;
        match on {
            true => entry.share.set_backlogged(key(a)),
            false => entry.share.set_idle(key(a)),
        }
        let level = entry.share.level(key(a));
        match (on, self.fault) {
            (true, Fault::NoFloor) => entry.share.credit(key(a), level - entry.idle_levels[a]),
            _ => entry.idle_levels[a] = level,
        }
        if before != self.waits(a) {
            self.reset_account_gaps(a);
        }
    }

    fn waits(&self, a: usize) -> bool {
        self.entries.iter().any(|e| e.demand[a])
    }

    /// Restarts all gap windows: the event may grant a credit that `docs/FAIRNESS.md` allows.
    fn reset_gaps(&mut self) {
        (0..ACCOUNTS).for_each(|a| self.reset_account_gaps(a));
    }

    fn reset_account_gaps(&mut self, account: usize) {
        for a in 0..ACCOUNTS {
            for b in (0..a).filter(|&b| a == account || b == account) {
                let gap = self.served[a] - self.served[b];
                self.window[a][b] = (gap, gap);
            }
        }
    }

    fn update_worst_gap(&mut self) {
        if self.partition != 0 {
            return;
        }
        for a in 0..ACCOUNTS {
            for b in 0..a {
                if !self.waits(a) || !self.waits(b) {
                    continue;
                }
                let gap = self.served[a] - self.served[b];
                let cell = &mut self.window[a][b];
                *cell = (cell.0.min(gap), cell.1.max(gap));
                self.worst_gap = self.worst_gap.max(cell.1 - cell.0);
            }
        }
    }

    fn deliver(&mut self) {
        let due = self.now;
        let (ready, later) = std::mem::take(&mut self.net)
            .into_iter()
            .partition(|p| p.at <= due);
        self.net = later;
        let ready: Vec<Packet> = ready;
        for packet in ready {
            let side = |e: usize| self.partition >> e & 1;
            if side(packet.from) != side(packet.to) {
                continue;
            }
            let entry = &mut self.entries[packet.to];
            let filter = entry.filters.entry(address(packet.from)).or_default();
            if filter.accept(packet.boot, packet.seq).is_err() {
                continue;
            }
            let gossip = gossip::decode(&packet.payload).expect("members send valid payloads");
            let from = address(packet.from);
            entry
                .node
                .receive(Micros(self.now), from, packet.boot, gossip.clone());
            if let (Fault::CountTwice, Gossip::Charges(mut up)) = (self.fault, gossip) {
                up.epoch += 1;
                entry
                    .node
                    .receive(Micros(self.now), from, packet.boot, Gossip::Charges(up));
            }
        }
    }

    fn run_work(&mut self) {
        let mut finished = Vec::new();
        for (index, run) in self.running.iter_mut().enumerate() {
            run.spent += STEP_US;
            self.served[run.account] += STEP_US as i64;
            let entry = &mut self.entries[run.entry];
            let done = run.spent >= run.cost;
            if done {
                finished.push(index);
            }
            if entry.boot != run.boot {
                continue;
            }
            if run.spent > run.charged {
                let more = run.spent - run.charged;
                entry.share.debit(key(run.account), Micros(more));
                self.charged[run.account] += more as i64;
                run.charged = run.spent;
            }
            if done && run.charged > run.spent {
                let less = run.charged - run.spent;
                entry.share.credit(key(run.account), Micros(less));
                self.charged[run.account] -= less as i64;
            }
        }
        for index in finished.into_iter().rev() {
            self.running.swap_remove(index);
        }
    }

    fn start_work(&mut self) {
        while self.running.len() < SLOTS {
            let candidate = |e: usize| {
                self.entries[e]
                    .share
                    .first()
                    .map(|(a, least)| (least, e, a))
            };
            let first = (0..self.entries.len()).filter_map(candidate).min();
            let Some((_, e, mut account)) = first else {
                return;
            };
            if self.fault == Fault::FavourFirst && self.entries[e].demand[0] {
                account = key(0);
            }
            let cost = self.rng.random_range(1..=MAX_COST_US / STEP_US) * STEP_US;
            let hint = cost * self.rng.random_range(1..=30) / 10;
            self.entries[e].share.debit(account, Micros(hint));
            self.charged[account.index()] += hint as i64;
            self.running.push(Running {
                entry: e,
                boot: self.entries[e].boot,
                account: account.index(),
                cost,
                spent: 0,
                charged: hint,
            });
        }
    }

    fn rounds(&mut self) {
        (0..self.entries.len()).for_each(|e| self.round(e));
    }

    fn round(&mut self, e: usize) {
        let now = Micros(self.now);
        let entry = &mut self.entries[e];
        if self.now < entry.due {
            return;
        }
        let (share, fault) = (&mut entry.share, self.fault);
        let outgoing = entry.node.tick(now, || match fault {
            Fault::NoCollect => Vec::new(),
            _ => vec![(SERVICE, share.collect())],
        });
        if !entry.node.take_changed() {
            return;
        }
        let updates: Vec<_> = entry.node.updates().collect();
        entry.share.set_members(entry.node.member_count());
        for update in updates {
            entry.share.apply(update.key.account, update.usage);
        }
        if self.fault == Fault::NoExchange {
            return;
        }
        for out in outgoing {
            self.send(e, out.to, out.payload);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, payload: Vec<u8>) {
        self.entries[from].seq += 1;
        for _ in 0..2 {
            if self.rng.random_range(0..100) < self.loss {
                continue;
            }
            let late = self.rng.random_range(0..3) * u64::from(self.loss > 0);
            self.net.push(Packet {
                at: self.now + late * STEP_US,
                from,
                to: usize::from(to.port()) - 1,
                boot: self.entries[from].boot,
                seq: self.entries[from].seq,
                payload: payload.clone(),
            });
        }
    }
}
