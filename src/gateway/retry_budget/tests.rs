use proptest::prelude::*;

use super::{RetryBudget, RetryLimits};
use crate::units::Micros;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 48.0,
    window: Micros::from_secs(10),
};
/// Number of gateways that share the limits.
const GATEWAYS: usize = 8;

#[test]
fn a_gateway_without_traffic_has_a_few_retries() {
    let mut budget = RetryBudget::default();
    let taken = (0..100)
        .filter(|_| budget.try_take(Micros::ZERO, &LIMITS, GATEWAYS))
        .count();
    assert_eq!(taken, 3);
}

#[test]
fn retries_are_available_again_after_the_window() {
    let mut budget = RetryBudget::default();
    while budget.try_take(Micros::ZERO, &LIMITS, GATEWAYS) {}
    assert!(!budget.try_take(Micros::from_secs(9), &LIMITS, GATEWAYS));
    assert!(budget.try_take(Micros::from_secs(11), &LIMITS, GATEWAYS));
}

/// The retries of a fleet without traffic, all of them at once.
macro_rules! fleets {
    ($($name:ident: $gateways:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut budgets: Vec<RetryBudget> =
                (0..$gateways).map(|_| RetryBudget::default()).collect();
            let mut taken = 0;
            for budget in &mut budgets {
                while budget.try_take(Micros::ZERO, &LIMITS, $gateways) {
                    taken += 1;
                }
            }
            assert!(f64::from(taken) <= LIMITS.slack, "{taken}");
        }
    )*};
}

fleets! {
    one_gateway_stays_within_the_slack: 1;
    twenty_five_gateways_stay_within_the_slack: 25;
    a_hundred_gateways_stay_within_the_slack: 103;
}

proptest! {
    /// However first attempts and retries are distributed over the gateways, their retries in any
    /// window stay within the limits for the first attempts of that window and the one before.
    #[test]
    fn all_gateways_together_stay_within_the_limits(
        steps in proptest::collection::vec((0..GATEWAYS, 0_u64..400, any::<bool>()), 1..2_000),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..GATEWAYS).map(|_| RetryBudget::default()).collect();
        let (mut now, mut first_attempts, mut retries) = (Micros::ZERO, Vec::new(), Vec::new());
        for (gateway, wait, is_retry) in steps {
            now += Micros::from_ms(wait);
            if !is_retry {
                budgets[gateway].record_first(now, &LIMITS);
                first_attempts.push(now);
            } else if budgets[gateway].try_take(now, &LIMITS, GATEWAYS) {
                retries.push(now);
            }
        }
        let window = LIMITS.window;
        for &end in &retries {
            let inside = |at: &&Micros| **at <= end && end.saturating_sub(**at) < window;
            let near = |at: &&Micros| **at <= end && end.saturating_sub(**at) < window + window;
            let sent = first_attempts.iter().filter(near).count() as f64;
            let retried = retries.iter().filter(inside).count() as f64;
            prop_assert!(retried <= sent * LIMITS.ratio + LIMITS.slack);
        }
    }
}
