use std::collections::HashMap;
use std::net::SocketAddr;

use proptest::prelude::*;

use super::wire::{GossipMessage, MAX_DATAGRAM_BYTES, WireTargets};
use super::{FANOUT, MAX_PEERS, PeerState, Peers, TargetLoad};
use crate::claim::Digest;
use crate::gateway::directory::{Change, ChangeBatch};
use crate::gateway::fair_share::{AccountTag, Usage};
use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::{Entry, TargetTag};
use crate::quarantine::{self, EventKind, QuarantineEvent};
use crate::units::Micros;

fn addr(host: u16) -> SocketAddr {
    let [high, low] = host.to_be_bytes();
    ([127, 0, high, low], 7_400).into()
}

fn at(ms: u64) -> Micros {
    Micros::from_ms(ms)
}

fn state(version: u64, reads_directory: bool, prefill_tokens: u64) -> PeerState {
    let held = TargetLoad {
        active: 1,
        prefill_tokens,
    };
    PeerState {
        version,
        reads_directory,
        load: HashMap::from([(TargetTag(1), held)]),
    }
}

fn three() -> Peers {
    let mut peers = Peers::new([addr(1), addr(2)].into_iter(), addr(1));
    peers.update(at(0), addr(2), state(5, false, 100));
    peers.update(at(500), addr(3), state(9, true, 50));
    peers
}

#[test]
fn loads_of_all_that_were_heard_add_up_until_they_are_old() {
    let peers = three();
    let reading = |ms| {
        peers
            .total_load(at(ms))
            .get(&TargetTag(1))
            .map(|held| held.prefill_tokens)
    };
    assert_eq!(reading(600), Some(150));
    assert_eq!(reading(1_300), Some(50));
    assert_eq!(reading(5_000), None);
    assert!(!peers.has_recent(at(5_000)));
}

#[test]
fn the_newest_configuration_is_taken_and_none_that_is_older() {
    let peers = three();
    assert_eq!(peers.with_newer_config(4), Some(addr(3)));
    assert_eq!(peers.with_newer_config(9), None);
}

#[test]
fn lists_come_from_a_gateway_that_reads_them_itself() {
    assert_eq!(three().list_source(false), Some(addr(3)));
    assert_eq!(three().list_source(true), Some(addr(3)));
}

#[test]
fn a_process_without_targets_takes_those_of_any_other() {
    let mut peers = Peers::default();
    peers.update(at(0), addr(2), state(0, false, 0));
    peers.update(at(0), addr(3), state(5, false, 0));
    assert_eq!(peers.list_source(false), None);
    assert_eq!(peers.list_source(true), Some(addr(3)));
}

#[test]
fn a_gateway_that_is_silent_is_forgotten() {
    let mut peers = three();
    peers.expire(at(10_200));
    assert_eq!(peers.with_newer_config(0), Some(addr(3)));
    peers.expire(at(60_000));
    assert_eq!(peers.with_newer_config(0), None);
}

#[test]
fn seeds_are_tried_before_they_were_heard() {
    let peers = Peers::new([addr(1), addr(2)].into_iter(), addr(1));
    assert_eq!(peers.recipients().as_slice(), [addr(2)]);
}

#[test]
fn neither_state_nor_messages_grow_with_the_fleet() {
    let mut peers = Peers::default();
    for host in 2..400 {
        peers.update(at(0), addr(host), state(1, true, 1));
        peers.add_candidate(addr(1_000 + host), addr(1));
    }
    assert_eq!(peers.known.len(), MAX_PEERS);
    assert!(peers.seeds.len() < 16);
    assert!(peers.recipients().len() <= FANOUT + 1);
}

#[test]
fn a_full_message_fits_a_datagram_and_is_read_back() {
    let held = |tag: u32| {
        let held = TargetLoad {
            active: 128,
            prefill_tokens: 1_000_000,
        };
        (TargetTag(u32::MAX - tag), held)
    };
    let uses = |tag: u32| {
        let uses = Usage {
            requested: 9e6 + f64::from(tag),
            served: 9e6,
        };
        (AccountTag(u32::MAX - tag), uses)
    };
    let mut hello = GossipMessage::new(u64::MAX);
    hello.peers = (0..4).map(addr).collect();
    let crash = |id: u64| QuarantineEvent {
        digest: Digest([255; 16]),
        id: u64::MAX - id,
        kind: EventKind::Crash,
        age: quarantine::CRASH_TTL,
    };
    let hello = hello
        .with_loads((0..500).map(held))
        .with_usage((0..500).map(uses));
    let hello = hello.with_crashes((0..500).map(crash).collect());
    let data = hello.encode();
    assert!(data.len() <= MAX_DATAGRAM_BYTES, "{}", data.len());
    let read = GossipMessage::decode(&data).expect("it is a message");
    assert_eq!(read.usage().map(Iterator::count), Some(48));
    assert_eq!(read.crashes.len(), 6);
    assert_eq!(PeerState::from(&read).load.len(), 48);
}

#[test]
fn a_round_of_loads_only_leaves_what_was_told_of_accounts() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: at(10_000),
    };
    let gateway = GatewayState::new("a", limits);
    gateway.with_shares(|fair| fair.record_request(gateway.clock.now(), AccountTag(7), 1_000.0));
    let (whole, _) = gateway.gossip_round(GossipMessage::new(1), true);
    let (loads, _) = gateway.gossip_round(GossipMessage::new(1), false);
    let read =
        |hello: &GossipMessage| GossipMessage::decode(&hello.encode()).expect("it is a message");
    assert_eq!(read(&whole).usage().map(Iterator::count), Some(1));
    assert!(read(&loads).usage().is_none());
    assert!(loads.encode().len() < whole.encode().len());
}

#[test]
fn a_list_is_handed_over_whole() {
    let entry = Entry {
        service: "model".into(),
        addr: addr(9),
        zone: "a".into(),
        slots: 4,
        draining: true,
        started_at: Some(17),
    };
    let list = WireTargets::new(12, [("one", &entry)].into_iter());
    let data = postcard::to_stdvec(&list).expect("it encodes");
    let list: WireTargets = postcard::from_bytes(&data).expect("it decodes");
    let news = ChangeBatch::from(list);
    assert_eq!(news.next, 12);
    let [Change::Target(id, read)] = news.changes.as_slice() else {
        panic!("one target was handed over");
    };
    assert_eq!((id.as_ref(), read), ("one", &entry));
}

proptest! {
    /// Any datagram is read or dropped, never a panic.
    #[test]
    fn any_datagram_is_no_panic(data in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(hello) = GossipMessage::decode(&data) {
            prop_assert!(PeerState::from(&hello).load.len() <= 48);
        }
    }
}
