use super::{BudgetCredit, Budgets};
use crate::retry_budget::RetryBudget;

const REQUESTS: u32 = 1_000;
/// Maximum number of retries that a budget accumulates.
const MAX_SAVED: u32 = 10;

/// Returns the number of dispatches of [`REQUESTS`] requests that fail every time. Retries must
/// earn no credit, or they would pay for further retries.
fn dispatches(percent: u8) -> u32 {
    let mut budgets = Budgets {
        hedge: RetryBudget::new(percent),
        retry: RetryBudget::full(percent),
    };
    let mut dispatches = 0;
    for _ in 0..REQUESTS {
        let mut credit = BudgetCredit::default();
        budgets.record_dispatch(&mut credit);
        dispatches += 1;
        while budgets.retry.try_withdraw() {
            budgets.record_dispatch(&mut credit);
            dispatches += 1;
        }
    }
    dispatches
}

macro_rules! retry_budgets {
    ($($name:ident: $percent:expr;)*) => {$(
        #[test]
        fn $name() {
            let limit = REQUESTS + REQUESTS * $percent / 100 + MAX_SAVED;
            let dispatches = dispatches($percent);
            assert!(dispatches <= limit, "{dispatches} of {limit}");
        }
    )*};
}

retry_budgets! {
    retries_stay_within_a_budget_of_ten_percent: 10;
    retries_stay_within_a_budget_of_fifty_percent: 50;
}
