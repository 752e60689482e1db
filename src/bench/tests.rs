use super::experiments::{Experiment, Variant, run};
use super::meter::{Meter, percentile};
use crate::ids::AccountKey;
use crate::units::Micros;

/// Sums a figure over an experiment's cases.
fn total(experiment: Experiment, variant: Variant, figure: &str) -> f64 {
    let reports = run(experiment, 7, variant);
    reports.iter().filter_map(|r| r.get(figure)).sum()
}

macro_rules! goals {
    ($($name:ident: $experiment:ident, $figure:literal, |$fleet:ident, $naive:ident| $goal:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let $fleet = total(Experiment::$experiment, Variant::Fleet, $figure);
                let $naive = total(Experiment::$experiment, Variant::Naive, $figure);
                assert!($goal, "fleet {}, naive {}", $fleet, $naive);
            }
        )*
    };
}

goals! {
    orders_never_run_twice_but_naively: Once, "doubled_count", |fleet, naive| fleet == 0.0 && naive > 0.0;
    refusals_are_true: Once, "refused_but_run_count", |fleet, _naive| fleet == 0.0;
    slowed_targets_cost_less_tail: Slowed, "p99_ratio", |fleet, naive| fleet <= 1.5 && naive > fleet;
    fleet_pays_for_control: Control, "control_bytes_per_s", |fleet, naive| fleet > 0.0 && naive == 0.0;
}

#[test]
fn a_seed_fixes_the_figures() {
    let figures = || total(Experiment::Failover, Variant::Fleet, "slowest_ms");
    assert_eq!(figures(), figures());
}

#[test]
fn a_gap_is_that_of_jointly_backlogged_time() {
    let (a, b) = (AccountKey(0), AccountKey(1));
    let mut meter = Meter::new(2, 1);
    meter.waits(a);
    meter.waits(b);
    meter.sample();
    meter.sample();
    meter.starts(a);
    meter.pass(Micros(10));
    meter.sample();
    meter.unwaits(b);
    meter.pass(Micros(50));
    meter.sample();
    assert_eq!(meter.gap(), Micros(10));
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
