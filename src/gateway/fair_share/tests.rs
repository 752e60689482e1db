use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{AccountTag, FairShare, ShareStatus, Usage, UsageMap, level};
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
/// Random number with which a request is below its account's share if the account is.
const ALWAYS: f64 = 0.0;

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
        shares.status(at(2_000), BURSTING, TOKEN_RATE, ALWAYS),
        ShareStatus::ReachedShare
    );
    assert_eq!(
        shares.status(at(2_000), SMALL, TOKEN_RATE, ALWAYS),
        ShareStatus::BelowShare
    );
}

#[test]
fn a_burst_no_longer_counts_after_the_window() {
    let mut shares = FairShare::default();
    burst(&mut shares);
    assert_eq!(
        shares.status(at(6_000), BURSTING, TOKEN_RATE, ALWAYS),
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
        shares.status(at(100), BURSTING, TOKEN_RATE, ALWAYS),
        ShareStatus::ReachedShare
    );
    assert_eq!(
        shares.status(at(2_000), BURSTING, TOKEN_RATE, ALWAYS),
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
        shares.status(at(100), BURSTING, TOKEN_RATE, ALWAYS),
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
        shares.status(at(0), BURSTING, token_rate, ALWAYS),
        ShareStatus::ReachedShare
    );
    assert_eq!(
        shares.status(at(0), SMALL, token_rate, ALWAYS),
        ShareStatus::BelowShare
    );
}

/// Gateways that hear of each other's usage late, while targets are busy all the time.
struct Fleet {
    random: StdRng,
    gateways: Vec<FairShare>,
    /// Usage at each gateway, as reported at each step.
    reports: Vec<Vec<UsageMap>>,
}

/// Number of gateways.
const GATEWAYS: usize = 25;
/// Time between two steps, each with a report, in milliseconds.
const STEP_MS: u64 = 100;
/// Number of steps after which a report is heard.
const DELAY: usize = 3;
/// Tokens of a request.
const REQUEST: f64 = 1_000.0;

impl Fleet {
    fn new(seed: u64) -> Fleet {
        Fleet {
            random: StdRng::seed_from_u64(seed),
            gateways: (0..GATEWAYS).map(|_| FairShare::default()).collect(),
            reports: Vec::new(),
        }
    }

    /// Plays a step with this many requests of each account; returns the tokens served of each.
    fn step(&mut self, requests: [usize; 2]) -> [f64; 2] {
        let now = at(self.reports.len() as u64 * STEP_MS);
        self.tell(now);
        let mut served = [0.0; 2];
        for (index, account) in [BURSTING, SMALL].into_iter().enumerate() {
            for _ in 0..requests[index] {
                let gateway = self.random.random_range(0..GATEWAYS);
                let shares = &mut self.gateways[gateway];
                shares.record_request(now, account, REQUEST);
                let status = shares.status(now, account, 100.0 * REQUEST, self.random.random());
                if status == ShareStatus::BelowShare {
                    shares.record_sent(now, account, REQUEST);
                    served[index] += REQUEST;
                }
            }
        }
        let usage = self.gateways.iter_mut();
        let usage = usage.map(|shares| shares.local_usage(now).collect());
        self.reports.push(usage.collect());
        served
    }

    /// Tells each gateway what the others had reported some steps ago.
    fn tell(&mut self, now: Micros) {
        let Some(heard) = self.reports.len().checked_sub(DELAY) else {
            return;
        };
        for index in 0..GATEWAYS {
            let mut others = UsageMap::default();
            for (other, usage) in self.reports[heard].iter().enumerate() {
                for (&account, usage) in usage.iter().filter(|_| other != index) {
                    let sum = others.entry(account).or_default();
                    sum.requested += usage.requested;
                    sum.served += usage.served;
                }
            }
            self.gateways[index].set_peer_usage(now, others);
        }
    }
}

/// Two accounts ask for 400 and 80 requests a second where 100 can be served: 50 are due to each.
#[test]
fn an_account_that_asks_for_many_times_its_share_is_not_admitted_in_floods() {
    const SHARE: f64 = 50.0 * REQUEST;
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        let served: Vec<[f64; 2]> = (0..120).map(|_| fleet.step([40, 8])).collect();
        let settled = &served[60..];
        for half_second in settled.chunks(5) {
            let flood: f64 = half_second.iter().map(|[bursting, _]| bursting).sum();
            assert!(flood <= SHARE, "seed {seed}: {flood} in half a second");
        }
        let total = |account: usize| settled.iter().map(|s| s[account]).sum::<f64>();
        let (bursting, small) = (total(0), total(1));
        assert!(
            small >= bursting / 2.0,
            "seed {seed}: {small} and {bursting}"
        );
    }
}
