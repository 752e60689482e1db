//! What the exchange costs a member, measured in process at any size.

use std::net::{Ipv4Addr, SocketAddr};

use super::envelope::{ENVELOPE_BYTES, Sealer};
use super::gossip;
use super::names::Names;
use super::node::Node;
use crate::ids::{AccountKey, BootId, ServiceKey};
use crate::rules::{Account, Service, Table};
use crate::share::{Demand, Report};
use crate::units::Micros;

/// Bytes of UDP and IPv4 headers.
const HEADER_BYTES: u64 = 28;
/// Slot time charged for each backlogged account at each member in a round.
const CHARGE_US: i64 = 400_000;

/// Cost of the exchange to one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Most bytes a second that a member sends, headers included.
    pub max_bytes: f64,
    /// Mean bytes a second that a member sends, headers included.
    pub mean_bytes: f64,
    /// Most datagrams a second that a member sends.
    pub max_messages: f64,
    /// Processor time of a round of one member, its sealing and opening included, in microseconds.
    pub round_micros: f64,
    /// Longest time between rounds, in milliseconds.
    pub period_ms: u64,
    /// Most state that a member holds, in bytes.
    pub state_bytes: usize,
}

/// Runs `rounds` rounds of all members, each charging every backlogged account, and returns the
/// cost. Figures are of the second half of the rounds.
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
    clocks: Vec<Micros>,
    sent: Vec<(u64, u64)>,
    spans: Vec<Micros>,
    busy: Micros,
}

impl Fleet {
    fn new(members: usize, accounts: usize, services: usize) -> Self {
        let names = Names::of(&table(accounts, services));
        let list: Vec<_> = (0..members).map(address).collect();
        let nodes = list
            .iter()
            .map(|&me| {
                let mut node = Node::new(me, names.clone());
                node.set_members(Micros::ZERO, &list);
                node
            })
            .collect();
        Fleet {
            nodes,
            sealers: (0..members)
                .map(|i| Sealer::new(b"a secret to measure with", BootId(i as u64)))
                .collect(),
            clocks: vec![Micros::ZERO; members],
            sent: vec![(0, 0); members],
            spans: vec![Micros::ZERO; members],
            busy: Micros::ZERO,
        }
    }

    fn reset(&mut self) {
        self.sent.fill((0, 0));
        self.spans.fill(Micros::ZERO);
        self.busy = Micros::ZERO;
    }

    fn round(&mut self, busy: &[usize], services: usize) {
        let now = self.clocks.iter().copied().max().unwrap_or_default();
        for index in 0..self.nodes.len() {
            let reports = reports(busy, services, index);
            let start = tokio::time::Instant::now();
            self.step(index, now, &reports);
            self.busy += start.elapsed().into();
            let period = self.nodes[index].period();
            self.spans[index] += period;
            self.clocks[index] = now + period;
        }
    }

    fn step(&mut self, index: usize, now: Micros, reports: &[Vec<Report>]) {
        for (service, reports) in reports.iter().enumerate() {
            self.nodes[index].collect(ServiceKey::from(service), reports);
        }
        for outgoing in self.nodes[index].tick(now) {
            let sent = &mut self.sent[index];
            sent.0 += (outgoing.payload.len() + ENVELOPE_BYTES) as u64 + HEADER_BYTES;
            sent.1 += 1;
            let Ok(datagram) = self.sealers[index].seal(&outgoing.payload) else {
                continue;
            };
            let to = place(outgoing.to);
            let Ok(opened) = self.sealers[to].open(&datagram) else {
                continue;
            };
            if let Ok(gossip) = gossip::decode(opened.payload) {
                self.nodes[to].receive(now, address(index), opened.boot, gossip);
            }
        }
    }

    fn cost(&self, rounds: usize) -> ControlCost {
        let rate = |amount: u64, span: Micros| amount as f64 / span.as_secs_f64().max(1e-6);
        let bytes = self
            .sent
            .iter()
            .zip(&self.spans)
            .map(|(s, &t)| rate(s.0, t));
        let messages = self
            .sent
            .iter()
            .zip(&self.spans)
            .map(|(s, &t)| rate(s.1, t));
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
        }
    }
}

fn reports(busy: &[usize], services: usize, member: usize) -> Vec<Vec<Report>> {
    let mut reports = vec![Vec::new(); services];
    for &account in busy {
        let spread = (account * 7 + member * 13) % 100;
        reports[account % services].push(Report {
            account: AccountKey::from(account),
            charged: CHARGE_US + spread as i64 * 1_000,
            demand: Demand::Steady,
        });
    }
    reports
}

fn address(index: usize) -> SocketAddr {
    let host = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + index as u32);
    SocketAddr::from((host, 7_000))
}

fn place(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            (u32::from(*v4.ip()) - u32::from(Ipv4Addr::new(10, 0, 0, 0))) as usize
        }
        SocketAddr::V6(_) => 0,
    }
}

fn table(accounts: usize, services: usize) -> Table {
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
    Table::default().succeed(1, accounts.collect(), services.collect())
}
