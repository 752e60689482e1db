mod fleet;

use super::{END_REPORT_TIME, LIMIT_TTL, LimitedUse, Observation, TargetLimit, WINDOW_MS};
use crate::units::Micros;

fn at(ms: u64) -> Micros {
    Micros::from_ms(ms)
}

fn answer(limit: Option<f64>, ms: u64) -> LimitedUse {
    LimitedUse {
        sent: 0,
        answer: Some(Observation { limit, at: at(ms) }),
        cold_period: None,
    }
}

/// The limit at `now`, after answers to this gateway (limit, time) and the newest one to others.
macro_rules! rates {
    ($($name:ident: $own:expr, $others:expr, $now:expr => $rate:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut limit = TargetLimit::default();
            let own: &[(Option<f64>, u64)] = &$own;
            for &(named, ms) in own {
                limit.observe(at(ms), named);
            }
            limit.set_others($others);
            assert_eq!(limit.rate(at($now)), $rate);
        }
    )*};
}

rates! {
    nothing_was_named: [(None, 10)], LimitedUse::default(), 20 => None;
    a_limit_was_named_here: [(Some(5.0), 10)], LimitedUse::default(), 20 => Some(5.0);
    a_limit_was_named_elsewhere: [], answer(Some(5.0), 10), 20 => Some(5.0);
    it_has_changed: [(Some(5.0), 10), (Some(3.0), 15)], LimitedUse::default(), 20 => Some(3.0);
    it_has_ended: [(Some(5.0), 10), (None, 15)], LimitedUse::default(), 20 => None;
    it_has_ended_according_to_others: [(Some(5.0), 10)], answer(None, 15), 20 => None;
    others_know_an_older_limit: [(Some(5.0), 10), (None, 15)], answer(Some(5.0), 12), 20 => None;
    nobody_has_had_an_answer_for_long: [(Some(0.0), 10)], LimitedUse::default(), 10 + LIMIT_TTL.as_ms() => None;
}

/// A target that named `rate` requests a second a long time ago, at a gateway with this part of the
/// demand.
fn limited(rate: f64, part: f64) -> TargetLimit {
    let mut limit = TargetLimit::default();
    limit.observe(at(0), Some(rate));
    limit.refill(at(0), part, 0.0);
    limit
}

/// Sends whenever there is room, for `seconds` from 0, while the others use their parts; returns the
/// number of requests.
fn send(rate: f64, part: f64, seconds: u64) -> usize {
    let mut limit = limited(rate, part);
    let others = rate * (1.0 - part) * WINDOW_MS as f64 / 1_000.0;
    limit.set_others(LimitedUse {
        sent: others as u32,
        ..LimitedUse::default()
    });
    let mut sent = 0;
    for ms in (0..seconds * 1_000).step_by(100) {
        limit.refill(at(ms), part, 0.0);
        while limit.take(at(ms)) {
            sent += 1;
        }
    }
    sent
}

macro_rules! sends {
    ($($name:ident: $rate:expr, $part:expr, $seconds:expr => $sent:expr;)*) => {$(
        #[test]
        fn $name() {
            let sent = send($rate, $part, $seconds);
            assert!($sent.contains(&sent), "{sent}");
        }
    )*};
}

sends! {
    a_gateway_alone_uses_the_whole_limit: 5.0, 1.0, 20 => 95..=105;
    a_quarter_of_the_demand_gets_a_quarter: 8.0, 0.25, 20 => 38..=41;
    a_hundredth_gets_a_request_each_20_s: 5.0, 0.01, 20 => 0..=1;
    a_limit_below_one_a_second: 0.2, 1.0, 20 => 3..=4;
    a_limit_of_zero_lets_nothing_pass: 0.0, 1.0, 20 => 0..=0;
    without_demand_nothing_is_due: 5.0, 0.0, 20 => 0..=0;
}

#[test]
fn an_unlimited_target_always_has_room() {
    let mut limit = TargetLimit::default();
    limit.refill(at(0), 0.0, 0.0);
    assert!((0..1_000).all(|_| limit.take(at(0))));
    assert_eq!(limit.report(at(0)), None);
}

#[test]
fn tokens_that_were_not_used_for_long_are_lost() {
    let mut limit = limited(2.0, 0.5);
    for ms in (0..20_000).step_by(100) {
        limit.refill(at(ms), 0.5, 0.0);
    }
    let burst = (0..100).filter(|_| limit.take(at(20_000))).count();
    assert!(burst <= 4, "{burst}");
}

#[test]
fn what_others_have_sent_closes_a_target() {
    let mut limit = limited(5.0, 1.0);
    let used = |sent| LimitedUse {
        sent,
        ..LimitedUse::default()
    };
    limit.set_others(used(21));
    limit.refill(at(1_000), 1.0, 0.0);
    assert!(!limit.has_room() && !limit.take(at(1_000)));
    limit.set_others(used(5));
    limit.refill(at(1_100), 1.0, 0.0);
    assert!(limit.has_room() && limit.take(at(1_100)));
}

#[test]
fn requests_are_reported_while_they_are_in_the_window() {
    let mut limit = limited(5.0, 1.0);
    limit.refill(at(1_000), 1.0, 0.0);
    assert!(limit.take(at(1_000)));
    let sent = |limit: &mut TargetLimit, ms| limit.report(at(ms)).map(|used| used.sent);
    assert_eq!(sent(&mut limit, 1_100), Some(1));
    assert_eq!(sent(&mut limit, 1_200 + WINDOW_MS), Some(0));
}

#[test]
fn the_end_of_a_limit_is_reported_for_some_time() {
    let mut limit = limited(5.0, 1.0);
    limit.observe(at(1_000), None);
    let end = Observation {
        limit: None,
        at: at(1_000),
    };
    let report = limit.report(at(1_100)).expect("it has just ended");
    assert_eq!(report.answer, Some(end));
    assert_eq!(limit.report(at(1_000) + END_REPORT_TIME), None);
}

#[test]
fn only_the_beginning_and_the_end_of_a_limit_are_changes() {
    let mut limit = TargetLimit::default();
    let answers = [None, Some(5.0), Some(4.0), None, None];
    let changes = answers.map(|named| limit.observe(at(1), named));
    assert_eq!(changes, [false, true, false, true, false]);
}

#[test]
fn a_target_that_names_a_limit_again_starts_with_a_random_part_of_a_token() {
    let mut limit = limited(5.0, 1.0);
    limit.observe(at(1_000), None);
    limit.refill(at(1_000), 1.0, 0.0);
    assert!(limit.has_room());
    limit.observe(at(2_000), Some(5.0));
    limit.refill(at(2_000), 1.0, 0.9);
    assert!(!limit.has_room());
    limit.refill(at(2_100), 1.0, 0.0);
    assert!(limit.has_room());
}
