use super::{BrokenRequest, CrashTracker, MAX_BROKEN};
use crate::claim::Digest;
use crate::gateway::prompts::PartIds;
use crate::gateway::targets::{Entry, TargetKey, Targets};
use crate::units::Micros;

/// A request of this number whose connection broke off at this time.
fn broken(number: u64, now: Micros) -> BrokenRequest {
    BrokenRequest {
        digest: Digest::of(&[&number.to_be_bytes()]),
        parts: PartIds::new(),
        sent: Micros::ZERO,
        broken: now,
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
            version: Some("v1".into()),
            started_at: None,
            cold: None,
        };
        targets.put(&port.to_string(), entry);
    }
    targets.of_service("model").to_vec()
}

/// How many of the requests that broke off at one time, one at each of three targets, count as
/// crashed when targets turn out to be unreachable at another time.
macro_rules! crashes {
    ($($name:ident: $broke_ms:expr, $unreached_ms:expr, $elsewhere:expr => $crashed:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut tracker = CrashTracker::default();
            let targets = targets(4);
            for (number, &target) in (0..).zip(&targets[..3]) {
                tracker.record_broken(at($broke_ms), target, broken(number, at($broke_ms)));
            }
            let unreachable = if $elsewhere { &targets[3..] } else { &targets[..3] };
            let crashed = unreachable
                .iter()
                .flat_map(|&target| tracker.record_unreachable(at($unreached_ms), target));
            assert_eq!(crashed.count(), $crashed);
        }
    )*};
}

crashes! {
    a_target_that_is_unreachable_at_once_has_crashed: 0, 20, false => 3;
    a_target_that_becomes_unreachable_much_later_is_no_crash: 0, 2_500, false => 0;
    another_unreachable_target_is_no_crash: 0, 20, true => 0;
}

#[test]
fn a_crash_counts_once() {
    let mut tracker = CrashTracker::default();
    let target = targets(1)[0];
    tracker.record_broken(at(0), target, broken(1, at(0)));
    assert_eq!(tracker.record_unreachable(at(20), target).len(), 1);
    assert_eq!(tracker.record_unreachable(at(30), target).len(), 0);
}

#[test]
fn the_number_of_broken_connections_is_bounded() {
    let mut tracker = CrashTracker::default();
    let target = targets(1)[0];
    for number in 0..4 * MAX_BROKEN as u64 {
        tracker.record_broken(at(0), target, broken(number, at(0)));
    }
    assert_eq!(tracker.broken.len(), MAX_BROKEN);
}

/// Guards against the loss of a culprit among the requests of many targets that fail together.
#[test]
fn all_requests_of_many_targets_that_fail_at_once_are_known() {
    let mut tracker = CrashTracker::default();
    let targets = targets(36);
    for (number, &target) in (0..36 * 96).zip(targets.iter().cycle()) {
        tracker.record_broken(at(0), target, broken(number, at(0)));
    }
    let crashed = targets
        .iter()
        .flat_map(|&target| tracker.record_unreachable(at(20), target));
    assert_eq!(crashed.count(), 36 * 96);
}
