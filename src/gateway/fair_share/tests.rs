use super::{AccountTag, FairShare, ShareStatus, Usage, level};
use crate::units::Micros;

macro_rules! levels {
    ($($name:ident: $asked:expr, $room:expr => $level:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(level(&mut $asked, $room), $level); })*
    };
}

levels! {
    all_fits: [10.0, 20.0], 30.0 => f64::INFINITY;
    nobody_asks: [0.0; 0], 30.0 => f64::INFINITY;
    even_shares: [100.0, 100.0, 100.0], 90.0 => 30.0;
    what_small_ones_leave_is_divided: [10.0, 100.0, 100.0], 90.0 => 40.0;
    one_large_takes_the_rest: [10.0, 20.0, 500.0], 100.0 => 70.0;
}

const CLUB: AccountTag = AccountTag(1);
const SCHOOL: AccountTag = AccountTag(2);
const PACE: f64 = 1_000.0;

fn at(ms: u64) -> Micros {
    Micros::from_ms(ms)
}

/// An account that gets eight times its usual for two seconds, beside one that asks for little.
fn jump(fair: &mut FairShare) {
    for step in 0..20 {
        fair.record_request(at(step * 100), CLUB, 400.0);
        fair.record_sent(at(step * 100), CLUB, 300.0);
        fair.record_request(at(step * 100), SCHOOL, 10.0);
        fair.record_sent(at(step * 100), SCHOOL, 10.0);
    }
}

#[test]
fn an_account_that_jumps_has_its_share_and_a_small_one_does_not() {
    let mut fair = FairShare::default();
    jump(&mut fair);
    assert_eq!(fair.status(at(2_000), CLUB, PACE), ShareStatus::Sated);
    assert_eq!(fair.status(at(2_000), SCHOOL, PACE), ShareStatus::Owed);
}

#[test]
fn a_jump_is_forgotten_after_the_window() {
    let mut fair = FairShare::default();
    jump(&mut fair);
    assert_eq!(fair.status(at(6_000), CLUB, PACE), ShareStatus::Owed);
    assert_eq!(fair.local_usage(at(6_000)).count(), 0);
}

#[test]
fn what_others_told_counts_until_it_is_old() {
    let mut fair = FairShare::default();
    let uses = Usage {
        requested: 8_000.0,
        served: 6_000.0,
    };
    fair.merge_peer(at(0), 7, [(CLUB, uses)].into_iter());
    assert_eq!(fair.status(at(100), CLUB, PACE), ShareStatus::Sated);
    assert_eq!(fair.status(at(2_000), CLUB, PACE), ShareStatus::Owed);
}

#[test]
fn what_is_told_twice_counts_once() {
    let mut fair = FairShare::default();
    let uses = Usage {
        requested: 2_000.0,
        served: 2_000.0,
    };
    fair.merge_peer(at(0), 7, [(CLUB, uses)].into_iter());
    fair.merge_peer(at(1), 7, [(CLUB, uses)].into_iter());
    assert_eq!(fair.status(at(100), CLUB, PACE), ShareStatus::Owed);
}

/// Load: all accounts ask for far more than their share of the pace, and one of them for most; the
/// targets serve more than the pace, since they keep prompts.
#[test]
fn what_is_served_beyond_the_pace_is_divided_fairly_too() {
    let mut fair = FairShare::default();
    for (account, asked, got) in [(CLUB, 9e6, 5e6), (SCHOOL, 5e6, 2e6)] {
        fair.record_request(at(0), account, asked);
        fair.record_sent(at(0), account, got);
    }
    let pace = 1e6;
    assert_eq!(fair.status(at(0), CLUB, pace), ShareStatus::Sated);
    assert_eq!(fair.status(at(0), SCHOOL, pace), ShareStatus::Owed);
}
