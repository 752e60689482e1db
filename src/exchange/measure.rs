//! Measures the cost of the exchange per member for any fleet size, in a simulation within one
//! process.

use std::net::{Ipv4Addr, SocketAddr};

use super::ShareKey;
use super::envelope::{ENVELOPE_BYTES, Sealer};
use super::gossip;
use super::node::Node;
use super::numbering::Numbering;
use crate::ids::{AccountKey, BootId, ServiceKey};
use crate::rules::{Account, Service, Table};
use crate::share::{Demand, Report};
use crate::units::Micros;

/// Bytes of UDP and IPv4 headers.
const HEADER_BYTES: u64 = 28;
/// Base charge, in slot time, of each backlogged account at each member in a round.
const CHARGE_US: i64 = 400_000;

/// Cost of the exchange per member.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Highest send rate of a member, in bytes per second with headers.
    pub max_bytes: f64,
    /// Mean send rate of a member, in bytes per second with headers.
    pub mean_bytes: f64,
    /// Highest send rate of a member, in datagrams per second.
    pub max_messages: f64,
    /// CPU time per round and member, sealing and opening included, in microseconds.
    pub round_micros: f64,
    /// Longest round period of a member, in milliseconds.
    pub period_ms: u64,
    /// Largest state of a member, in bytes.
    pub state_bytes: usize,
    /// Rounds of charges that have not reached the last member at the end.
    pub lag_rounds: f64,
}

/// Simulates `rounds` rounds in which every member charges each backlogged account. The figures
/// cover the second half of the rounds.
pub fn control_cost(
    members: usize,
    accounts: usize,
    backlogged: usize,
    services: usize,
    rounds: usize,
) -> ControlCost {
    let mut fleet = Fleet::new(members, accounts, services);
    let step = (accounts / backlogged.max(1)).max(1);
    let busy: Vec<usize> = (0..backlogged.min(accounts)).map(|i| i * step).collect();
    for round in 0..rounds {
        if round == rounds / 2 {
            fleet.reset();
        }
        fleet.round(&busy, services);
    }
    fleet.cost(rounds - rounds / 2)
}

struct Fleet {
    nodes: Vec<Node>,
    sealers: Vec<Sealer>,
    sent: Vec<(u64, u64)>,
    now: Micros,
    start: Micros,
    busy: Micros,
    rounds: usize,
}

impl Fleet {
    fn new(members: usize, accounts: usize, services: usize) -> Self {
        let names = Numbering::from_table(&table(accounts, services));
        let list: Vec<_> = (0..members).map(address).collect();
        let member = |&me: &SocketAddr| {
            let mut node = Node::new(me, names.clone());
            node.set_members(Micros::ZERO, &list);
            node
        };
        let sealer = |i| Sealer::new(b"a secret to measure with", BootId(i as u64));
        Fleet {
            nodes: list.iter().map(member).collect(),
            sealers: (0..members).map(sealer).collect(),
            sent: vec![(0, 0); members],
            now: Micros::ZERO,
            start: Micros::ZERO,
            busy: Micros::ZERO,
            rounds: 0,
        }
    }

    fn reset(&mut self) {
        self.sent.fill((0, 0));
        self.start = self.now;
        self.busy = Micros::ZERO;
    }

    /// Runs one round of the root, delivers all datagrams, and advances the time to the next round.
    fn round(&mut self, busy: &[usize], services: usize) {
        let reports: Vec<_> = (0..self.nodes.len())
            .map(|index| reports(busy, services, index))
            .collect();
        let start = tokio::time::Instant::now();
        let mut due: Vec<usize> = (0..self.nodes.len()).collect();
        while !due.is_empty() {
            let mut next = std::collections::BTreeSet::new();
            for index in due {
                self.step(index, &reports[index], &mut next);
            }
            due = next.into_iter().collect();
        }
        self.busy += start.elapsed().into();
        self.now = self.nodes[0].next_tick();
        self.rounds += 1;
    }

    fn step(
        &mut self,
        index: usize,
        reports: &[Vec<Report>],
        touched: &mut std::collections::BTreeSet<usize>,
    ) {
        let collect = || {
            let by_service = reports.iter().enumerate();
            by_service
                .map(|(s, list)| (ServiceKey::from(s), list.as_slice()))
                .collect()
        };
        for outgoing in self.nodes[index].tick(self.now, collect) {
            let sent = &mut self.sent[index];
            sent.0 += (outgoing.payload.len() + ENVELOPE_BYTES) as u64 + HEADER_BYTES;
            sent.1 += 1;
            let Ok(datagram) = self.sealers[index].seal(&outgoing.payload) else {
                continue;
            };
            let to = index_of(outgoing.to);
            let Ok(opened) = self.sealers[to].open(&datagram) else {
                continue;
            };
            if let Ok(gossip) = gossip::decode(opened.payload) {
                self.nodes[to].receive(self.now, address(index), opened.boot, gossip);
                touched.insert(to);
            }
        }
    }

    fn lag(&self) -> f64 {
        let first = ShareKey::default();
        let charges = (0..self.nodes.len()).map(|member| charge(0, member));
        let each = charges.sum::<i64>() as f64;
        let seen = self.nodes.last().map_or(0, |n| n.level(first).0) as f64;
        self.rounds as f64 - seen / each
    }

    fn cost(&self, rounds: usize) -> ControlCost {
        let span = (self.now - self.start).as_secs_f64().max(1e-6);
        let bytes = self.sent.iter().map(|s| s.0 as f64 / span);
        let messages = self.sent.iter().map(|s| s.1 as f64 / span);
        let members = self.nodes.len().max(1) as f64;
        ControlCost {
            max_bytes: bytes.clone().fold(0.0, f64::max),
            mean_bytes: bytes.sum::<f64>() / members,
            max_messages: messages.fold(0.0, f64::max),
            round_micros: self.busy.0 as f64 / members / rounds.max(1) as f64,
            period_ms: self
                .nodes
                .iter()
                .map(|n| n.period().as_ms())
                .max()
                .unwrap_or(0),
            state_bytes: self.nodes.iter().map(Node::state_bytes).max().unwrap_or(0),
            lag_rounds: self.lag(),
        }
    }
}

fn reports(busy: &[usize], services: usize, member: usize) -> Vec<Vec<Report>> {
    let mut reports = vec![Vec::new(); services];
    for &account in busy {
        reports[account % services].push(Report {
            account: AccountKey::from(account),
            charged: charge(account, member),
            demand: Demand::Steady,
        });
    }
    reports
}

fn charge(account: usize, member: usize) -> i64 {
    let spread = (account * 7 + member * 13) % 100;
    CHARGE_US + spread as i64 * 1_000
}

fn address(index: usize) -> SocketAddr {
    let host = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index as u32);
    SocketAddr::from((host, 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            (u32::from(*v4.ip()) - u32::from(Ipv4Addr::new(10, 0, 0, 0))) as usize
        }
        SocketAddr::V6(_) => 0,
    }
}

/// A rules table whose accounts and services differ only in their names.
pub(crate) fn table(accounts: usize, services: usize) -> Table {
    let accounts = (0..accounts).map(|i| Account {
        name: format!("account-{i:05}"),
        keys: Vec::new(),
        queue_limit: 1,
        body_limit: 1,
        live: true,
    });
    let services = (0..services).map(|i| Service {
        name: format!("service-{i:03}"),
        slots: 1,
        repeatable: true,
        fenced: false,
        deadline: Micros::from_secs(1),
        hedge_percent: 0,
        retry_percent: 0,
        live: true,
    });
    Table::default().next_version(1, accounts.collect(), services.collect())
}
