use super::{BrokenRequest, CrashTracker, MAX_BROKEN};
use crate::claim::Digest;
use crate::gateway::prompts::PartIds;
use crate::gateway::targets::{Entry, TargetKey, Targets};
use crate::units::Micros;

const CULPRIT: Digest = Digest([1; 16]);
const BYSTANDER: Digest = Digest([2; 16]);

/// A request that had not begun to be answered.
fn broken(digest: Digest) -> BrokenRequest {
    BrokenRequest {
        digest,
        parts: PartIds::new(),
        sent: Micros::ZERO,
        began: false,
    }
}

fn at(ms: u64) -> Micros {
    Micros::from_ms(ms)
}

fn targets(count: u16) -> Vec<TargetKey> {
    let mut targets = Targets::default();
    for port in 0..count {
        let entry = Entry {
            service: "model".into(),
            addr: ([127, 0, 0, 1], 1_000 + port).into(),
            zone: "a".into(),
            slots: 4,
            draining: false,
            started_at: None,
        };
        targets.put(&port.to_string(), entry);
    }
    targets.of_service("model").to_vec()
}

/// Crashes `times` targets, one second apart, each with the culprit and a bystander in flight.
fn crashed(tracker: &mut CrashTracker, times: u16) {
    for (index, target) in (0..).zip(targets(times)) {
        let now = at(index * 1_000);
        tracker.record_broken(now, target, broken(CULPRIT));
        tracker.record_broken(now, target, broken(BYSTANDER));
        let mut id = index * 10;
        tracker.record_unreachable(now + at(20), target, || {
            id += 1;
            id
        });
    }
}

macro_rules! crashes {
    ($($name:ident: $times:expr => $quarantined:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut tracker = CrashTracker::default();
            crashed(&mut tracker, $times);
            let now = at($times * 1_000);
            assert_eq!(tracker.remaining_quarantine(now, CULPRIT).is_some(), $quarantined);
        }
    )*};
}

crashes! {
    one_crash_does_not_quarantine: 1 => false;
    two_crashes_do_not_quarantine: 2 => false;
    three_crashes_quarantine: 3 => true;
}

#[test]
fn an_answered_request_stays_cleared_despite_events_from_peers() {
    let mut tracker = CrashTracker::default();
    crashed(&mut tracker, 3);
    let events = tracker.events(at(3_000));
    tracker.clear(at(3_000), BYSTANDER);
    tracker.merge(at(3_100), &events);
    assert_eq!(tracker.remaining_quarantine(at(3_200), BYSTANDER), None);
    assert!(tracker.remaining_quarantine(at(3_200), CULPRIT).is_some());
}

#[test]
fn crashes_seen_by_different_gateways_add_up() {
    let mut gateways = [
        CrashTracker::default(),
        CrashTracker::default(),
        CrashTracker::default(),
    ];
    for ((index, target), gateway) in (0..).zip(targets(3)).zip(&mut gateways) {
        gateway.record_broken(at(0), target, broken(CULPRIT));
        gateway.record_unreachable(at(10), target, || index);
        assert_eq!(gateway.remaining_quarantine(at(20), CULPRIT), None);
    }
    let [one, two, three] = &mut gateways;
    for _ in 0..3 {
        one.merge(at(100), &two.events(at(100)));
        one.merge(at(100), &three.events(at(100)));
    }
    assert!(one.remaining_quarantine(at(200), CULPRIT).is_some());
}

macro_rules! no_crashes {
    ($($name:ident: $broke_ms:expr, $unreached_ms:expr, $elsewhere:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut tracker = CrashTracker::default();
            let targets = targets(4);
            for index in 0..3 {
                tracker.record_broken(at($broke_ms), targets[index], broken(CULPRIT));
            }
            for index in 0..3 {
                let target = targets[if $elsewhere { 3 } else { index }];
                tracker.record_unreachable(at($unreached_ms), target, || index as u64);
            }
            assert_eq!(tracker.remaining_quarantine(at($unreached_ms), CULPRIT), None);
        }
    )*};
}

no_crashes! {
    a_target_that_becomes_unreachable_much_later_is_no_crash: 0, 2_500, false;
    another_unreachable_target_is_no_crash: 0, 20, true;
}

#[test]
fn the_number_of_broken_connections_is_bounded() {
    let mut tracker = CrashTracker::default();
    let target = targets(1)[0];
    for index in 0..4 * MAX_BROKEN as u64 {
        tracker.record_broken(at(0), target, broken(Digest::of(&[&index.to_be_bytes()])));
    }
    assert_eq!(tracker.broken.len(), MAX_BROKEN);
}
