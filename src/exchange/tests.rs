use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

use super::envelope::{
    ENVELOPE_BYTES, EnvelopeError, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, ReplayFilter, Sealer,
};
use super::gossip::{self, Gossip};
use super::measure::{self, control_cost};
use super::node::Node;
use super::numbering::{Numbering, RecentNumberings};
use super::{ShareKey, tree};
use crate::ids::{AccountKey, BootId, ServiceKey};
use crate::rules::{Account, Table};
use crate::share::{Demand, Report};
use crate::units::Micros;

mod oracle;
use oracle::{ACCOUNTS, Event, Fault, Simulation};

macro_rules! cases {
    ($check:ident: $($name:ident($($arg:expr),* $(,)?);)*) => {
        $(#[test] fn $name() { $check($($arg),*) })*
    };
}

const SEED: [u8; 32] = *b"balsampitch exchange fuzz seed 1";
const CASES: u32 = 32;

fn event() -> impl Strategy<Value = Event> {
    let (entry, account) = (0..5usize, 0..ACCOUNTS);
    prop_oneof![
        4 => (entry.clone(), account.clone(), any::<bool>())
            .prop_map(|(e, a, on)| Event::Demand(e, a, on)),
        2 => account.clone().prop_map(Event::BacklogAll),
        2 => account.prop_map(Event::IdleAll),
        2 => (0..60u8).prop_map(Event::Loss),
        2 => (10..500u32).prop_map(Event::Run),
        1 => entry.prop_map(Event::Restart),
        1 => (1..31u8).prop_map(Event::Partition),
        1 => Just(Event::Heal),
        1 => (0..5usize, 0..5usize).prop_map(|(e, o)| Event::RemoveMember(e, o)),
    ]
}

fn fuzz(fault: Fault, check: fn(Simulation) -> Result<(), String>) -> Result<(), String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (
        2..6usize,
        any::<u64>(),
        prop::collection::vec(event(), 1..24),
    );
    let result = runner.run(&input, |(entries, seed, events)| {
        let mut simulation = Simulation::new(entries, seed, fault);
        simulation.run(40);
        for event in events {
            simulation.apply(event);
            simulation.run(6);
        }
        check(simulation).map_err(TestCaseError::fail)
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(why, _)) => Err(why.message().to_owned()),
        Err(TestError::Abort(why)) => panic!("aborted: {}", why.message()),
    }
}

/// The service gap between continuously backlogged accounts stays within the bound.
fn gap_is_bounded(simulation: Simulation) -> Result<(), String> {
    match simulation.worst_gap <= simulation.bound() {
        true => Ok(()),
        false => Err(format!(
            "gap {} of {}",
            simulation.worst_gap,
            simulation.bound()
        )),
    }
}

/// Once the faults are over, all entries agree on the levels.
fn entries_agree(mut simulation: Simulation) -> Result<(), String> {
    simulation.settle();
    let spread = simulation.disagreement();
    match spread <= simulation.tolerance() {
        true => Ok(()),
        false => Err(format!("levels differ by {spread}")),
    }
}

/// Once the faults are over, every backlogged account is served.
fn nobody_starves(mut simulation: Simulation) -> Result<(), String> {
    simulation.settle();
    let before = simulation.served;
    simulation.run(2_000);
    let least = (0..ACCOUNTS).min_by_key(|&a| simulation.served[a] - before[a]);
    let least = least.expect("there are accounts");
    match simulation.served[least] > before[least] {
        true => Ok(()),
        false => Err(format!("account {least} starves")),
    }
}

/// Idle accounts are removed from memory.
fn state_is_bounded(mut simulation: Simulation) -> Result<(), String> {
    simulation.settle();
    (0..ACCOUNTS).for_each(|a| simulation.apply(Event::IdleAll(a)));
    simulation.run(20 * 700);
    match simulation.tracked() {
        0 => Ok(()),
        tracked => Err(format!("{tracked} accounts still tracked")),
    }
}

fn check_passes(check: fn(Simulation) -> Result<(), String>) {
    assert_eq!(fuzz(Fault::None, check), Ok(()));
}

fn check_detects(fault: Fault, check: fn(Simulation) -> Result<(), String>) {
    assert!(fuzz(fault, check).is_err(), "the check missed {fault:?}");
}

cases! { check_passes:
    fuzz_gap_is_bounded(gap_is_bounded);
    fuzz_entries_agree(entries_agree);
    fuzz_nobody_starves(nobody_starves);
    fuzz_state_is_bounded(state_is_bounded);
}

cases! { check_detects:
    gap_check_finds_idle_credit(Fault::NoFloor, gap_is_bounded);
    gap_check_finds_no_exchange(Fault::NoExchange, gap_is_bounded);
    agreement_check_finds_no_exchange(Fault::NoExchange, entries_agree);
    starvation_check_finds_favoured_account(Fault::FavourFirst, nobody_starves);
    state_check_finds_no_collection(Fault::NoCollect, state_is_bounded);
}

/// Compares the levels at one entry with the sum of the charges made at all entries, while
/// datagrams are lost, duplicated and reordered.
fn check_exact_sums(fault: Fault) -> Result<(), String> {
    let mut simulation = Simulation::new(5, 7, fault);
    for account in 0..ACCOUNTS {
        simulation.apply(Event::BacklogAll(account));
    }
    simulation.run(100);
    simulation.drain();
    let start = simulation.levels(0);
    let (charged, epochs) = (simulation.charged, simulation.epochs());
    simulation.apply(Event::Loss(25));
    simulation.run(1_000);
    simulation.apply(Event::Loss(0));
    simulation.drain();
    assert_eq!(
        simulation.epochs(),
        epochs,
        "no parent may change in this test"
    );
    for (account, level) in simulation.levels(0).into_iter().enumerate() {
        let (seen, truth) = (
            level - start[account],
            simulation.charged[account] - charged[account],
        );
        if (seen - truth).abs() > 10 * simulation.tolerance() {
            return Err(format!("account {account}: {seen} of {truth}"));
        }
    }
    Ok(())
}

#[test]
fn charges_stay_exact_under_loss_and_reordering() {
    assert_eq!(check_exact_sums(Fault::None), Ok(()));
}

#[test]
fn exactness_check_finds_batches_counted_twice() {
    assert!(check_exact_sums(Fault::CountTwice).is_err());
}

#[test]
fn differential_against_no_exchange() {
    let gap = |fault| {
        let mut simulation = Simulation::new(5, 11, fault);
        simulation.apply(Event::BacklogAll(0));
        simulation.apply(Event::Demand(0, 1, true));
        simulation.run(2_000);
        simulation.worst_gap
    };
    let (with, without) = (gap(Fault::None), gap(Fault::NoExchange));
    println!("gap {with} us with the exchange, {without} us without");
    assert!(with * 3 < without, "{with} {without}");
}

#[test]
fn cost_at_the_design_size() {
    let members = if cfg!(debug_assertions) { 40 } else { 370 };
    let cost = control_cost(members, 3_500, 350, 17, 40);
    println!("{cost:?}");
    assert!(cost.max_bytes <= 3_000.0, "{cost:?}");
    assert!(cost.state_bytes <= 32 << 20, "{cost:?}");
}

type Tamper = fn(&mut Vec<u8>);

fn check_open(tamper: Tamper, expected: Option<EnvelopeError>) {
    let mut sealer = Sealer::new(b"shared secret of a test", BootId(3));
    let mut datagram = sealer.seal(b"payload").expect("it is short");
    tamper(&mut datagram);
    assert_eq!(sealer.open(&datagram).err(), expected);
}

cases! { check_open:
    envelope_opens(|_| {}, None);
    envelope_too_short(|d| d.truncate(ENVELOPE_BYTES - 1), Some(EnvelopeError::TooShort));
    envelope_too_long(|d| d.resize(MAX_DATAGRAM_BYTES + 1, 0), Some(EnvelopeError::TooLong));
    envelope_of_other_version(|d| d[0] += 1, Some(EnvelopeError::UnknownVersion));
    envelope_with_other_boot(|d| d[3] ^= 1, Some(EnvelopeError::NotAuthentic));
    envelope_with_other_seq(|d| d[16] ^= 1, Some(EnvelopeError::NotAuthentic));
    envelope_with_other_payload(|d| d[17] ^= 1, Some(EnvelopeError::NotAuthentic));
    envelope_cut(|d| { d.pop(); }, Some(EnvelopeError::NotAuthentic));
}

#[test]
fn envelope_of_other_secret() {
    let datagram = Sealer::new(b"one", BootId(1))
        .seal(b"x")
        .expect("it is short");
    let other = Sealer::new(b"two", BootId(2));
    assert_eq!(other.open(&datagram), Err(EnvelopeError::NotAuthentic));
}

#[test]
fn envelope_refuses_large_payloads() {
    let mut sealer = Sealer::new(b"one", BootId(1));
    assert!(sealer.seal(&[0; MAX_PAYLOAD_BYTES]).is_ok());
    let large = sealer.seal(&[0; MAX_PAYLOAD_BYTES + 1]);
    assert_eq!(large, Err(EnvelopeError::TooLong));
}

#[test]
fn replays_are_refused() {
    let mut filter = ReplayFilter::default();
    assert_eq!(filter.accept(BootId(1), 5), Ok(()));
    assert_eq!(filter.accept(BootId(1), 5), Err(EnvelopeError::Replayed));
    assert_eq!(filter.accept(BootId(1), 4), Err(EnvelopeError::Replayed));
    assert_eq!(filter.accept(BootId(2), 1), Ok(()));
    assert_eq!(filter.accept(BootId(1), 6), Err(EnvelopeError::Replayed));
}

fn addresses(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|i| SocketAddr::from(([10, 0, 0, 1], i + 1)))
        .collect()
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Config::default() })]

    #[test]
    fn any_bytes_decode_or_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..1_200)) {
        let sealer = Sealer::new(b"one", BootId(1));
        prop_assert!(sealer.open(&bytes).is_err());
        if let Ok(known) = gossip::decode(&bytes) {
            prop_assert!(gossip::encode(&known).len() <= bytes.len());
        }
    }

    #[test]
    fn any_payload_is_handled_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut simulation = Simulation::new(3, 1, Fault::None);
        simulation.run(40);
        for kind in 0..4u8 {
            let mut payload = vec![kind];
            payload.extend_from_slice(&bytes);
            if let Ok(known) = gossip::decode(&payload) {
                simulation.inject(1, 0, known.clone());
                simulation.inject(0, 1, known);
            }
        }
        simulation.run(20);
    }

    #[test]
    fn parents_are_smaller(count in 1..60u16, mask in any::<u64>()) {
        let members = addresses(count);
        let doubt = |i: usize| mask >> (i % 64) & 1 == 1;
        let suspects = (0..members.len()).filter(|&i| doubt(i)).map(|i| members[i]).collect();
        for &me in &members {
            let parent = tree::parent(&members, me, &suspects);
            prop_assert!(parent.is_none_or(|p| p < me && !suspects.contains(&p)));
        }
    }
}

#[test]
fn members_with_other_rules_are_translated() {
    let account = |name: &str| Account {
        name: name.into(),
        keys: Vec::new(),
        queue_limit: 1,
        body_limit: 1,
        live: true,
    };
    let old =
        Table::default().next_version(1, vec![account("club"), account("school")], Vec::new());
    let new = old.next_version(2, vec![account("school"), account("annex")], Vec::new());
    let mut recent = RecentNumberings::default();
    recent.set_current(Numbering::from_table(&old));
    recent.set_current(Numbering::from_table(&new));
    let (old, new) = (Numbering::from_table(&old), Numbering::from_table(&new));
    assert_ne!(old.digest(), new.digest());
    assert_eq!(recent.current().map(Numbering::digest), Some(new.digest()));
    assert!(recent.find(old.digest()).is_some());
    assert!(recent.find(old.digest() ^ 1).is_none());
}

#[test]
fn unknown_numbering_is_dropped_and_counted() {
    let mut simulation = Simulation::new(2, 1, Fault::None);
    simulation.run(60);
    let up = gossip::ChargeBatch {
        numbering: 1,
        ..gossip::ChargeBatch::default()
    };
    simulation.inject(1, 0, Gossip::Charges(up));
    assert_eq!(simulation.dropped(0).unnamed, 1);
    let pair = ShareKey {
        account: AccountKey(0),
        ..ShareKey::default()
    };
    assert_eq!(simulation.node_level(0, pair), Micros::ZERO);
}

/// Service that account 0 receives in excess of account 1 after `before`, in microseconds of slot
/// time.
fn measure_lead(fault: Fault, before: fn(&mut Simulation)) -> (i64, Simulation) {
    let mut simulation = Simulation::new(5, 23, fault);
    (1..ACCOUNTS).for_each(|a| simulation.apply(Event::BacklogAll(a)));
    simulation.run(200);
    before(&mut simulation);
    let start = simulation.served;
    (0..ACCOUNTS).for_each(|a| simulation.apply(Event::BacklogAll(a)));
    simulation.run(600);
    let gained = |a: usize| simulation.served[a] - start[a];
    (gained(0) - gained(1), simulation)
}

fn toggle_demand(simulation: &mut Simulation) {
    for _ in 0..300 {
        simulation.apply(Event::Demand(1, 0, true));
        simulation.run(1);
        simulation.apply(Event::Demand(1, 0, false));
        simulation.run(9);
    }
}

fn toggle_between_entries(simulation: &mut Simulation) {
    for round in 0..300 {
        simulation.apply(Event::Demand(round % 5, 0, true));
        simulation.run(1);
        simulation.apply(Event::Demand(round % 5, 0, false));
        simulation.run(3);
    }
}

fn stay_idle(simulation: &mut Simulation) {
    simulation.run(2_000);
}

fn run_alone(simulation: &mut Simulation) {
    (1..ACCOUNTS).for_each(|a| simulation.apply(Event::IdleAll(a)));
    simulation.apply(Event::BacklogAll(0));
    simulation.run(2_000);
}

fn split_and_rejoin(simulation: &mut Simulation) {
    simulation.apply(Event::BacklogAll(0));
    simulation.apply(Event::Partition(0b11000));
    simulation.run(1_000);
    simulation.apply(Event::Heal);
    simulation.run(100);
}

fn restart_all_in_turn(simulation: &mut Simulation) {
    simulation.apply(Event::BacklogAll(0));
    for entry in 0..5 {
        simulation.apply(Event::Restart(entry));
        simulation.run(100);
        (0..ACCOUNTS).for_each(|a| simulation.apply(Event::BacklogAll(a)));
    }
}

fn keep_credit(simulation: &mut Simulation) {
    stay_idle(simulation);
    simulation.apply(Event::BacklogAll(0));
    simulation.run(40);
    simulation.grant(0, Micros::from_secs(100));
}

fn earns_no_credit(before: fn(&mut Simulation)) {
    let (lead, simulation) = measure_lead(Fault::None, before);
    println!("lead {lead} us, bound {} us", simulation.lossless_bound());
    assert!(lead.abs() <= simulation.lossless_bound(), "lead {lead}");
}

cases! { earns_no_credit:
    toggling_earns_no_credit(toggle_demand);
    toggling_between_entries_earns_no_credit(toggle_between_entries);
    idling_earns_no_credit(stay_idle);
    running_alone_is_not_penalised(run_alone);
    rejoining_earns_no_credit(split_and_rejoin);
    restarts_earn_no_credit(restart_all_in_turn);
}

#[test]
fn credit_check_finds_credit_kept_over_idling() {
    let (lead, simulation) = measure_lead(Fault::None, keep_credit);
    assert!(lead > simulation.lossless_bound(), "lead {lead}");
}

#[test]
fn a_restarted_root_learns_the_levels() {
    let mut simulation = Simulation::new(5, 3, Fault::None);
    (0..ACCOUNTS).for_each(|a| simulation.apply(Event::BacklogAll(a)));
    simulation.run(1_000);
    let before = simulation.levels(4);
    simulation.apply(Event::Restart(0));
    simulation.run(200);
    for (now, then) in simulation.levels(0).into_iter().zip(before) {
        assert!(now >= then, "{now} {then}");
    }
}

#[test]
fn cost_slopes() {
    let sizes: &[(usize, usize, usize)] = match cfg!(debug_assertions) {
        true => &[(3, 15, 4), (10, 350, 35)],
        false => &[
            (3, 15, 4),
            (40, 3_500, 350),
            (370, 3_500, 35),
            (370, 3_500, 350),
            (370, 3_500, 3_500),
        ],
    };
    for &(members, accounts, backlogged) in sizes {
        let cost = control_cost(members, accounts, backlogged, 17, 40);
        let lag = if backlogged > 350 { 20.0 } else { 2.0 };
        assert!(cost.lag_rounds < lag, "{cost:?}");
        println!("{members} members, {accounts} accounts, {backlogged} backlogged: {cost:?}");
        assert!(cost.max_bytes <= 3_000.0, "{cost:?}");
    }
}

#[test]
fn datagrams_fit_whatever_they_carry() {
    let members = addresses(2);
    let names = Numbering::from_table(&measure::table(3_500, 17));
    let mut nodes = members
        .clone()
        .into_iter()
        .map(|m| Node::new(m, names.clone()));
    let (mut root, mut leaf) = (nodes.next().expect("two"), nodes.next().expect("two"));
    root.set_members(Micros::ZERO, &members);
    leaf.set_members(Micros::ZERO, &members);
    let reports = |service: usize| -> Vec<Report> {
        let charged = |a: usize| i64::MAX >> (a % 50 + 13);
        let report = |a| Report {
            account: AccountKey::from(a),
            charged: charged(a),
            demand: Demand::Steady,
        };
        (0..3_500)
            .filter(|a| a % 17 == service)
            .map(report)
            .collect()
    };
    let all = || {
        (0..17)
            .map(|s| (ServiceKey::from(s), reports(s)))
            .collect::<Vec<_>>()
    };
    let mut payloads = 0;
    let decode = |p: &[u8]| gossip::decode(p).expect("members send valid payloads");
    for _ in 0..40 {
        let now = root.next_tick();
        let down = root.tick(now, all);
        for out in &down {
            leaf.receive(now, members[0], BootId(1), decode(&out.payload));
        }
        let up = leaf.tick(now, all);
        for out in &up {
            root.receive(now, members[1], BootId(2), decode(&out.payload));
        }
        let largest = up.iter().chain(&down).map(|o| o.payload.len()).max();
        assert!(
            largest.is_none_or(|l| l <= MAX_PAYLOAD_BYTES),
            "{largest:?}"
        );
        payloads += up.len() + down.len();
    }
    assert!(payloads > 100, "{payloads}");
}

/// Merges two members that ran separately. At the second one, account 1 was charged `lead` seconds
/// more than account 0; `moved` seconds of it must remain after the merge.
fn check_merge(lead: u64, moved: u64) {
    let members = addresses(2);
    let names = Numbering::from_table(&measure::table(2, 1));
    let mut nodes = [
        Node::new(members[0], names.clone()),
        Node::new(members[1], names),
    ];
    let charges = [[0, 0], [5, 5 + lead]];
    let mut left = [1, 1];
    let mut now = Micros::ZERO;
    for round in 0..60 {
        if round == 20 {
            nodes.iter_mut().for_each(|n| n.set_members(now, &members));
        }
        for i in [0, 1] {
            let seconds = if round == 10 {
                std::mem::take(&mut left[i])
            } else {
                0
            };
            let report = |a: usize| Report {
                account: AccountKey::from(a),
                charged: (charges[i][a] * seconds * 1_000_000) as i64,
                demand: Demand::Steady,
            };
            let sent = nodes[i].tick(now, || vec![(ServiceKey(0), [report(0), report(1)])]);
            for out in sent {
                let known = gossip::decode(&out.payload).expect("members send valid payloads");
                nodes[1 - i].receive(now, members[i], BootId(i as u64), known);
            }
        }
        now += Micros::from_ms(200);
    }
    let level = |n: &Node, a: usize| {
        n.level(ShareKey {
            account: AccountKey::from(a),
            ..ShareKey::default()
        })
    };
    for node in &nodes {
        let seen = level(node, 1) - level(node, 0);
        assert_eq!(seen.as_ms().div_ceil(1_000), moved, "{seen}");
    }
}

cases! { check_merge:
    a_merge_carries_separate_charges(30, 30);
    a_merge_is_capped(90, 60);
}
