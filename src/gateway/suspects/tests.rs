use super::{MAX_BROKEN, Suspects};
use crate::claim::Digest;
use crate::gateway::targets::{Entry, TargetKey, Targets};
use crate::units::Micros;

const CULPRIT: Digest = Digest([1; 16]);
const BYSTANDER: Digest = Digest([2; 16]);

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

/// A culprit and a bystander meet crashes, each at another target, a second apart.
fn crashed(suspects: &mut Suspects, times: u16) {
    for (index, target) in (0..).zip(targets(times)) {
        let now = at(index * 1_000);
        suspects.broke(now, target, CULPRIT);
        suspects.broke(now, target, BYSTANDER);
        let mut id = index * 10;
        suspects.unreached(now + at(20), target, || {
            id += 1;
            id
        });
    }
}

macro_rules! crashes {
    ($($name:ident: $times:expr => $held:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut suspects = Suspects::default();
            crashed(&mut suspects, $times);
            let now = at($times * 1_000);
            assert_eq!(suspects.held(now, CULPRIT).is_some(), $held);
        }
    )*};
}

crashes! {
    one_crash_holds_nothing_back: 1 => false;
    two_do_not: 2 => false;
    three_do: 3 => true;
}

#[test]
fn a_request_that_is_answered_is_cleared_and_what_others_tell_does_not_change_it() {
    let mut suspects = Suspects::default();
    crashed(&mut suspects, 3);
    let told = suspects.sightings(at(3_000));
    suspects.answered(at(3_000), BYSTANDER);
    suspects.told(at(3_100), &told);
    assert_eq!(suspects.held(at(3_200), BYSTANDER), None);
    assert!(suspects.held(at(3_200), CULPRIT).is_some());
}

#[test]
fn gateways_that_saw_one_crash_each_know_all_three_together() {
    let mut gateways = [
        Suspects::default(),
        Suspects::default(),
        Suspects::default(),
    ];
    for ((index, target), gateway) in (0..).zip(targets(3)).zip(&mut gateways) {
        gateway.broke(at(0), target, CULPRIT);
        gateway.unreached(at(10), target, || index);
        assert_eq!(gateway.held(at(20), CULPRIT), None);
    }
    let [one, two, three] = &mut gateways;
    for _ in 0..3 {
        one.told(at(100), &two.sightings(at(100)));
        one.told(at(100), &three.sightings(at(100)));
    }
    assert!(one.held(at(200), CULPRIT).is_some());
}

macro_rules! no_crashes {
    ($($name:ident: $broke_ms:expr, $unreached_ms:expr, $elsewhere:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut suspects = Suspects::default();
            let targets = targets(4);
            for index in 0..3 {
                suspects.broke(at($broke_ms), targets[index], CULPRIT);
            }
            for index in 0..3 {
                let target = targets[if $elsewhere { 3 } else { index }];
                suspects.unreached(at($unreached_ms), target, || index as u64);
            }
            assert_eq!(suspects.held(at($unreached_ms), CULPRIT), None);
        }
    )*};
}

no_crashes! {
    a_target_that_is_lost_much_later_did_not_crash: 0, 2_500, false;
    another_target_that_is_lost_tells_nothing: 0, 20, true;
}

#[test]
fn what_broke_off_is_remembered_within_a_bound() {
    let mut suspects = Suspects::default();
    let target = targets(1)[0];
    for index in 0..4 * MAX_BROKEN as u64 {
        suspects.broke(at(0), target, Digest::of(&[&index.to_be_bytes()]));
    }
    assert_eq!(suspects.broken.len(), MAX_BROKEN);
}
