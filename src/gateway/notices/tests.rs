mod load;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{MAX_PAUSE, MAX_PLACES, Notice, NoticeBook, Notices, OLDER_ENTRY_TIME, RunTag};
use crate::gateway::targets::{Entry, TargetKey, Targets};
use crate::units::Micros;

const NOTED: Micros = Micros::from_secs(1);
const PAUSE: Notice = Notice::Pause(Duration::from_secs(10));

fn entry(started_at: u64) -> Entry {
    Entry {
        service: "desk".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        version: Some("v1".into()),
        started_at: Some(started_at),
        cold: None,
    }
}

fn key(targets: &Targets) -> TargetKey {
    targets.ids().next().expect("one is listed");
    let services = ["desk", "model"];
    let keys = services.iter().flat_map(|name| targets.of_service(name));
    *keys.last().expect("one is listed")
}

/// The run 5 of the target `t0` announces that it leaves and wants a pause of 10 s; then the list
/// changes. Says whether the target counts as leaving this many seconds after the notice, and how
/// many seconds of the pause are left. Guards against notices that an older or newer view of the list
/// undoes, and against notices that are taken over by what replaces the target.
macro_rules! list_changes {
    ($($name:ident: $change:expr, $after_s:expr => $leaving:expr, $pause_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut targets = Targets::default();
            targets.put("t0", entry(5));
            let id: Arc<str> = "t0".into();
            targets.record_notice(NOTED, &id, &entry(5), PAUSE);
            targets.record_notice(NOTED, &id, &entry(5), Notice::Leaving);
            let change: fn(&mut Targets) = $change;
            change(&mut targets);
            let now = NOTED + Micros::from_secs($after_s);
            let notices = targets.get(key(&targets)).expect("it is listed").notices;
            let pause: Option<u64> = $pause_s;
            assert_eq!(notices.is_leaving(now), $leaving);
            assert_eq!(notices.remaining_pause(now), pause.map(Micros::from_secs));
        }
    )*};
}

fn put(targets: &mut Targets, id: &str, entry: Entry) {
    targets.put(id, entry);
}

list_changes! {
    the_list_does_not_change: |_| {}, 4 => true, Some(6);
    the_pause_is_over: |_| {}, 10 => true, None;
    a_month_passes: |_| {}, 2_592_000 => true, None;
    the_list_calls_it_ready: |t| put(t, "t0", Entry { slots: 9, ..entry(5) }), 4 => true, Some(6);
    it_drains_and_is_ready_again: |t| {
        put(t, "t0", Entry { draining: true, ..entry(5) });
        put(t, "t0", entry(5));
    }, 4 => true, Some(6);
    it_is_removed_and_put_back: |t| {
        t.remove("t0");
        put(t, "t0", entry(5));
    }, 4 => true, Some(6);
    it_provides_another_service: |t| put(t, "t0", Entry { service: "model".into(), ..entry(5) }), 4 => true, Some(6);
    an_older_entry_comes: |t| put(t, "t0", entry(4)), 4 => true, Some(6);
    an_older_entry_without_start_time_comes: |t| put(t, "t0", Entry { started_at: None, ..entry(5) }), 4 => true, Some(6);
    an_earlier_start_time_stays: |t| put(t, "t0", entry(4)), OLDER_ENTRY_TIME.as_ms() / 1_000 => false, None;
    an_older_entry_comes_and_goes: |t| {
        put(t, "t0", entry(4));
        put(t, "t0", entry(5));
    }, 2_592_000 => true, None;
    it_restarts: |t| put(t, "t0", entry(6)), 0 => false, None;
    it_restarts_and_an_old_view_comes_and_goes: |t| {
        put(t, "t0", entry(6));
        put(t, "t0", entry(5));
        put(t, "t0", entry(6));
    }, 0 => false, None;
    the_view_before_its_restart_comes_back: |t| {
        put(t, "t0", entry(6));
        put(t, "t0", entry(5));
    }, 4 => true, Some(6);
    it_has_another_address: |t| put(t, "t0", Entry { addr: ([127, 0, 0, 2], 9).into(), ..entry(5) }), 0 => false, None;
    another_target_takes_its_address: |t| {
        t.remove("t0");
        put(t, "t1", entry(5));
    }, 0 => false, None;
}

/// Guards against notices that are lost because their target left the list before its answer came.
#[test]
fn a_notice_of_a_target_that_is_not_listed_counts_once_it_is_listed_again() {
    let mut targets = Targets::default();
    targets.record_notice(NOTED, &"t0".into(), &entry(5), Notice::Leaving);
    targets.put("t0", entry(5));
    assert!(
        targets
            .by_id("t0")
            .expect("it is listed")
            .notices
            .is_leaving(NOTED)
    );
}

/// The ends of pauses, in seconds after the first notice. Guards against a shorter pause that cuts
/// off a longer one which the target has not taken back, and against endless ones.
macro_rules! pauses {
    ($($name:ident: $pauses_s:expr => $left_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut book = NoticeBook::default();
            let id: Arc<str> = "t0".into();
            for pause in $pauses_s {
                book.record(NOTED, &id, &entry(5), Notice::Pause(Duration::from_secs(pause)));
            }
            let left = book.of(&id, &entry(5)).remaining_pause(NOTED);
            assert_eq!(left, Some(Micros::from_secs($left_s)));
        }
    )*};
}

pauses! {
    one_pause: [3] => 3;
    a_longer_pause_counts: [3, 8] => 8;
    a_shorter_pause_changes_nothing: [8, 3] => 8;
    a_pause_has_a_ceiling: [u64::MAX] => MAX_PAUSE.as_secs();
}

/// Guards against a log line for every answer of a target that repeats its notice.
#[test]
fn only_the_beginning_of_a_notice_is_reported_as_one() {
    let mut book = NoticeBook::default();
    let id: Arc<str> = "t0".into();
    let mut record = |at_s, notice| book.record(Micros::from_secs(at_s), &id, &entry(5), notice);
    assert!(record(1, Notice::Leaving));
    assert!(!record(2, Notice::Leaving));
    assert!(record(3, PAUSE));
    assert!(!record(12, PAUSE));
    assert!(record(22, PAUSE));
}

/// Guards against memory that grows with every target that ever left, and against room made for new
/// notices at the expense of the newest ones.
#[test]
fn the_book_is_bounded_and_keeps_the_newest_notices() {
    let mut book = NoticeBook::default();
    let id = |number: usize| Arc::from(format!("t{number}"));
    let count = MAX_PLACES + 10;
    for number in 0..count {
        let now = NOTED + Micros::from_ms(number as u64);
        book.record(now, &id(number), &entry(5), Notice::Leaving);
    }
    assert_eq!(book.places.len(), MAX_PLACES);
    assert_eq!(book.of(&id(9), &entry(5)), Notices::default());
    assert!(book.of(&id(10), &entry(5)).is_leaving_for_good());
    assert!(book.of(&id(count - 1), &entry(5)).is_leaving_for_good());
}

/// Guards against targets that a gateway takes for another run, or for another target, which has
/// left: such a mistake would last until they restart.
#[test]
fn only_the_same_run_of_a_target_has_its_tag() {
    let other_address = Entry {
        addr: ([127, 0, 0, 2], 9).into(),
        ..entry(5)
    };
    let no_start_time = Entry {
        started_at: None,
        ..entry(5)
    };
    let changed = Entry {
        slots: 9,
        draining: true,
        service: "model".into(),
        ..entry(5)
    };
    let tag = RunTag::of("t0", &entry(5));
    assert_eq!(tag, RunTag::of("t0", &changed));
    for other in [other_address, no_start_time, entry(6)] {
        assert_ne!(tag, RunTag::of("t0", &other));
    }
    assert_ne!(tag, RunTag::of("t1", &entry(5)));
}

/// A change that reaches a gateway.
#[derive(Clone, Copy, Debug)]
enum Step {
    Put(u64, bool),
    Remove,
    Leaves,
    Hears(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..4, any::<bool>())
            .prop_map(|(started_at, draining)| Step::Put(started_at, draining)),
        Just(Step::Remove),
        Just(Step::Leaves),
        (1_u64..4).prop_map(Step::Hears),
    ]
}

proptest! {
    /// Guards against orders of list changes, answers and messages of other gateways, in any number,
    /// that bring back a run which is known to be leaving, or take away one that is not.
    #[test]
    fn a_run_that_is_leaving_never_comes_back(steps in prop::collection::vec(step(), 1..40)) {
        let mut targets = Targets::default();
        let id: Arc<str> = "t0".into();
        // The runs known to be leaving.
        let mut leaving: BTreeSet<u64> = BTreeSet::new();
        let mut listed = None;
        for (index, step) in steps.into_iter().enumerate() {
            let now = NOTED + Micros::from_ms(index as u64);
            let known = match step {
                Step::Put(run, draining) => {
                    targets.put("t0", Entry { draining, ..entry(run) });
                    listed = Some(run);
                    None
                }
                Step::Remove => {
                    targets.remove("t0");
                    listed = None;
                    None
                }
                Step::Leaves => {
                    if let Some(run) = listed {
                        targets.record_notice(now, &id, &entry(run), Notice::Leaving);
                    }
                    listed
                }
                Step::Hears(run) => {
                    let tag = RunTag::of("t0", &entry(run));
                    let learned = targets.merge_leaving(now, [tag].into_iter());
                    let is_new = listed == Some(run) && !leaving.contains(&run);
                    prop_assert_eq!(learned.len(), usize::from(is_new));
                    is_new.then_some(run)
                }
            };
            leaving.extend(known);
            let Some(run) = listed else { continue };
            let target = targets.by_id("t0").expect("it is listed");
            let expected = leaving.iter().any(|&other| other >= run);
            prop_assert_eq!(target.notices.is_leaving(now), expected);
            let told: Vec<RunTag> = targets.leaving_runs().collect();
            prop_assert_eq!(told.len(), usize::from(leaving.contains(&run)));
        }
    }
}
