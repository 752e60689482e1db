use super::experiments::{Experiment, Variant, run};
use super::meter::{Meter, percentile};
use crate::ids::AccountKey;
use crate::units::Micros;

/// Runs an experiment with a fixed seed and sums a figure over its cases.
fn sum_figure(experiment: Experiment, variant: Variant, figure: &str) -> f64 {
    let reports = run(experiment, 7, variant);
    reports.iter().filter_map(|r| r.get(figure)).sum()
}

macro_rules! policy_goals {
    ($($name:ident: $experiment:ident, $figure:literal, |$fleet:ident, $naive:ident| $goal:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let $fleet = sum_figure(Experiment::$experiment, Variant::Fleet, $figure);
                let $naive = sum_figure(Experiment::$experiment, Variant::Naive, $figure);
                assert!($goal, "fleet {}, naive {}", $fleet, $naive);
            }
        )*
    };
}

policy_goals! {
    only_the_naive_policy_runs_orders_twice: Once, "doubled_count", |fleet, naive| fleet == 0.0 && naive > 0.0;
    refused_requests_were_not_run: Once, "refused_but_run_count", |fleet, _naive| fleet == 0.0;
    slowed_targets_raise_tail_latency_less: Slowed, "p99_ratio", |fleet, naive| fleet <= 1.5 && naive > fleet;
    only_the_fleet_sends_control_traffic: Control, "control_bytes_per_s", |fleet, naive| fleet > 0.0 && naive == 0.0;
}

#[test]
fn same_seed_gives_same_figures() {
    let figures = || sum_figure(Experiment::Failover, Variant::Fleet, "slowest_ms");
    assert_eq!(figures(), figures());
}

#[test]
fn gap_covers_only_time_with_both_accounts_backlogged() {
    let (a, b) = (AccountKey(0), AccountKey(1));
    let mut meter = Meter::new(2, 1);
    meter.request_queued(a);
    meter.request_queued(b);
    meter.sample();
    meter.sample();
    meter.run_started(a);
    meter.advance(Micros(10));
    meter.sample();
    meter.request_dequeued(b);
    meter.advance(Micros(50));
    meter.sample();
    assert_eq!(meter.max_gap(), Micros(10));
    assert_eq!(meter.utilisation(), 1.0);
}

macro_rules! percentiles {
    ($($name:ident: $values:expr, $percent:literal => $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let values = $values.into_iter().map(Micros).collect();
                assert_eq!(percentile(values, $percent), Micros($expected));
            }
        )*
    };
}

percentiles! {
    percentile_of_nothing: [], 99 => 0;
    percentile_of_one: [5], 99 => 5;
    percentile_in_the_middle: [3, 1, 2], 50 => 2;
    percentile_at_the_end: [3, 1, 2], 100 => 3;
}
