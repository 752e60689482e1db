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
    let load = TargetLoad {
        active: 1,
        prefill_tokens,
    };
    PeerState {
        version,
        reads_directory,
        load: HashMap::from([(TargetTag(1), load)]),
    }
}

fn two_peers() -> Peers {
    let mut peers = Peers::new([addr(1), addr(2)].into_iter(), addr(1));
    peers.update(at(0), addr(2), state(5, false, 100));
    peers.update(at(500), addr(3), state(9, true, 50));
    peers
}

#[test]
fn peer_loads_add_up_until_they_expire() {
    let peers = two_peers();
    let reading = |ms| {
        peers
            .total_load(at(ms))
            .get(&TargetTag(1))
            .map(|load| load.prefill_tokens)
    };
    assert_eq!(reading(600), Some(150));
    assert_eq!(reading(1_300), Some(50));
    assert_eq!(reading(5_000), None);
    assert!(!peers.has_recent(at(5_000)));
}

#[test]
fn only_a_newer_configuration_is_fetched() {
    let peers = two_peers();
    assert_eq!(peers.newer_config_peer(4), Some(addr(3)));
    assert_eq!(peers.newer_config_peer(9), None);
}

#[test]
fn the_list_comes_from_a_peer_that_reads_the_directory() {
    assert_eq!(two_peers().list_source(false), Some(addr(3)));
    assert_eq!(two_peers().list_source(true), Some(addr(3)));
}

#[test]
fn a_process_without_targets_uses_any_peer_that_has_a_configuration() {
    let mut peers = Peers::default();
    peers.update(at(0), addr(2), state(0, false, 0));
    peers.update(at(0), addr(3), state(5, false, 0));
    assert_eq!(peers.list_source(false), None);
    assert_eq!(peers.list_source(true), Some(addr(3)));
}

#[test]
fn a_silent_peer_expires() {
    let mut peers = two_peers();
    peers.expire(at(10_200));
    assert_eq!(peers.newer_config_peer(0), Some(addr(3)));
    peers.expire(at(60_000));
    assert_eq!(peers.newer_config_peer(0), None);
}

#[test]
fn a_silent_seed_is_a_recipient() {
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
fn a_full_message_fits_a_datagram_and_decodes() {
    let load = |tag: u32| {
        let load = TargetLoad {
            active: 128,
            prefill_tokens: 1_000_000,
        };
        (TargetTag(u32::MAX - tag), load)
    };
    let usage = |tag: u32| {
        let usage = Usage {
            requested: 9e6 + f64::from(tag),
            served: 9e6,
        };
        (AccountTag(u32::MAX - tag), usage)
    };
    let mut message = GossipMessage::new(u64::MAX);
    message.peers = (0..4).map(addr).collect();
    let crash = |id: u64| QuarantineEvent {
        digest: Digest([255; 16]),
        id: u64::MAX - id,
        kind: EventKind::Crash,
        age: quarantine::CRASH_TTL,
    };
    let message = message
        .with_loads((0..500).map(load))
        .with_usage((0..500).map(usage));
    let message = message.with_crashes((0..500).map(crash).collect());
    let data = message.encode();
    assert!(data.len() <= MAX_DATAGRAM_BYTES, "{}", data.len());
    let read = GossipMessage::decode(&data).expect("it is a valid message");
    assert_eq!(read.usage().map(Iterator::count), Some(48));
    assert_eq!(read.crashes.len(), 6);
    assert_eq!(PeerState::from(&read).load.len(), 48);
}

#[test]
fn a_load_only_message_carries_no_account_usage() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: at(10_000),
    };
    let gateway = GatewayState::new("a", limits);
    gateway
        .with_shares(|shares| shares.record_request(gateway.clock.now(), AccountTag(7), 1_000.0));
    let (full, _) = gateway.gossip_round(GossipMessage::new(1), true);
    let (loads, _) = gateway.gossip_round(GossipMessage::new(1), false);
    let read = |message: &GossipMessage| {
        GossipMessage::decode(&message.encode()).expect("it is a valid message")
    };
    assert_eq!(read(&full).usage().map(Iterator::count), Some(1));
    assert!(read(&loads).usage().is_none());
    assert!(loads.encode().len() < full.encode().len());
}

#[test]
fn a_list_survives_the_transfer() {
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
    let batch = ChangeBatch::from(list);
    assert_eq!(batch.next, 12);
    let [Change::Target(id, read)] = batch.changes.as_slice() else {
        panic!("expected exactly one target");
    };
    assert_eq!((id.as_ref(), read), ("one", &entry));
}

proptest! {
    /// Decoding never panics, whatever the datagram.
    #[test]
    fn decoding_any_datagram_does_not_panic(data in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = GossipMessage::decode(&data) {
            prop_assert!(PeerState::from(&message).load.len() <= 48);
        }
    }
}
