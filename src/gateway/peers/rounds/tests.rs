//! Fleets of gateways that exchange encoded messages in memory, round by round.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use super::{RoundInput, compose};
use crate::gateway::fair_share::{AccountTag, Usage};
use crate::gateway::peers::Peers;
use crate::gateway::peers::member::{CopyStatus, Member, Scope, ZoneTag};
use crate::gateway::peers::totals::{TargetLoad, Totals};
use crate::gateway::peers::wire::GossipMessage;
use crate::gateway::targets::TargetTag;
use crate::units::Micros;

/// Time between two rounds.
const ROUND: Micros = Micros::from_ms(100);
/// Rounds after which a fleet that starts knows what all its gateways cause.
const SETTLED: u64 = 20;

/// Gateways of several zones, with what each has sent in the last round.
struct Fleet {
    round: u64,
    gateways: Vec<(Peers, Totals)>,
    /// Gateways that neither send nor receive.
    stopped: BTreeSet<SocketAddr>,
    /// Zones cut off from the others.
    cut: BTreeSet<ZoneTag>,
    /// Datagrams and bytes sent by each gateway in the last round.
    sent: HashMap<SocketAddr, (usize, usize)>,
}

fn addr(index: usize) -> SocketAddr {
    let [.., high, low] = index.to_be_bytes();
    ([10, 1, high, low], 7_400).into()
}

impl Fleet {
    /// Starts `size` gateways in `zones` zones. The first gateways are the seeds. The first two of
    /// each zone run on larger hosts.
    fn start(size: usize, zones: usize) -> Fleet {
        let gateways = (0..size).map(|index| {
            let me = Member {
                addr: addr(index),
                zone: ZoneTag((index % zones) as u32),
                capacity: if index < 2 * zones { 50 } else { 9 },
            };
            (Peers::new(me, (0..3).map(addr)), own(index))
        });
        Fleet {
            round: 0,
            gateways: gateways.collect(),
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            sent: HashMap::new(),
        }
    }

    fn now(&self) -> Micros {
        Micros(ROUND.0 * (self.round + 1))
    }

    fn play(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.play_round();
        }
    }

    fn play_round(&mut self) {
        self.round += 1;
        let (now, round) = (self.now(), self.round);
        let mut wire = Vec::new();
        for (peers, own) in &mut self.gateways {
            let me = peers.me();
            if self.stopped.contains(&me.addr) {
                continue;
            }
            let status = CopyStatus {
                boot: u64::from(me.addr.port()),
                ..CopyStatus::default()
            };
            let base = GossipMessage::new(now, me, &status);
            let input = RoundInput { round, own, base };
            let outgoing = compose(peers, now, &input);
            let datagrams = outgoing.iter().map(|message| message.to.len()).sum();
            let bytes = outgoing
                .iter()
                .map(|o| o.to.len() * o.message.encode().len());
            self.sent.insert(me.addr, (datagrams, bytes.sum()));
            for outgoing in outgoing {
                let data = outgoing.message.encode();
                wire.extend(outgoing.to.iter().map(|&to| (me, to, data.clone())));
            }
        }
        for (from, to, data) in wire {
            self.deliver(now, from, to, &data);
        }
    }

    fn deliver(&mut self, now: Micros, from: Member, to: SocketAddr, data: &[u8]) {
        let Some((peers, _)) = self.gateways.iter_mut().find(|(p, _)| p.me().addr == to) else {
            return;
        };
        let crosses = from.zone != peers.me().zone;
        let is_cut = self.cut.contains(&from.zone) || self.cut.contains(&peers.me().zone);
        if self.stopped.contains(&to) || crosses && is_cut {
            return;
        }
        let message = GossipMessage::decode(data).expect("it is a valid message");
        peers.record_message(now, message.sender(from.addr), message.status(now));
        let (totals, usage) = (message.totals(now), message.has_usage());
        peers.record_report(now, from.addr, message.scope(), totals, usage);
        for (member, heard_at) in message.introductions(now) {
            peers.record_heard_elsewhere(member, heard_at);
        }
    }

    /// What a gateway believes that all others cause.
    fn believed(&self, index: usize) -> Totals {
        let (peers, own) = &self.gateways[index];
        let now = self.now();
        if peers.is_small_fleet() {
            return peers.direct_totals(now);
        }
        if peers.rank(now) > 0 {
            return peers.others(now).cloned().unwrap_or_default();
        }
        let mut others = peers.zone_totals(now, own);
        others.subtract(own);
        others.add(&peers.remote_totals(now));
        others
    }

    /// Gateways that run and believe something else than the truth.
    fn mistaken(&self) -> Vec<usize> {
        let runs = |&index: &usize| !self.stopped.contains(&addr(index));
        let running: Vec<usize> = (0..self.gateways.len()).filter(runs).collect();
        let is_mistaken = |&index: &usize| {
            let mut truth = Totals::default();
            for &other in running.iter().filter(|&&other| other != index) {
                truth.add(&self.gateways[other].1);
            }
            let mut believed = self.believed(index);
            believed.loads.retain(|_, load| load.active > 0);
            believed.usage.retain(|_, usage| usage.requested > 0.0);
            truth != believed
        };
        running.iter().copied().filter(is_mistaken).collect()
    }

    /// Datagrams and bytes that a gateway sent in the last two rounds, the second of them full.
    fn sent_in_full_round(&mut self, index: usize) -> (usize, usize) {
        if self.round.is_multiple_of(2) {
            self.play_round();
        }
        self.play_round();
        self.sent[&addr(index)]
    }
}

/// What the gateway of this index causes: load at two targets, and usage of one account.
fn own(index: usize) -> Totals {
    let load = TargetLoad {
        active: 1 + index as u32 % 5,
        prefill_tokens: 640,
    };
    let usage = Usage {
        requested: 6_400.0,
        served: 640.0,
    };
    Totals {
        loads: [index % 180, (index * 7 + 1) % 180]
            .map(|tag| (TargetTag(tag as u32), load))
            .into_iter()
            .collect(),
        usage: [(AccountTag(index as u32 % 60), usage)]
            .into_iter()
            .collect(),
        ..Totals::default()
    }
}

macro_rules! fleets {
    ($($name:ident: $size:expr, $zones:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::start($size, $zones);
            fleet.play(SETTLED);
            assert_eq!(fleet.mistaken(), Vec::<usize>::new());
        }
    )*};
}

fleets! {
    one_gateway_knows_that_it_is_alone: 1, 1;
    one_gateway_in_each_of_four_zones: 4, 4;
    six_gateways_know_what_the_others_cause: 6, 3;
    as_many_as_report_to_all: 8, 4;
    one_more_than_report_to_all: 9, 4;
    twenty_five_gateways_in_five_zones: 25, 5;
    a_hundred_gateways_in_five_zones: 103, 5;
}

/// The design size: what a gateway sends does not grow with the number of gateways.
#[test]
fn the_messages_of_a_member_do_not_grow_with_the_fleet() {
    let sent = [30, 103, 370].map(|size| {
        let mut fleet = Fleet::start(size, 5);
        fleet.play(SETTLED);
        fleet.sent_in_full_round(size - 1)
    });
    let (datagrams, bytes) = sent[0];
    for other in sent {
        assert_eq!(other.0, datagrams, "{sent:?}");
        assert!(other.1 <= bytes * 3 / 2, "{sent:?}");
    }
}

#[test]
fn the_second_gateway_of_a_zone_takes_over_from_the_first() {
    let mut fleet = Fleet::start(103, 5);
    fleet.play(SETTLED);
    let now = fleet.now();
    let first = (0..103).find(|&index| {
        let peers = &fleet.gateways[index].0;
        peers.me().zone == ZoneTag(4) && peers.rank(now) == 0
    });
    fleet.stopped.insert(addr(first.expect("the zone has one")));
    fleet.play(14);
    assert_eq!(fleet.mistaken(), Vec::<usize>::new());
}

#[test]
fn zones_without_their_aggregators_and_seeds_recover() {
    let mut fleet = Fleet::start(60, 5);
    fleet.play(SETTLED);
    // All gateways on larger hosts, among them the seeds.
    fleet.stopped.extend((0..10).map(addr));
    fleet.play(30);
    assert_eq!(fleet.mistaken(), Vec::<usize>::new());
}

#[test]
fn a_zone_that_was_cut_off_is_found_again() {
    let mut fleet = Fleet::start(25, 5);
    fleet.play(SETTLED);
    fleet.cut.insert(ZoneTag(4));
    fleet.play(150);
    assert!(!fleet.mistaken().is_empty());
    fleet.cut.clear();
    fleet.play(30);
    assert_eq!(fleet.mistaken(), Vec::<usize>::new());
}

#[test]
fn a_gateway_that_joins_replaces_a_smaller_aggregator() {
    let mut fleet = Fleet::start(24, 5);
    fleet.play(SETTLED);
    let me = Member {
        addr: addr(24),
        zone: ZoneTag(4),
        capacity: 100,
    };
    let peers = Peers::new(me, [addr(0)].into_iter());
    fleet.gateways.push((peers, own(24)));
    fleet.play(SETTLED);
    assert_eq!(fleet.mistaken(), Vec::<usize>::new());
    assert_eq!(fleet.gateways[24].0.rank(fleet.now()), 0);
}

/// The fleet is small to some gateways and not to others until all have heard of the new one.
#[test]
fn a_fleet_that_grows_past_the_size_of_a_small_one() {
    let mut fleet = Fleet::start(8, 4);
    fleet.play(SETTLED);
    let me = Member {
        addr: addr(8),
        zone: ZoneTag(0),
        capacity: 9,
    };
    let peers = Peers::new(me, [addr(0)].into_iter());
    fleet.gateways.push((peers, own(8)));
    fleet.play(SETTLED);
    assert_eq!(fleet.mistaken(), Vec::<usize>::new());
}

#[test]
fn only_aggregators_report_on_others() {
    let mut fleet = Fleet::start(20, 2);
    fleet.play(SETTLED);
    let (now, round) = (fleet.now(), fleet.round + 1);
    let (peers, own) = &mut fleet.gateways[19];
    let base = GossipMessage::new(now, peers.me(), &CopyStatus::default());
    let input = RoundInput { round, own, base };
    let outgoing = compose(peers, now, &input);
    assert!(outgoing.iter().all(|o| o.message.scope() == Scope::Sender));
}
