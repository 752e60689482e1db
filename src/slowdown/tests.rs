use super::SlowdownTracker;
use crate::ids::AgentKey;
use crate::units::Micros;

const SLOWED: AgentKey = AgentKey(0);
const EXPECTED: Micros = Micros::from_ms(100);

/// Whether an agent counts as slowed `after` its outcomes at `stretch` times the expected time,
/// beside nine peers at `peers` times.
fn slowed(stretch: u64, peers: u64, after: Micros) -> bool {
    let mut pace = SlowdownTracker::new();
    let mut now = Micros::ZERO;
    for _ in 0..60 {
        now += Micros::from_ms(10);
        for peer in 1..10 {
            pace.record(now, AgentKey(peer), EXPECTED, Micros(EXPECTED.0 * peers));
        }
        pace.record(now, SLOWED, EXPECTED, Micros(EXPECTED.0 * stretch));
    }
    pace.slow(now + after, SLOWED)
}

macro_rules! paces {
    ($($name:ident: $stretch:literal, $peers:literal, $after:literal => $slow:literal;)*) => {
        $(#[test] fn $name() { assert_eq!(slowed($stretch, $peers, Micros::from_ms($after)), $slow); })*
    };
}

paces! {
    ten_times_slower: 10, 1, 0 => true;
    like_its_peers: 1, 1, 0 => false;
    all_slower_than_expected: 3, 3, 0 => false;
    tried_again_after_a_while: 10, 1, 2_000 => false;
}

#[test]
fn a_running_request_gives_it_away() {
    let mut pace = SlowdownTracker::new();
    for _ in 0..4 {
        pace.running(Micros::ZERO, SLOWED, EXPECTED, Micros::from_secs(1));
    }
    assert!(pace.slow(Micros::ZERO, SLOWED));
}
