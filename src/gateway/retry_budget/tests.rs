use proptest::prelude::*;

use super::{RetryBudget, RetryLimits};
use crate::units::Micros;

const ALLOWANCE: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 48.0,
    window: Micros::from_secs(10),
};
/// Gateways that must keep to the allowance together.
const GATEWAYS: usize = 8;

#[test]
fn a_quiet_gateway_may_repeat_a_few() {
    let mut budget = RetryBudget::default();
    let taken = (0..100)
        .filter(|_| budget.try_take(Micros::ZERO, &ALLOWANCE))
        .count();
    assert_eq!(taken, 3);
}

#[test]
fn repeats_come_back_after_the_window() {
    let mut budget = RetryBudget::default();
    while budget.try_take(Micros::ZERO, &ALLOWANCE) {}
    assert!(!budget.try_take(Micros::from_secs(9), &ALLOWANCE));
    assert!(budget.try_take(Micros::from_secs(11), &ALLOWANCE));
}

proptest! {
    /// However requests and repeats fall on the gateways, in no window do all of them together
    /// repeat more than is allowed for what they sent in it and in the one before.
    #[test]
    fn all_gateways_together_keep_to_the_allowance(
        steps in proptest::collection::vec((0..GATEWAYS, 0_u64..400, any::<bool>()), 1..2_000),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..GATEWAYS).map(|_| RetryBudget::default()).collect();
        let (mut now, mut firsts, mut repeats) = (Micros::ZERO, Vec::new(), Vec::new());
        for (gateway, wait, again) in steps {
            now += Micros::from_ms(wait);
            if !again {
                budgets[gateway].record_first(now, &ALLOWANCE);
                firsts.push(now);
            } else if budgets[gateway].try_take(now, &ALLOWANCE) {
                repeats.push(now);
            }
        }
        let window = ALLOWANCE.window;
        for &end in &repeats {
            let inside = |at: &&Micros| **at <= end && end.saturating_sub(**at) < window;
            let near = |at: &&Micros| **at <= end && end.saturating_sub(**at) < window + window;
            let sent = firsts.iter().filter(near).count() as f64;
            let again = repeats.iter().filter(inside).count() as f64;
            prop_assert!(again <= sent * ALLOWANCE.ratio + ALLOWANCE.slack);
        }
    }
}
