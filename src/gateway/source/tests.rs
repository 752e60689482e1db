use std::net::SocketAddr;

use super::{PeerCopy, Source, SourceContext, choose, fallback};
use crate::units::Micros;

const NOW: Micros = Micros::from_secs(100);

fn addr(host: u8) -> SocketAddr {
    ([127, 0, 0, host], 7_400).into()
}

/// Time this many milliseconds before now.
fn ago(ms: u64) -> Micros {
    NOW.saturating_sub(Micros::from_ms(ms))
}

/// The copy of a gateway; aggregators are ranked by their numbers.
fn copy(host: u8, age: Option<u64>, aggregates: bool) -> PeerCopy {
    PeerCopy {
        addr: addr(host),
        confirmed_at: age.map(ago),
        rank: aggregates.then_some(host.into()),
        exists: true,
    }
}

/// The source of the gateway of this rank, whose copy has this age in milliseconds.
macro_rules! sources {
    ($($name:ident: $rank:expr, $age:expr, [$($copy:expr),*] => $source:expr;)*) => {$(
        #[test]
        fn $name() {
            let context = SourceContext {
                rank: $rank,
                confirmed_at: ago($age),
                read_wait: Micros::ZERO,
                spread: 0.5,
            };
            let copies: Vec<PeerCopy> = vec![$($copy),*];
            assert_eq!(choose(NOW, &context, copies.into_iter()), $source);
        }
    )*};
}

sources! {
    the_first_of_a_zone_reads: 0, 0, [copy(2, Some(0), true)] => Source::Platform;
    the_standby_follows: 1, 300, [copy(1, Some(100), true)] => Source::Peer(addr(1));
    a_member_stays_with_the_first_though_the_second_is_newer: 5, 300, [copy(2, Some(90), true), copy(1, Some(200), true)] => Source::Peer(addr(1));
    a_member_waits_for_the_first_though_the_second_is_newer: 5, 200, [copy(2, Some(90), true), copy(1, Some(200), true)] => Source::Wait;
    a_member_turns_to_the_second_when_the_first_is_stale: 5, 900, [copy(1, Some(800), true), copy(2, Some(90), true)] => Source::Peer(addr(2));
    an_older_copy_is_not_taken: 5, 100, [copy(1, Some(200), true)] => Source::Wait;
    only_aggregators_are_followed: 5, 300, [copy(9, Some(0), false)] => Source::Wait;
    a_gateway_cut_off_is_not_followed: 5, 300, [copy(1, None, true)] => Source::Wait;
    the_standby_reads_when_nobody_confirms: 1, 700, [copy(1, None, true)] => Source::Platform;
    a_member_leaves_that_to_the_standby: 2, 700, [copy(1, None, true)] => Source::Wait;
    a_member_reads_when_both_fail: 2, 1_300, [copy(1, None, true), copy(2, None, true)] => Source::Platform;
}

#[test]
fn members_that_lose_both_aggregators_do_not_read_at_once() {
    let reads = |spread: f64| {
        let context = SourceContext {
            rank: 7,
            confirmed_at: ago(1_150),
            read_wait: Micros::ZERO,
            spread,
        };
        choose(NOW, &context, [].into_iter()) == Source::Platform
    };
    assert!(reads(0.1));
    assert!(!reads(0.9));
}

#[test]
fn a_cut_off_gateway_falls_back_to_the_newest_copy_of_any_gateway() {
    let copies = || {
        [
            copy(3, Some(400), false),
            copy(4, Some(20), false),
            copy(1, None, true),
        ]
        .into_iter()
    };
    assert_eq!(fallback(NOW, false, copies()), Some(addr(4)));
    let old = || [copy(3, Some(9_000), true), copy(1, None, true)].into_iter();
    assert_eq!(fallback(NOW, false, old()), None);
    assert_eq!(fallback(NOW, true, old()), Some(addr(3)));
}
