use super::{AccountTag, Fair, Standing, Use, level};
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
fn jump(fair: &mut Fair) {
    for step in 0..20 {
        fair.asked(at(step * 100), CLUB, 400.0);
        fair.sent(at(step * 100), CLUB, 300.0);
        fair.asked(at(step * 100), SCHOOL, 10.0);
        fair.sent(at(step * 100), SCHOOL, 10.0);
    }
}

#[test]
fn an_account_that_jumps_has_its_share_and_a_small_one_does_not() {
    let mut fair = Fair::default();
    jump(&mut fair);
    assert_eq!(fair.standing(at(2_000), CLUB, PACE), Standing::Sated);
    assert_eq!(fair.standing(at(2_000), SCHOOL, PACE), Standing::Owed);
}

#[test]
fn a_jump_is_forgotten_after_the_window() {
    let mut fair = Fair::default();
    jump(&mut fair);
    assert_eq!(fair.standing(at(6_000), CLUB, PACE), Standing::Owed);
    assert_eq!(fair.own(at(6_000)).count(), 0);
}

#[test]
fn what_others_told_counts_until_it_is_old() {
    let mut fair = Fair::default();
    let uses = Use {
        asked: 8_000.0,
        got: 6_000.0,
    };
    fair.told(at(0), 7, [(CLUB, uses)].into_iter());
    assert_eq!(fair.standing(at(100), CLUB, PACE), Standing::Sated);
    assert_eq!(fair.standing(at(2_000), CLUB, PACE), Standing::Owed);
}

#[test]
fn what_is_told_twice_counts_once() {
    let mut fair = Fair::default();
    let uses = Use {
        asked: 2_000.0,
        got: 2_000.0,
    };
    fair.told(at(0), 7, [(CLUB, uses)].into_iter());
    fair.told(at(1), 7, [(CLUB, uses)].into_iter());
    assert_eq!(fair.standing(at(100), CLUB, PACE), Standing::Owed);
}

/// Load: all accounts ask for far more than their share of the pace, and one of them for most; the
/// targets serve more than the pace, since they keep prompts.
#[test]
fn what_is_served_beyond_the_pace_is_divided_fairly_too() {
    let mut fair = Fair::default();
    for (account, asked, got) in [(CLUB, 9e6, 5e6), (SCHOOL, 5e6, 2e6)] {
        fair.asked(at(0), account, asked);
        fair.sent(at(0), account, got);
    }
    let pace = 1e6;
    assert_eq!(fair.standing(at(0), CLUB, pace), Standing::Sated);
    assert_eq!(fair.standing(at(0), SCHOOL, pace), Standing::Owed);
}
