use crate::gateway::targets::{Load, LoadReport};
use crate::units::Micros;

fn load() -> Load {
    Load {
        load_ratio: 1.0,
        slowness: 1.0,
        ..Load::default()
    }
}

macro_rules! pauses {
    ($($name:ident: $failures:expr, $reached:expr => $paused:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut load = load();
            (0..$failures).for_each(|_| load.record_failure(Micros::ZERO, $reached));
            assert_eq!(load.paused_until > Micros::ZERO, $paused);
        }
    )*};
}

pauses! {
    one_failure_does_not_pause: 1, true => false;
    consecutive_failures_pause: 3, true => true;
    an_unreachable_target_is_paused_at_once: 1, false => true;
}

#[test]
fn pauses_grow_to_a_limit_and_an_answer_resets_the_count() {
    let mut load = load();
    let mut pauses = Vec::new();
    for _ in 0..20 {
        load.record_failure(Micros::ZERO, false);
        pauses.push(load.paused_until);
    }
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(pauses[19] <= Micros::from_secs(4));
    load.record_success();
    load.record_failure(Micros::ZERO, true);
    assert_eq!(load.failures, 1);
}

#[test]
fn slowness_follows_measured_latency_within_a_few_requests() {
    let mut load = load();
    for _ in 0..6 {
        let expected = Micros((100_000.0 * load.slowness) as u64);
        load.record_latency(Micros::ZERO, Micros::from_ms(500), expected);
    }
    assert!(load.slowness > 3.0, "{}", load.slowness);
}

#[test]
fn without_peers_load_reports_give_the_total_load() {
    let mut load = load();
    load.active = 2;
    let report = LoadReport {
        running: 10,
        waiting: 2,
        slowness: 100,
    };
    (0..40).for_each(|_| load.apply_report(report));
    assert!((load.total_active() - 12.0).abs() < 0.5);
}

macro_rules! recoveries {
    ($($name:ident: $after_ms:expr => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut load = load();
            for _ in 0..40 {
                let expected = Micros((100_000.0 * load.slowness) as u64);
                load.record_latency(Micros::ZERO, Micros::from_ms(700), expected);
            }
            let slow = load.slowness_at(Micros::from_ms($after_ms));
            assert!($range.contains(&slow), "{slow}");
        }
    )*};
}

recoveries! {
    a_measured_slowness_counts_in_full_at_first: 0 => 6.5..7.5;
    a_measured_slowness_decays: 800 => 2.0..3.5;
    a_measured_slowness_is_forgotten: 30_000 => 1.0..1.1;
}
