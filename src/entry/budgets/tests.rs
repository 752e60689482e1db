use super::{Budgets, Counted};
use crate::retry_budget::RetryBudget;

const REQUESTS: u32 = 1_000;
/// Copies that a budget may have saved up.
const SAVED: u32 = 10;

/// Copies that are sent of requests which fail again and again.
fn copies(percent: u8) -> u32 {
    let mut budgets = Budgets {
        hedge: RetryBudget::new(percent),
        retry: RetryBudget::full(percent),
    };
    let mut copies = 0;
    for _ in 0..REQUESTS {
        let mut counted = Counted::default();
        budgets.dispatched(&mut counted);
        copies += 1;
        while budgets.retry.try_withdraw() {
            budgets.dispatched(&mut counted);
            copies += 1;
        }
    }
    copies
}

macro_rules! shares {
    ($($name:ident: $percent:expr;)*) => {$(
        #[test]
        fn $name() {
            let most = REQUESTS + REQUESTS * $percent / 100 + SAVED;
            let copies = copies($percent);
            assert!(copies <= most, "{copies} of {most}");
        }
    )*};
}

shares! {
    repeats_at_a_tenth_keep_to_it: 10;
    repeats_at_a_half_keep_to_it: 50;
}
