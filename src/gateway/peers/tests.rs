use std::collections::HashSet;
use std::net::SocketAddr;

use proptest::prelude::*;

use super::member::{CopyStatus, Member, Scope, ZoneTag};
use super::totals::{TargetLoad, Totals};
use super::wire::{GossipMessage, MAX_DATAGRAM_BYTES};
use super::wire_crashes::{MAX_SUSPICIONS, Suspicions};
use super::wire_targets::{Cursor, WireTargets};
use super::{MAX_PEERS, Peers};
use crate::gateway::cold_limit::ColdPeriod;
use crate::gateway::directory::{Change, ChangeBatch};
use crate::gateway::evidence::{CrashTag, Suspicion};
use crate::gateway::fair_share::{AccountTag, Usage};
use crate::gateway::list_view::Origin;
use crate::gateway::notices::RunTag;
use crate::gateway::position::{Era, Position};
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::target_limit::{LimitedUse, Observation};
use crate::gateway::targets::{Entry, TargetTag, Targets};
use crate::units::Micros;

const HOME: ZoneTag = ZoneTag(1);

fn addr(host: u16) -> SocketAddr {
    let [high, low] = host.to_be_bytes();
    ([127, 0, high, low], 7_400).into()
}

fn at(ms: u64) -> Micros {
    Micros::from_ms(ms)
}

fn member(host: u16) -> Member {
    Member {
        addr: addr(host),
        zone: HOME,
        capacity: 9,
    }
}

fn status(version: u64) -> CopyStatus {
    CopyStatus {
        version,
        ..CopyStatus::default()
    }
}

fn load(prefill_tokens: u64) -> Totals {
    let load = TargetLoad {
        active: 1,
        prefill_tokens,
    };
    Totals {
        loads: [(TargetTag(1), load)].into_iter().collect(),
        ..Totals::default()
    }
}

/// Gateway 1, which has heard from gateways 2 and 3 of its zone.
fn two_peers() -> Peers {
    let mut peers = Peers::new(member(1), [addr(1), addr(2)].into_iter());
    for (ms, host, version, tokens) in [(0, 2, 5, 100), (400, 3, 9, 50)] {
        peers.record_message(at(ms), member(host), status(version));
        peers.record_report(at(ms), addr(host), Scope::Sender, load(tokens), false);
    }
    peers
}

#[test]
fn reported_loads_add_up_until_they_expire() {
    let peers = two_peers();
    let reading = |ms| {
        let totals = peers.zone_totals(at(ms), &Totals::default());
        let load = totals.loads.get(&TargetTag(1)).copied();
        load.map(|load| load.prefill_tokens)
    };
    assert_eq!(reading(500), Some(150));
    assert_eq!(reading(900), Some(50));
    assert_eq!(reading(5_000), None);
}

#[test]
fn only_a_newer_configuration_is_fetched() {
    let peers = two_peers();
    assert_eq!(peers.newer_config_peer(at(500), 4), Some(addr(3)));
    assert_eq!(peers.newer_config_peer(at(500), 9), None);
    assert_eq!(peers.newer_config_peer(at(5_000), 4), None);
}

#[test]
fn a_report_without_usage_keeps_the_usage_reported_before() {
    let mut peers = two_peers();
    let usage = Usage {
        requested: 64.0,
        served: 0.0,
    };
    let mut totals = load(10);
    totals.usage.insert(AccountTag(7), usage);
    peers.record_report(at(500), addr(2), Scope::Sender, totals, true);
    peers.record_report(at(600), addr(2), Scope::Sender, load(20), false);
    let known = peers.own_totals(at(600), addr(2)).expect("it has reported");
    assert_eq!(known.usage.get(&AccountTag(7)), Some(&usage));
    assert_eq!(known.loads[&TargetTag(1)].prefill_tokens, 20);
}

#[test]
fn a_gateway_that_others_hear_but_that_does_not_answer_is_left_out() {
    let mut peers = Peers::new(member(1), [].into_iter());
    for ms in (0..1_000).step_by(100) {
        peers.record_heard_elsewhere(member(2), at(ms + 1));
        peers.record_sent(at(ms), addr(2));
    }
    assert!(peers.aggregators(at(1_000)).is_empty());
    peers.record_message(at(1_001), member(2), status(1));
    assert_eq!(peers.aggregators(at(1_001)).as_slice(), [addr(2)]);
}

#[test]
fn a_silent_gateway_is_forgotten() {
    let mut peers = two_peers();
    peers.expire(at(60_200));
    assert_eq!(peers.known.len(), 1);
    peers.expire(at(90_000));
    assert_eq!(peers.known.len(), 0);
}

#[test]
fn the_number_of_known_gateways_is_bounded() {
    let mut peers = Peers::new(member(1), [].into_iter());
    for host in 2..3_000 {
        peers.record_message(at(0), member(host), status(1));
        peers.record_heard_elsewhere(member(10_000 + host), at(1));
    }
    assert_eq!(peers.known.len(), MAX_PEERS);
}

#[test]
fn a_full_message_is_bounded_and_decodes() {
    let load = TargetLoad {
        active: u32::MAX,
        prefill_tokens: u64::MAX / 2,
    };
    let usage = Usage {
        requested: 9e15,
        served: 9e15,
    };
    let answer = Observation {
        limit: Some(1e9),
        at: Micros::ZERO,
    };
    let used = LimitedUse {
        sent: u32::MAX,
        answer: Some(answer),
        cold_period: Some(ColdPeriod {
            until: at(u64::from(u32::MAX)),
            as_of: Micros::ZERO,
        }),
    };
    let totals = Totals {
        loads: (0..3_000)
            .map(|tag| (TargetTag(u32::MAX - tag), load))
            .collect(),
        usage: (0..3_500)
            .map(|tag| (AccountTag(u32::MAX - tag), usage))
            .collect(),
        limited: (0..3_000)
            .map(|tag| (TargetTag(u32::MAX - tag), used))
            .collect(),
        demand: (0..500)
            .map(|tag| (ServiceTag(u32::MAX - tag), u32::MAX))
            .collect(),
    };
    let suspicion = |number: u32| Suspicion {
        subject: u64::MAX - u64::from(number),
        crash: CrashTag(u32::MAX - number),
        at: Micros::ZERO,
        flight: at(u64::from(u32::MAX)),
        cleared: false,
    };
    let suspicions = Suspicions {
        parts: (0..1_000).map(suspicion).collect(),
        requests: (1_000..2_000).map(suspicion).collect(),
    };
    let introduced = (0..500).map(|host| (member(host), at(0))).collect();
    let message = GossipMessage::new(at(9), member(1), &status(1))
        .with_totals(Micros::ZERO, Scope::Zone, &totals, true)
        .with_suspicions(at(9), &suspicions)
        .with_leaving(1, (0..3_000).map(|run| RunTag(u64::MAX - run)))
        .with_introductions(at(9), introduced);
    let data = message.encode();
    assert!(data.len() <= MAX_DATAGRAM_BYTES, "{}", data.len());
    let read = GossipMessage::decode(&data).expect("it is a valid message");
    assert_eq!(read.totals(Micros::ZERO).loads.len(), 1_024);
    assert_eq!(read.totals(Micros::ZERO).usage.len(), 512);
    assert_eq!(read.introductions(at(9)).count(), 32);
    assert_eq!(read.leaving().count(), 256);
    let read_suspicions = read.suspicions(at(9));
    assert_eq!(read_suspicions.parts.len(), MAX_SUSPICIONS);
    assert_eq!(read_suspicions.requests.len(), MAX_SUSPICIONS);
    assert_eq!(read.totals(Micros::ZERO).limited.len(), 512);
}

/// Guards against targets that are never told to other gateways because too many are leaving.
#[test]
fn successive_messages_carry_all_runs_that_are_leaving() {
    let runs: Vec<RunTag> = (0..2_600).map(RunTag).collect();
    let mut told = HashSet::new();
    for round in 4..15 {
        let message = GossipMessage::new(at(9), member(1), &status(1));
        let message = message.with_leaving(round, runs.iter().copied());
        let read = GossipMessage::decode(&message.encode()).expect("it is a valid message");
        told.extend(read.leaving());
    }
    assert_eq!(told.len(), runs.len());
}

#[test]
fn suspicions_survive_the_transfer() {
    let suspicion = |subject, crash, ms| Suspicion {
        subject,
        crash: CrashTag(crash),
        at: at(ms),
        flight: at(ms / 2),
        cleared: subject == 8,
    };
    let sent = Suspicions {
        parts: vec![suspicion(7, 1, 300), suspicion(8, 1, 310)],
        requests: vec![suspicion(9, 1, 290), suspicion(9, 2, 700)],
    };
    let message = GossipMessage::new(at(900), member(1), &status(1));
    let data = message.with_suspicions(at(900), &sent).encode();
    let read = GossipMessage::decode(&data).expect("it is a valid message");
    assert_eq!(read.suspicions(at(900)), sent);
}

#[test]
fn an_idle_gateway_reports_no_targets() {
    let idle = Totals {
        loads: [(TargetTag(1), TargetLoad::default())]
            .into_iter()
            .collect(),
        ..Totals::default()
    };
    let message = GossipMessage::new(at(9), member(1), &status(1));
    let message = message.with_totals(Micros::ZERO, Scope::Sender, &idle, false);
    assert!(message.totals(Micros::ZERO).loads.is_empty());
    assert!(!message.has_usage());
}

/// Guards against a gateway that cannot tell its own cut from an outage of the platform.
#[test]
fn a_message_tells_since_when_the_list_was_confirmed() {
    let sent = CopyStatus {
        list_at: Some(at(9)),
        list_since: Some(at(2)),
        list_next: pos(40),
        ..status(1)
    };
    let message = GossipMessage::new(at(10), member(1), &sent);
    let message = GossipMessage::decode(&message.encode()).expect("it decodes");
    assert_eq!(message.status(at(10)), sent);
}

fn entry(draining: bool) -> Entry {
    Entry {
        service: "model".into(),
        addr: addr(9),
        zone: "a".into(),
        slots: 4,
        draining,
        version: Some("v1".into()),
        started_at: Some(17),
        cold: None,
    }
}

/// A position before the first restore.
fn pos(offset: u64) -> Position {
    Position::new(Era(0), offset)
}

/// Sends a list through its wire format.
fn transfer(targets: &Targets, seen: Option<Cursor>) -> WireTargets {
    let list = WireTargets::new(at(3), 77, targets, seen);
    let data = postcard::to_stdvec(&list).expect("it encodes");
    postcard::from_bytes(&data).expect("it decodes")
}

#[test]
fn a_list_survives_the_transfer() {
    let mut targets = Targets::default();
    targets.view_mut().complete(pos(12));
    targets.put("one", entry(true));
    let list = transfer(&targets, None);
    assert!(list.complete);
    let batch = ChangeBatch::from(list);
    assert_eq!(batch.next, pos(12));
    let [Change::Target(id, read, Position { offset: 0, .. })] = batch.changes.as_slice() else {
        panic!("expected exactly one target");
    };
    assert_eq!((id.as_ref(), read), ("one", &entry(true)));
}

#[test]
fn a_second_transfer_carries_only_what_has_changed() {
    let mut targets = Targets::default();
    targets.view_mut().complete(pos(12));
    for id in ["one", "two", "three"] {
        targets.put(id, entry(false));
    }
    let cursor = transfer(&targets, None).cursor;
    targets.put("two", entry(true));
    targets.remove("three");
    let list = transfer(&targets, Some(cursor));
    assert!(!list.complete);
    let batch = ChangeBatch::from(list);
    let changes: Vec<String> = batch.changes.iter().map(|c| format!("{c:?}")).collect();
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(matches!(&batch.changes[0], Change::Target(id, entry, _)
        if id.as_ref() == "two" && entry.draining));
    assert!(matches!(&batch.changes[1], Change::Removed(id, at)
        if id.as_ref() == "three" && *at == pos(11)));
}

/// Guards against copies that do not tell which of two views of an entry is newer.
#[test]
fn offsets_missing_entries_and_removals_survive_the_transfer() {
    let mut targets = Targets::default();
    for (offset, id) in ["one", "two", "three"].into_iter().enumerate() {
        targets
            .view_mut()
            .list(id, pos(offset as u64), Origin::Platform);
        targets.put(id, entry(false));
    }
    targets
        .view_mut()
        .keep(at(3), "two", pos(7), Micros::from_ms(90));
    targets.view_mut().remove(at(3), "three", pos(9));
    targets.remove("three");
    let batch = ChangeBatch::from(transfer(&targets, None));
    let changes = batch.changes.iter().map(|change| match change {
        Change::Target(id, _, position) => (id.as_ref(), *position, "listed"),
        Change::Missing(id, _, position, Micros(90_000)) => (id.as_ref(), *position, "missing"),
        Change::Removed(id, position) => (id.as_ref(), *position, "removed"),
        other => panic!("unexpected {other:?}"),
    });
    let mut changes: Vec<_> = changes.collect();
    changes.sort_by_key(|change| change.1.rank());
    let expected = [
        ("one", pos(0), "listed"),
        ("two", pos(7), "missing"),
        ("three", pos(9), "removed"),
    ];
    assert_eq!(changes, expected);
}

/// Guards against a copy that keeps the offsets from before a whole list was read.
#[test]
fn after_the_whole_list_was_read_it_is_copied_whole() {
    let mut targets = Targets::default();
    targets.put("one", entry(false));
    let cursor = transfer(&targets, None).cursor;
    targets.touch_all();
    assert!(transfer(&targets, Some(cursor)).complete);
}

#[test]
fn the_list_of_another_process_is_copied_whole() {
    let mut targets = Targets::default();
    targets.put("one", entry(false));
    let cursor = Cursor {
        boot: 76,
        change: 1,
    };
    assert!(transfer(&targets, Some(cursor)).complete);
}

proptest! {
    /// Decoding never panics, whatever the datagram.
    #[test]
    fn decoding_any_datagram_does_not_panic(data in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = GossipMessage::decode(&data) {
            prop_assert!(message.totals(Micros::ZERO).loads.len() <= 1_024);
        }
    }
}
