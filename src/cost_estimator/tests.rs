use super::CostEstimator;
use crate::ids::AccountKey;
use crate::units::Micros;

const LIAR: AccountKey = AccountKey(0);
const HONEST: AccountKey = AccountKey(1);

/// Expected milliseconds after so many outcomes of `spent` with this hint.
fn learnt(hint: u64, spent: u64, outcomes: usize) -> (u64, u64) {
    let (hint, spent) = (Micros::from_ms(hint), Micros::from_ms(spent));
    let mut estimator = CostEstimator::new();
    (0..outcomes).for_each(|_| estimator.record(LIAR, hint, spent));
    let expect = |account| estimator.estimate(account, hint).as_ms();
    (expect(LIAR), expect(HONEST))
}

macro_rules! learns {
    ($($name:ident: $hint:literal, $spent:literal, $outcomes:literal => $low:literal..=$high:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let (liar, honest) = learnt($hint, $spent, $outcomes);
                assert!(($low..=$high).contains(&liar), "{liar}");
                assert_eq!(honest, $hint);
            }
        )*
    };
}

learns! {
    a_hint_is_taken_at_first: 100, 100, 0 => 100..=100;
    a_low_hint_is_found_out: 100, 5_000, 40 => 4_900..=5_000;
    a_high_hint_is_found_out: 5_000, 100, 40 => 100..=150;
    a_true_hint_stays: 100, 100, 40 => 100..=100;
}
