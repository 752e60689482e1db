use super::CostEstimator;
use crate::ids::AccountKey;
use crate::units::Micros;

const RECORDED: AccountKey = AccountKey(0);
const OTHER: AccountKey = AccountKey(1);

/// Estimates in milliseconds, after so many outcomes of `spent` with this hint, for the account that
/// had them and for another one.
fn estimates(hint: u64, spent: u64, outcomes: usize) -> (u64, u64) {
    let (hint, spent) = (Micros::from_ms(hint), Micros::from_ms(spent));
    let mut estimator = CostEstimator::new();
    (0..outcomes).for_each(|_| estimator.record(RECORDED, hint, spent));
    let estimate = |account| estimator.estimate(account, hint).as_ms();
    (estimate(RECORDED), estimate(OTHER))
}

macro_rules! cases {
    ($($name:ident: $hint:literal, $spent:literal, $outcomes:literal => $low:literal..=$high:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let (recorded, other) = estimates($hint, $spent, $outcomes);
                assert!(($low..=$high).contains(&recorded), "{recorded}");
                assert_eq!(other, $hint);
            }
        )*
    };
}

cases! {
    a_hint_is_used_without_history: 100, 100, 0 => 100..=100;
    a_low_hint_is_corrected: 100, 5_000, 40 => 4_900..=5_000;
    a_high_hint_is_corrected: 5_000, 100, 40 => 100..=150;
    an_accurate_hint_is_kept: 100, 100, 40 => 100..=100;
}
