use super::RetryBudget;

/// Number of extra attempts that are allowed during the given number of first attempts.
fn extra_attempts(percent: u8, first_attempts: usize) -> usize {
    let mut budget = RetryBudget::new(percent);
    (0..first_attempts)
        .map(|_| {
            budget.deposit();
            usize::from(budget.try_withdraw())
        })
        .sum()
}

macro_rules! budgets {
    ($($name:ident: $percent:literal, $first_attempts:literal => $extra:literal;)*) => {
        $(#[test] fn $name() { assert_eq!(extra_attempts($percent, $first_attempts), $extra); })*
    };
}

budgets! {
    zero_percent: 0, 1_000 => 0;
    ten_percent: 10, 1_000 => 101;
    hundred_percent: 100, 10 => 10;
}

#[test]
fn accumulated_credits_are_bounded() {
    let mut budget = RetryBudget::new(100);
    (0..1_000).for_each(|_| budget.deposit());
    assert_eq!((0..1_000).filter(|_| budget.try_withdraw()).count(), 10);
}
