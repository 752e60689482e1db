use proptest::prelude::*;

use super::{Evacuations, MAX_ZONES};
use crate::gateway::peers::member::ZoneTag;

fn set(as_of: u64, zones: &[u32]) -> Evacuations {
    Evacuations::new(as_of, zones.iter().map(|&zone| ZoneTag(zone)))
}

/// A version of the set meets another one.
macro_rules! merges {
    ($($name:ident: $known:expr, $other:expr => $result:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut known = $known;
            known.merge($other);
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
    assert_eq!(Evacuations::new(1, zones.map(ZoneTag)).len(), MAX_ZONES);
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
        set.as_of += 1;
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
            known.merge(versions[index].clone());
            newest = newest.max(index);
            prop_assert_eq!(&known, &versions[newest]);
        }
    }
}
