use super::SlowdownTracker;
use crate::ids::AgentKey;
use crate::units::Micros;

const SLOW_AGENT: AgentKey = AgentKey(0);
const EXPECTED: Micros = Micros::from_ms(100);

/// Whether an agent counts as slow `after` its outcomes at `slowdown` times the expected time, with
/// nine peers at `peers` times the expected time.
fn is_slow(slowdown: u64, peers: u64, after: Micros) -> bool {
    let mut tracker = SlowdownTracker::new();
    let mut now = Micros::ZERO;
    for _ in 0..60 {
        now += Micros::from_ms(10);
        for peer in 1..10 {
            tracker.record(now, AgentKey(peer), EXPECTED, Micros(EXPECTED.0 * peers));
        }
        tracker.record(now, SLOW_AGENT, EXPECTED, Micros(EXPECTED.0 * slowdown));
    }
    tracker.is_slow(now + after, SLOW_AGENT)
}

macro_rules! cases {
    ($($name:ident: $slowdown:literal, $peers:literal, $after:literal => $slow:literal;)*) => {
        $(#[test] fn $name() { assert_eq!(is_slow($slowdown, $peers, Micros::from_ms($after)), $slow); })*
    };
}

cases! {
    ten_times_slower: 10, 1, 0 => true;
    as_fast_as_its_peers: 1, 1, 0 => false;
    all_slower_than_expected: 3, 3, 0 => false;
    retried_after_the_interval: 10, 1, 2_000 => false;
}

#[test]
fn a_running_request_reveals_a_slow_target() {
    let mut tracker = SlowdownTracker::new();
    for _ in 0..4 {
        tracker.record_progress(Micros::ZERO, SLOW_AGENT, EXPECTED, Micros::from_secs(1));
    }
    assert!(tracker.is_slow(Micros::ZERO, SLOW_AGENT));
}
