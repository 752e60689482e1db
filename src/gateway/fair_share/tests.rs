use super::{AccountTag, FairShare, ShareStatus, Usage, level};
use crate::units::Micros;

macro_rules! levels {
    ($($name:ident: $demands:expr, $capacity:expr => $level:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(level(&mut $demands, $capacity), $level); })*
    };
}

levels! {
    all_demands_fit: [10.0, 20.0], 30.0 => f64::INFINITY;
    no_demand: [0.0; 0], 30.0 => f64::INFINITY;
    even_shares: [100.0, 100.0, 100.0], 90.0 => 30.0;
    unused_shares_are_divided: [10.0, 100.0, 100.0], 90.0 => 40.0;
    one_large_demand_takes_the_rest: [10.0, 20.0, 500.0], 100.0 => 70.0;
}

const BURSTING: AccountTag = AccountTag(1);
const SMALL: AccountTag = AccountTag(2);
const TOKEN_RATE: f64 = 1_000.0;

fn at(ms: u64) -> Micros {
    Micros::from_ms(ms)
}

/// For two seconds, one account requests eight times its usual amount, beside one with little
/// usage.
fn burst(shares: &mut FairShare) {
    for step in 0..20 {
        shares.record_request(at(step * 100), BURSTING, 400.0);
        shares.record_sent(at(step * 100), BURSTING, 300.0);
        shares.record_request(at(step * 100), SMALL, 10.0);
        shares.record_sent(at(step * 100), SMALL, 10.0);
    }
}

#[test]
fn a_bursting_account_reaches_its_share_and_a_small_one_does_not() {
    let mut shares = FairShare::default();
    burst(&mut shares);
    assert_eq!(
        shares.status(at(2_000), BURSTING, TOKEN_RATE),
        ShareStatus::ReachedShare
    );
    assert_eq!(
        shares.status(at(2_000), SMALL, TOKEN_RATE),
        ShareStatus::BelowShare
    );
}

#[test]
fn a_burst_no_longer_counts_after_the_window() {
    let mut shares = FairShare::default();
    burst(&mut shares);
    assert_eq!(
        shares.status(at(6_000), BURSTING, TOKEN_RATE),
        ShareStatus::BelowShare
    );
    assert_eq!(shares.local_usage(at(6_000)).count(), 0);
}

#[test]
fn peer_reports_count_until_they_expire() {
    let mut shares = FairShare::default();
    let usage = Usage {
        requested: 8_000.0,
        served: 6_000.0,
    };
    shares.set_peer_usage(at(0), [(BURSTING, usage)].into_iter().collect());
    assert_eq!(
        shares.status(at(100), BURSTING, TOKEN_RATE),
        ShareStatus::ReachedShare
    );
    assert_eq!(
        shares.status(at(2_000), BURSTING, TOKEN_RATE),
        ShareStatus::BelowShare
    );
}

#[test]
fn a_repeated_peer_report_counts_once() {
    let mut shares = FairShare::default();
    let usage = Usage {
        requested: 2_000.0,
        served: 2_000.0,
    };
    shares.set_peer_usage(at(0), [(BURSTING, usage)].into_iter().collect());
    shares.set_peer_usage(at(1), [(BURSTING, usage)].into_iter().collect());
    assert_eq!(
        shares.status(at(100), BURSTING, TOKEN_RATE),
        ShareStatus::BelowShare
    );
}

/// All accounts request far more than their share of the token rate, one of them most of it, and
/// the targets serve more than that rate because of their prefix caches.
#[test]
fn capacity_beyond_the_token_rate_is_divided_fairly_too() {
    let mut shares = FairShare::default();
    for (account, requested, served) in [(BURSTING, 9e6, 5e6), (SMALL, 5e6, 2e6)] {
        shares.record_request(at(0), account, requested);
        shares.record_sent(at(0), account, served);
    }
    let token_rate = 1e6;
    assert_eq!(
        shares.status(at(0), BURSTING, token_rate),
        ShareStatus::ReachedShare
    );
    assert_eq!(
        shares.status(at(0), SMALL, token_rate),
        ShareStatus::BelowShare
    );
}
