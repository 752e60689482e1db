use proptest::prelude::*;

use super::{CARRY_TIME, Evacuations, MAX_ZONES};
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::position::{Era, Position};
use crate::units::Micros;

fn pos(offset: u64) -> Position {
    Position::new(Era(0), offset)
}

fn set(as_of: u64, zones: &[u32]) -> Evacuations {
    Evacuations::new(pos(as_of), zones.iter().map(|&zone| ZoneTag(zone)))
}

/// A version of the set meets another one.
macro_rules! merges {
    ($($name:ident: $known:expr, $other:expr => $result:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut known = $known;
            known.merge(Micros::ZERO, $other);
            assert_eq!(known, $result);
        }
    )*};
}

merges! {
    a_newer_version_replaces_an_older_one: set(3, &[1]), set(4, &[2]) => set(4, &[2]);
    an_evacuation_that_has_ended_does_not_come_back: set(4, &[]), set(3, &[1]) => set(4, &[]);
    a_version_that_was_never_read_changes_nothing: set(3, &[1]), set(0, &[]) => set(3, &[1]);
    the_same_version_changes_nothing: set(3, &[1]), set(3, &[2]) => set(3, &[1]);
}

#[test]
fn zones_beyond_the_limit_are_left_out() {
    let zones = 0..2 * MAX_ZONES as u32;
    assert_eq!(
        Evacuations::new(pos(1), zones.map(ZoneTag)).len(),
        MAX_ZONES
    );
}

const LIMIT: u32 = MAX_ZONES as u32;

/// What becomes of a set of zones with these numbers, of which some are in excess. Guards against
/// zones in excess that are logged at each read, or not at all.
macro_rules! excess_changes {
    ($($name:ident: $zones:expr, $change:expr => $excess:expr;)*) => {$(
        #[test]
        fn $name() {
            let before = Evacuations::new(pos(1), $zones.map(ZoneTag));
            let mut after = before.clone();
            let change: fn(&mut Evacuations) = $change;
            change(&mut after);
            assert_eq!(after.changed_excess(&before), $excess);
        }
    )*};
}

excess_changes! {
    up_to_the_limit_no_zone_is_in_excess: 1..LIMIT, |set| set.add(ZoneTag(0)) => None;
    a_zone_beyond_the_limit_is_in_excess: 0..LIMIT, |set| set.add(ZoneTag(LIMIT)) => Some(1);
    a_zone_in_excess_that_is_read_again_changes_nothing: 0..LIMIT + 1, |set| set.add(ZoneTag(LIMIT)) => None;
    a_restored_zone_makes_room: 0..LIMIT + 2, |set| set.remove(ZoneTag(0)) => Some(1);
    a_zone_in_excess_is_restored: 0..LIMIT + 2, |set| set.remove(ZoneTag(LIMIT)) => Some(1);
    a_zone_in_excess_is_replaced_by_another: 0..LIMIT + 1, |set| {
        set.remove(ZoneTag(LIMIT));
        set.add(ZoneTag(LIMIT + 1));
    } => Some(1);
    a_list_in_another_order_changes_nothing: 0..LIMIT + 2, |set| {
        let excess = [LIMIT + 1, LIMIT].into_iter();
        *set = Evacuations::new(pos(2), (0..LIMIT).chain(excess).map(ZoneTag));
    } => None;
}

/// Guards against a zone that stays in service although the zones before it have been restored.
#[test]
fn a_zone_in_excess_takes_the_place_of_a_restored_one() {
    let mut set = Evacuations::new(pos(1), (0..LIMIT + 1).map(ZoneTag));
    assert!(!set.contains(ZoneTag(LIMIT)));
    set.remove(ZoneTag(3));
    assert!(set.contains(ZoneTag(LIMIT)) && !set.contains(ZoneTag(3)));
}

/// The sets that the operator's records give, one for each offset.
fn history(records: &[(u32, bool)]) -> Vec<Evacuations> {
    let mut set = Evacuations::default();
    let mut versions = vec![set.clone()];
    for &(zone, evacuated) in records {
        match evacuated {
            true => set.add(ZoneTag(zone)),
            false => set.remove(ZoneTag(zone)),
        }
        set.as_of.offset += 1;
        versions.push(set.clone());
    }
    versions
}

proptest! {
    /// Guards against evacuations that are lost or come back when versions arrive late, twice or in
    /// any order: a gateway has the set of the newest version that it has heard.
    #[test]
    fn gateways_hold_the_newest_version_that_they_have_heard(
        records in prop::collection::vec((0_u32..4, any::<bool>()), 1..20),
        heard in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        let versions = history(&records);
        let mut known = Evacuations::default();
        let mut newest = 0;
        for index in heard {
            let index = index.index(versions.len());
            known.merge(Micros::ZERO, versions[index].clone());
            newest = newest.max(index);
            prop_assert_eq!(&known, &versions[newest]);
        }
    }
}

/// The set of zones after a restore, as of this offset.
fn restored(offset: u64, zones: &[u32]) -> Evacuations {
    let zones = zones.iter().map(|&zone| ZoneTag(zone));
    Evacuations::new(Position::new(Era(1), offset), zones)
}

/// Which zones are evacuated after the set as of offset 9 has met others, of which the last came this
/// many milliseconds after the first.
macro_rules! restores {
    ($($name:ident: [$($other:expr),*], $ms:expr => $zones:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut known = set(9, &[1]);
            for other in [$($other),*] {
                known.merge(Micros::ZERO, other);
            }
            known.expire_carried(Micros::from_ms($ms));
            let mut zones: Vec<u32> = known.zones().map(|zone| zone.0).collect();
            zones.sort_unstable();
            assert_eq!(zones, $zones);
        }
    )*};
}

restores! {
    a_zone_evacuated_since_is_added: [restored(2, &[2])], 0 => [1, 2];
    a_zone_that_is_not_written_again_is_restored_in_the_end:
        [restored(2, &[])], CARRY_TIME.as_ms() => [0; 0];
    a_zone_that_is_written_again_stays: [restored(2, &[]), restored(3, &[1])], CARRY_TIME.as_ms() => [1];
    another_record_does_not_end_it: [restored(2, &[]), restored(3, &[2])], 0 => [1, 2];
    a_set_from_before_the_restore_changes_nothing: [restored(2, &[2]), set(50, &[3])], 0 => [1, 2];
    a_second_restore_keeps_what_is_carried:
        [restored(2, &[]), Evacuations::new(Position::new(Era(2), 1), [].into_iter())], 0 => [1];
}
