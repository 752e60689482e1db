use super::RetryBudget;

/// Second copies that are let through with so many first ones.
fn copies(percent: u8, firsts: usize) -> usize {
    let mut budget = RetryBudget::new(percent);
    (0..firsts)
        .map(|_| {
            budget.deposit();
            usize::from(budget.try_withdraw())
        })
        .sum()
}

macro_rules! budgets {
    ($($name:ident: $percent:literal, $firsts:literal => $copies:literal;)*) => {
        $(#[test] fn $name() { assert_eq!(copies($percent, $firsts), $copies); })*
    };
}

budgets! {
    none_at_zero: 0, 1_000 => 0;
    a_tenth: 10, 1_000 => 101;
    all: 100, 10 => 10;
}

#[test]
fn savings_are_bounded() {
    let mut budget = RetryBudget::new(100);
    (0..1_000).for_each(|_| budget.deposit());
    assert_eq!((0..1_000).filter(|_| budget.try_withdraw()).count(), 10);
}
