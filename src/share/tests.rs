use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

use super::{Demand, FleetUsage, Report, SHORT_LEAD, Share, Turn};
use crate::ids::AccountKey;
use crate::units::Micros;

const A: AccountKey = AccountKey(0);
const B: AccountKey = AccountKey(1);

macro_rules! cases {
    ($check:ident: $($name:ident($($arg:expr),* $(,)?);)*) => {
        $(#[test] fn $name() { $check($($arg),*) })*
    };
}

type Setup = fn(&mut Share);

fn first_is(setup: Setup, first: Option<(AccountKey, u64)>) {
    let mut share = Share::new();
    setup(&mut share);
    assert_eq!(share.first(), first.map(|(a, level)| (a, Micros(level))));
}

cases! { first_is:
    no_account_without_backlog(|_| {}, None);
    least_level_first(|s| { both(s); s.debit(A, Micros(5)); }, Some((B, 0)));
    ties_by_key(both, Some((A, 0)));
    refunds_lower_the_level(|s| { both(s); s.debit(A, Micros(5)); s.debit(B, Micros(9));
        s.credit(B, Micros(8)); }, Some((B, 1)));
    a_returning_account_is_raised(|s| { s.set_backlogged(A); s.debit(A, Micros(7));
        s.set_backlogged(B); s.set_idle(A); }, Some((B, 7)));
    a_returning_account_is_raised_to_the_fleet(|s| { s.apply(A, usage(Micros(50), Demand::Steady));
        s.set_backlogged(B); }, Some((B, 50)));
    an_account_backlogged_elsewhere_is_not_raised(|s| { s.apply(A,
        usage(Micros(3), Demand::Steady)); s.apply(B, usage(Micros(9), Demand::Steady));
        s.set_idle(A); s.set_backlogged(A); }, Some((A, 3)));
    unreported_charges_are_added(|s| { s.set_backlogged(A); s.collect(); s.debit(A, Micros(4));
        s.apply(A, usage(Micros(10), Demand::Steady)); }, Some((A, 14)));
    unconfirmed_counts_for_every_entry(|s| { s.set_members(4); s.set_backlogged(A);
        s.debit(A, Micros(5)); }, Some((A, 20)));
    confirmed_counts_once(|s| { s.set_members(4); s.set_backlogged(A); s.debit(A, Micros(5));
        s.collect(); s.apply(A, usage(Micros(9), Demand::Steady)); }, Some((A, 9)));
    alternating_earns_no_credit(|s| { s.set_backlogged(B); s.debit(B, Micros(100));
        (0..50).for_each(|_| { s.set_backlogged(A); s.set_idle(A); }); s.debit(B, Micros(100));
        s.set_backlogged(A); }, Some((A, 200)));
}

fn turns_to(setup: Setup, turn: Option<Turn>) {
    let mut share = Share::new();
    setup(&mut share);
    assert_eq!(share.turn(), turn);
}

cases! { turns_to:
    no_turn_without_work(|_| {}, None);
    least_level_has_any_turn(|s| { both(s); s.debit(A, Micros(5)); }, Some(Turn::Any(B)));
    short_work_leads(|s| { both(s); s.debit(A, SHORT_LEAD); s.set_short(A, true); },
        Some(Turn::Short(A)));
    the_lead_is_bounded(|s| { both(s); s.debit(A, SHORT_LEAD + Micros(1)); s.set_short(A, true); },
        Some(Turn::Any(B)));
    least_with_short_work_has_any_turn(|s| { both(s); s.debit(A, Micros(5)); s.set_short(A, true);
        s.set_short(B, true); }, Some(Turn::Any(B)));
    idle_accounts_do_not_lead(|s| { both(s); s.debit(A, Micros(5)); s.set_short(A, true);
        s.set_idle(A); }, Some(Turn::Any(B)));
}

fn usage(total: Micros, demand: Demand) -> FleetUsage {
    FleetUsage {
        total,
        unconfirmed: 0,
        demand,
    }
}

fn both(share: &mut Share) {
    share.set_backlogged(A);
    share.set_backlogged(B);
}

#[test]
fn reports_have_new_charges_and_demand() {
    let mut share = Share::new();
    share.set_backlogged(A);
    share.debit(A, Micros(9));
    share.credit(A, Micros(2));
    let report = |charged, demand| {
        vec![Report {
            account: A,
            charged,
            demand,
        }]
    };
    assert_eq!(share.collect(), report(7, Demand::Returned));
    assert_eq!(share.collect(), report(0, Demand::Steady));
}

#[test]
fn idle_accounts_are_dropped() {
    let mut share = Share::new();
    for key in 0..1_000 {
        share.set_backlogged(AccountKey(key));
        share.debit(AccountKey(key), Micros(1));
        share.set_idle(AccountKey(key));
    }
    (0..400).for_each(|_| drop(share.collect()));
    assert!(share.is_empty());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u32),
    Idle(u32),
    Debit(u32, u64),
    Credit(u32, u64),
    Apply(u32, u64, bool),
    Collect,
}

fn step() -> impl Strategy<Value = Step> {
    let (key, amount) = (0..6u32, 0..100u64);
    prop_oneof![
        key.clone().prop_map(Step::Wait),
        key.clone().prop_map(Step::Idle),
        (key.clone(), amount.clone()).prop_map(|(k, n)| Step::Debit(k, n)),
        (key.clone(), amount.clone()).prop_map(|(k, n)| Step::Credit(k, n)),
        (key, amount, any::<bool>()).prop_map(|(k, n, on)| Step::Apply(k, n, on)),
        Just(Step::Collect),
    ]
}

fn take(share: &mut Share, waits: &mut [bool; 6], step: Step) {
    match step {
        Step::Wait(k) => {
            waits[k as usize] = true;
            share.set_backlogged(AccountKey(k));
        }
        Step::Idle(k) => {
            waits[k as usize] = false;
            share.set_idle(AccountKey(k));
        }
        Step::Debit(k, n) => share.debit(AccountKey(k), Micros(n)),
        Step::Credit(k, n) => share.credit(AccountKey(k), Micros(n)),
        Step::Apply(k, n, true) => share.apply(AccountKey(k), usage(Micros(n), Demand::Steady)),
        Step::Apply(k, n, false) => share.apply(AccountKey(k), usage(Micros(n), Demand::Idle)),
        Step::Collect => drop(share.collect()),
    }
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(9), ..Config::default() })]

    /// Compares [`Share::first`] with a search over all accounts.
    #[test]
    fn first_is_the_least_of_all(steps in prop::collection::vec(step(), 0..60)) {
        let mut share = Share::new();
        let mut waits = [false; 6];
        for step in steps {
            take(&mut share, &mut waits, step);
            let naive = (0..6u32)
                .filter(|&k| waits[k as usize])
                .map(|k| (share.level(AccountKey(k)), AccountKey(k)))
                .min();
            prop_assert_eq!(share.first(), naive.map(|(level, k)| (k, level)));
        }
    }
}
