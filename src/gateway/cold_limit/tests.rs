mod fleet;

use super::grants::{GrantInput, Grants, HORIZON};
use super::{ColdLimit, ColdPeriod, ColdReport, ColdRule, ENTRY_DELAY, MAX_SPAN};
use crate::units::Micros;

const RULE: ColdRule = ColdRule {
    span: Micros::from_secs(3),
    rate: 11.0,
    asks: false,
};
const ASKING: ColdRule = ColdRule { asks: true, ..RULE };

fn at(ms: u64) -> Micros {
    Micros::from_ms(ms)
}

fn input(others: &[u64]) -> GrantInput<'_> {
    GrantInput {
        knows_fleet: true,
        wall: at(1_771_000_000_000),
        me: 1,
        others,
        target: 7,
    }
}

/// An entry that arrives at `ms` and tells this remaining cold time.
fn entry(ms: u64, remaining: u64) -> impl Fn(&mut ColdLimit) {
    let report = ColdReport {
        remaining: at(remaining),
        age: ENTRY_DELAY,
    };
    move |limit| limit.merge(at(ms), ColdPeriod::from_report(at(ms), report))
}

fn assume(ms: u64) -> impl Fn(&mut ColdLimit) {
    move |limit| limit.assume(at(ms), RULE.span)
}

fn reported(ms: u64, remaining: u64) -> impl Fn(&mut ColdLimit) {
    move |limit| limit.reported(at(ms), at(remaining))
}

fn lost(ms: u64) -> impl Fn(&mut ColdLimit) {
    move |limit| limit.lost(at(ms))
}

fn closed(ms: u64) -> impl Fn(&mut ColdLimit) {
    move |limit| limit.closed(at(ms))
}

fn reached(ms: u64) -> impl Fn(&mut ColdLimit) {
    move |limit| limit.reached(at(ms), RULE.span)
}

fn replaced() -> impl Fn(&mut ColdLimit) {
    |limit| {
        let before = std::mem::take(limit);
        limit.inherit(&before);
    }
}

/// The times in milliseconds at which the target counts as cold, at full and half seconds from 10 s
/// to 16 s, after these events. Guards against a cold time that is missed, or that does not end.
macro_rules! cold_times {
    ($($name:ident: $rule:expr, [$($event:expr),*] => $cold:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut limit = ColdLimit::default();
            limit.plan(at(0), $rule, &input(&[]));
            $($event(&mut limit);)*
            let cold: Vec<u64> = (10_000..16_000).step_by(500).collect();
            let cold: Vec<u64> = cold.into_iter().filter(|&ms| limit.is_cold(at(ms))).collect();
            let (first, last) = (cold.first().copied(), cold.last().copied());
            assert_eq!(first.zip(last), $cold);
        }
    )*};
}

cold_times! {
    nothing_is_known: Some(&RULE), [] => None;
    an_entry_tells: Some(&RULE), [entry(10_000, 2_800)] => Some((10_000, 12_500));
    the_service_has_no_rule: None, [entry(10_000, 2_800), lost(10_000)] => None;
    a_late_entry_does_not_prolong: Some(&RULE), [entry(10_000, 1_800), entry(12_500, 1_000)] => Some((10_000, 11_500));
    an_earlier_entry_shortens: Some(&RULE), [entry(11_000, 2_800), entry(11_100, 1_800)] => Some((10_000, 12_500));
    it_starts_again_under_another_entry: Some(&RULE), [entry(10_000, 2_800), replaced(), entry(11_000, 2_800)] => Some((10_000, 13_500));
    a_long_time_is_cut: Some(&RULE), [entry(10_000, u64::MAX / 2_000)] => Some((10_000, 15_500));
    an_assumption_holds_for_the_span: Some(&RULE), [assume(10_000)] => Some((10_000, 12_500));
    an_entry_from_before_does_not_end_it: Some(&RULE), [assume(10_000), entry(11_700, 0)] => Some((10_000, 12_500));
    an_entry_written_since_ends_it: Some(&RULE), [assume(10_000), entry(11_900, 0)] => Some((10_000, 11_500));
    the_target_ends_it: Some(&RULE), [assume(10_000), reported(10_600, 0)] => Some((10_000, 10_500));
    the_target_knows_better_than_an_entry: Some(&RULE), [reported(10_600, 2_900), entry(10_700, 0)] => Some((10_000, 13_000));
    a_lost_target_is_cold_until_it_is_known: Some(&RULE), [lost(10_000)] => Some((10_000, 15_500));
    a_lost_target_that_is_asked_is_not: Some(&ASKING), [lost(10_000)] => None;
    one_that_is_reached_again_is_cold: Some(&RULE), [lost(10_000), reached(10_700)] => Some((10_000, 13_500));
    one_that_was_never_lost_is_not: Some(&RULE), [reached(10_700)] => None;
    an_entry_from_before_does_not_find_it: Some(&RULE), [lost(10_000), entry(11_700, 0)] => Some((10_000, 15_500));
    an_entry_written_since_finds_it: Some(&RULE), [lost(10_000), entry(11_900, 0)] => Some((10_000, 11_500));
    one_that_closed_its_connections_is_cold: Some(&RULE), [closed(10_000), reached(10_000)] => Some((10_000, 12_500));
    one_that_is_known_to_be_cold_is_not_so_for_longer: Some(&RULE), [reported(10_000, 2_000), closed(11_000), reached(11_000)] => Some((10_000, 11_500));
}

#[test]
fn the_longest_time_that_is_believed_ends() {
    let mut limit = ColdLimit::default();
    entry(0, u64::MAX / 2_000)(&mut limit);
    assert!(limit.is_cold(at(1)) && !limit.is_cold(MAX_SPAN));
}

/// Guards against a start under load in which a gateway sends before it has planned its grants.
#[test]
fn a_cold_target_has_no_room_before_grants_are_planned() {
    let mut limit = ColdLimit::default();
    entry(0, 3_000)(&mut limit);
    assert!(!limit.has_room(at(1)) && !limit.take(at(1)));
    assert_eq!(limit.time_to_room(at(1)), Some(HORIZON));
    assert_eq!(limit.time_to_room(at(2_900)), Some(at(100)));
    assert_eq!(limit.plan(at(2), Some(&RULE), &input(&[])), Some(true));
    assert!(limit.has_room(at(2)) && limit.take(at(2)) && !limit.take(at(2)));
    assert!(limit.time_to_room(at(2)).is_some_and(|time| time < at(100)));
    assert_eq!(limit.time_to_room(at(3_000)), None);
    assert_eq!(limit.plan(at(3_000), Some(&RULE), &input(&[])), Some(false));
}

/// Guards against gateways that keep each other in the belief that a target is cold.
#[test]
fn the_end_of_a_cold_time_is_reported_for_some_time() {
    let mut limit = ColdLimit::default();
    reported(0, 0)(&mut limit);
    assert_eq!(limit.period_to_send(at(0)), None);
    assume(1_000)(&mut limit);
    limit.plan(at(1_000), Some(&RULE), &input(&[]));
    reported(1_500, 0)(&mut limit);
    let report = limit.period_to_send(at(1_600)).expect("it has just ended");
    let mut other = ColdLimit::default();
    assume(1_000)(&mut other);
    other.merge(at(1_700), report);
    assert!(!other.is_cold(at(1_700)));
    assert_eq!(limit.period_to_send(at(4_600)), None);
}

/// Requests that one gateway alone sends in 10 s if it tries each millisecond, at this rate and
/// among this number of gateways; and the most in any second.
fn alone(rate: f64, gateways: u64) -> (usize, usize) {
    let others: Vec<u64> = (2..=gateways).map(crate::gateway::prompts::mix).collect();
    let mut grants = Grants::default();
    let mut sent = Vec::new();
    for ms in 0..10_000 {
        let mut input = input(&others);
        input.wall += at(ms);
        if ms % 100 == 0 {
            grants.plan(at(ms), rate, &input);
        }
        while grants.take(at(ms)) {
            sent.push(ms);
        }
    }
    let mut most = 0;
    for (index, from) in sent.iter().enumerate() {
        let end = sent.partition_point(|ms| *ms < from + 1_000);
        most = most.max(end - index);
    }
    (sent.len(), most)
}

macro_rules! rates {
    ($($name:ident: $rate:expr, $gateways:expr => $sent:expr, $most:expr;)*) => {$(
        #[test]
        fn $name() {
            let (sent, most) = alone($rate, $gateways);
            assert!($sent.contains(&sent) && most <= $most, "{sent}, {most} in a second");
        }
    )*};
}

rates! {
    a_gateway_alone_uses_the_whole_rate: 11.0, 1 => 109..=111, 12;
    a_rate_below_one: 0.5, 1 => 5..=6, 1;
    a_rate_above_the_number_of_slots: 200.0, 1 => 1_990..=2_010, 208;
    one_of_four_takes_a_quarter: 11.0, 4 => 18..=38, 12;
    one_of_many_takes_its_part: 11.0, 370 => 0..=2, 2;
    the_lowest_rate: 0.01, 1 => 1..=1, 1;
    a_very_high_rate: 1e5, 1 => 990_000..=1_010_000, 104_000;
}

/// Guards against a gateway that sends nothing for an hour, or all at once, after its host's clock
/// was set.
#[test]
fn grants_continue_after_the_wall_clock_was_set() {
    for wall in [at(1_770_996_400_000), at(1_771_003_600_000)] {
        let mut grants = Grants::default();
        grants.plan(at(0), 11.0, &input(&[]));
        let set = GrantInput { wall, ..input(&[]) };
        grants.plan(at(100), 11.0, &set);
        let sent = (100..1_000).filter(|&ms| grants.take(at(ms))).count();
        assert!((9..=24).contains(&sent), "{sent}");
    }
}

/// Guards against a fleet that starts all at once, of which each gateway knows only its seeds and
/// takes the slots of all others.
#[test]
fn a_gateway_that_does_not_know_the_fleet_yet_has_no_grant() {
    let mut limit = ColdLimit::default();
    limit.assume(Micros::ZERO, RULE.span);
    let early = GrantInput {
        knows_fleet: false,
        ..input(&[])
    };
    limit.plan(Micros::ZERO, Some(&RULE), &early);
    assert!((0..1_000).all(|ms| !limit.has_room(Micros::from_ms(ms))));
    limit.plan(Micros::ZERO, Some(&RULE), &input(&[]));
    assert!((0..1_000).any(|ms| limit.has_room(Micros::from_ms(ms))));
}
