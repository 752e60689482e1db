mod fleet;

use super::availability::{Availability, Confirmed};
use super::{Effect, EntryState, ListView, MAX_REMOVALS, OUTAGE_GRACE, Origin, REMOVAL_TTL};
use crate::gateway::position::{Era, Position};
use crate::units::Micros;

const NONE: [Confirmed; 0] = [];

fn at(ms: u64) -> Micros {
    Micros::from_ms(100_000 + ms)
}

/// A position before the first restore.
fn pos(offset: u64) -> Position {
    Position::new(Era(0), offset)
}

fn confirmed(since: u64, last: u64) -> Confirmed {
    Confirmed {
        since: at(since),
        last: at(last),
    }
}

/// A view that is complete up to offset 10, with the entry `one` from offset 4, confirmed at 0.
fn view() -> ListView {
    let mut view = ListView::default();
    view.confirm(at(0));
    view.list("one", pos(4), Origin::Platform);
    view.complete(pos(10));
    view
}

/// A view as [`view`] after an outage from 0 to 5,000.
fn view_after_outage() -> ListView {
    let mut view = view();
    assert!(view.confirm(at(5_000)).is_some());
    view
}

/// Guards against taking the cut of one gateway for an outage of the platform, and the reverse: the
/// outage that remains after one from 0 to 5,000 when other gateways report these spans at a time.
macro_rules! outages {
    ($($name:ident: $now:expr, [$($span:expr),*] => $end:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut availability = Availability::default();
            availability.confirm(at(0));
            availability.confirm(at(5_000));
            availability.compare(at($now), [$($span),*].into_iter());
            let end: Option<u64> = $end;
            assert_eq!(availability.outage().map(|outage| outage.end), end.map(at));
        }
    )*};
}

outages! {
    without_reports_it_counts: 6_000, [] => Some(5_000);
    one_that_nobody_else_saw_is_none: 5_300, [confirmed(0, 5_200)] => None;
    one_that_all_saw_counts: 5_300, [confirmed(5_050, 5_200)] => Some(5_000);
    one_that_ended_earlier_for_others_ended_then: 5_300, [confirmed(2_000, 5_200)] => Some(2_000);
    the_earliest_other_counts: 5_300, [confirmed(5_050, 5_200), confirmed(0, 5_200)] => None;
    a_report_from_before_says_nothing: 5_300, [confirmed(0, 900)] => Some(5_000);
    a_report_right_after_may_be_from_before: 5_100, [confirmed(0, 5_000)] => Some(5_000);
    one_too_short_for_an_entry_to_lapse_is_none: 5_300, [confirmed(800, 5_200)] => None;
}

/// Guards against an outage where the reader of a zone only changed, or none where it was real.
macro_rules! gaps {
    ($($name:ident: $ms:expr => $outage:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut availability = Availability::default();
            availability.confirm(at(0));
            assert_eq!(availability.confirm(at($ms)).is_some(), $outage);
        }
    )*};
}

gaps! {
    the_next_read_is_no_outage: 400 => false;
    another_reader_after_1300_ms_is_no_outage: 1_300 => false;
    no_read_for_two_seconds_is_an_outage: 2_000 => true;
}

/// Guards against an older view that undoes a newer one: what merges into a view that is complete up
/// to 10, with the entry from offset 4.
macro_rules! copies {
    ($($name:ident: $merge:expr => $effect:expr;)*) => {$(
        #[test]
        fn $name() {
            let merge: fn(&mut ListView) -> Effect = $merge;
            assert_eq!(merge(&mut view()), $effect);
        }
    )*};
}

copies! {
    an_unknown_entry_from_before_is_gone: |v| v.list("two", pos(9), Origin::Copy) => Effect::Ignore;
    an_unknown_entry_from_after_is_new: |v| v.list("two", pos(10), Origin::Copy) => Effect::Put;
    the_same_entry_is_known: |v| v.list("one", pos(4), Origin::Copy) => Effect::Ignore;
    a_newer_entry_replaces_it: |v| v.list("one", pos(12), Origin::Copy) => Effect::Put;
    an_older_record_does_not: |v| v.list("one", pos(3), Origin::Platform) => Effect::Ignore;
    an_older_removal_does_not: |v| v.copy_removal(at(1), "one", pos(3)) => Effect::Ignore;
    a_removal_that_the_view_holds_does_not: |v| v.copy_removal(at(1), "one", pos(9)) => Effect::Ignore;
    without_an_outage_a_removal_applies_at_once: |v| v.remove(at(1), "one", pos(11)) => Effect::Remove;
    a_newer_removal_does: |v| v.copy_removal(at(1), "one", pos(10)) => Effect::Remove;
    a_newer_list_without_it_does: |v| v.remove_unlisted(at(1), "one", pos(11)) => Effect::Remove;
    an_older_list_without_it_does_not: |v| v.remove_unlisted(at(1), "one", pos(4)) => Effect::Ignore;
    an_entry_that_only_another_gateway_keeps_is_gone:
        |v| v.keep(at(1), "one", pos(11), OUTAGE_GRACE) => Effect::Remove;
    an_entry_that_another_gateway_keeps_is_kept_when_this_one_is_cut_off_too:
        |v| v.keep(at(9_000), "one", pos(11), OUTAGE_GRACE) => Effect::Put;
    an_entry_that_was_missing_before_is_gone:
        |v| v.keep(at(1), "two", pos(9), OUTAGE_GRACE) => Effect::Ignore;
    the_removal_of_an_unknown_entry_is_nothing: |v| v.remove(at(1), "two", pos(12)) => Effect::Ignore;
}

/// Whether an entry that goes missing this long after an outage is kept.
macro_rules! removals {
    ($($name:ident: $after:expr => $effect:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut view = view_after_outage();
            assert_eq!(view.remove(at(5_000 + $after), "one", pos(11)), $effect);
        }
    )*};
}

removals! {
    right_after_an_outage_it_is_kept: 0 => Effect::Keep;
    a_second_after_an_outage_it_is_kept: 1_000 => Effect::Keep;
    long_after_an_outage_it_is_not: 3_000 => Effect::Remove;
}

/// Guards against the known fault: a gateway that copied the list of a reader which was back from a
/// cut took removed targets back.
#[test]
fn a_copy_does_not_bring_a_removed_target_back() {
    let (mut reader, mut neighbour) = (view_after_outage(), view());
    assert_eq!(neighbour.remove(at(2_000), "one", pos(11)), Effect::Remove);
    neighbour.complete(pos(12));
    assert_eq!(reader.remove(at(5_000), "one", pos(11)), Effect::Keep);
    reader.complete(pos(14));
    let fact = reader.fact("one").expect("it is kept");
    let kept = neighbour.keep(at(5_100), "one", fact.position, OUTAGE_GRACE);
    assert_eq!(kept, Effect::Ignore);
    assert_eq!(neighbour.list("one", pos(4), Origin::Copy), Effect::Ignore);
    assert_eq!(
        reader.copy_removal(at(5_200), "one", pos(11)),
        Effect::Remove
    );
}

#[test]
fn after_a_cut_of_this_gateway_alone_missing_entries_go_with_the_first_reports() {
    let mut view = view_after_outage();
    assert_eq!(view.remove(at(5_000), "one", pos(11)), Effect::Keep);
    let others = || [confirmed(0, 5_200)].into_iter();
    assert!(view.expire_missing(at(5_100), others()).is_empty());
    assert_eq!(view.expire_missing(at(5_300), others()), ["one".into()]);
    view.list("two", pos(12), Origin::Platform);
    assert_eq!(view.remove(at(5_400), "two", pos(13)), Effect::Remove);
}

#[test]
fn after_an_outage_a_missing_entry_is_kept_for_the_grace_period() {
    let mut view = view_after_outage();
    assert_eq!(view.remove(at(5_000), "one", pos(11)), Effect::Keep);
    view.confirm(at(6_000));
    view.confirm(at(6_900));
    assert!(view.expire_missing(at(6_990), NONE.into_iter()).is_empty());
    view.confirm(at(7_000));
    assert_eq!(
        view.expire_missing(at(7_000), NONE.into_iter()),
        ["one".into()]
    );
    assert_eq!(view.list("one", pos(4), Origin::Copy), Effect::Ignore);
}

/// Guards against dropping a target that is missing because the platform is away again.
#[test]
fn a_missing_entry_is_kept_while_the_list_is_not_confirmed() {
    let mut view = view_after_outage();
    view.remove(at(5_000), "one", pos(11));
    assert!(view.expire_missing(at(60_000), NONE.into_iter()).is_empty());
}

#[test]
fn an_entry_that_is_back_is_kept() {
    let mut view = view_after_outage();
    view.remove(at(5_000), "one", pos(11));
    assert_eq!(view.list("one", pos(15), Origin::Platform), Effect::Put);
    view.confirm(at(9_000));
    assert!(view.expire_missing(at(9_000), NONE.into_iter()).is_empty());
    let state = view.fact("one").map(|fact| fact.state);
    assert_eq!(state, Some(EntryState::Listed));
}

#[test]
fn removals_are_remembered_for_a_bounded_time_and_in_bounded_number() {
    let mut view = view();
    let count = MAX_REMOVALS as u64 + 9;
    for offset in 0..count {
        let id = offset.to_string();
        view.list(&id, pos(offset), Origin::Platform);
        view.drop_now(at(0), &id, pos(count + offset));
    }
    view.expire_missing(at(1), NONE.into_iter());
    assert_eq!(view.removals().count(), MAX_REMOVALS);
    assert!(view.fact("0").is_none());
    view.expire_missing(at(1) + REMOVAL_TTL, NONE.into_iter());
    assert_eq!(view.removals().count(), 0);
    assert!(view.fact("one").is_some());
}

const ERA: Era = Era(1);

fn restored(offset: u64) -> Position {
    Position::new(ERA, offset)
}

/// A view as [`view`] that learned at 1,000 of a restored list, which ends at 6.
fn view_after_restore() -> ListView {
    let mut view = view();
    assert!(view.enter_era(at(1_000), ERA, 6));
    view
}

/// What merges into a view after a restore, with the entry from offset 4 of the era before.
macro_rules! restores {
    ($($name:ident: $merge:expr => $effect:expr;)*) => {$(
        #[test]
        fn $name() {
            let merge: fn(&mut ListView) -> Effect = $merge;
            assert_eq!(merge(&mut view_after_restore()), $effect);
        }
    )*};
}

restores! {
    a_record_of_the_new_era_wins_at_a_lower_offset: |v| v.list("one", restored(1), Origin::Copy) => Effect::Put;
    a_new_entry_at_a_lower_offset_is_new: |v| v.list("two", restored(1), Origin::Platform) => Effect::Put;
    a_record_of_the_era_before_does_not_count: |v| v.list("two", pos(50), Origin::Copy) => Effect::Ignore;
    an_entry_that_the_restored_list_lacks_is_kept:
        |v| v.remove_unlisted(at(1_100), "one", restored(6)) => Effect::Keep;
    an_entry_that_an_empty_list_lacks_is_kept:
        |v| v.remove_unlisted(at(1_100), "one", restored(0)) => Effect::Keep;
    an_entry_that_goes_missing_long_after_a_restore_is_gone:
        |v| v.remove(at(3_100), "one", restored(9)) => Effect::Remove;
}

#[test]
fn a_view_does_not_go_back_to_an_earlier_era() {
    let mut view = view_after_restore();
    assert!(!view.enter_era(at(1_100), Era(0), 0));
    assert!(view.enter_era(at(1_100), ERA, 6));
}

/// Whether a record of an entry that was removed before the restore is unproven.
#[test]
fn records_that_may_be_from_the_copy_prove_nothing() {
    let mut view = view();
    view.drop_now(at(0), "one", pos(9));
    view.enter_era(at(1_000), ERA, 6);
    assert!(view.is_unproven("one", restored(5)));
    assert!(!view.is_unproven("one", restored(6)));
    assert!(!view.is_unproven("two", restored(5)));
    // Another gateway read the list earlier.
    view.enter_era(at(1_000), ERA, 3);
    assert!(!view.is_unproven("one", restored(5)));
}

#[test]
fn the_list_is_read_anew_once_its_records_count() {
    let mut view = view_after_restore();
    view.record_whole(at(1_100));
    assert!(!view.must_read_anew(at(5_900)));
    assert!(view.must_read_anew(at(6_000)));
    view.record_whole(at(6_000));
    assert!(!view.must_read_anew(at(6_000)));
    assert_eq!(view.proven_from(), 0);
}

/// Guards against keeping gone targets in a process that starts when there have been restores before.
#[test]
fn a_view_that_starts_in_a_later_era_keeps_nothing() {
    let mut view = ListView::default();
    view.enter_era(at(0), ERA, 6);
    view.confirm(at(0));
    view.list("one", restored(4), Origin::Platform);
    view.complete(restored(6));
    assert_eq!(view.remove(at(100), "one", restored(7)), Effect::Remove);
}
