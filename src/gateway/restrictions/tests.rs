use super::evacuations::Evacuations;
use super::{Restriction, check};
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::targets::{Entry, Targets};

/// A target of zone `a` beside these evacuated zones.
macro_rules! restrictions {
    ($($name:ident: $draining:expr, $zones:expr => $result:expr;)*) => {$(
        #[test]
        fn $name() {
            let entry = Entry {
                service: "desk".into(),
                addr: ([127, 0, 0, 1], 9).into(),
                zone: "a".into(),
                slots: 4,
                draining: $draining,
                started_at: None,
                cold: None,
            };
            let mut targets = Targets::default();
            targets.put("t0", entry);
            let zones: &[&str] = &$zones;
            let evacuations = Evacuations::new(1, zones.iter().map(|zone| ZoneTag::of(zone)));
            let target = targets.by_id("t0").expect("it was just put");
            assert_eq!(check(target, &evacuations), $result);
        }
    )*};
}

restrictions! {
    a_ready_target_has_none: false, [] => None;
    a_draining_target_has_one: true, [] => Some(Restriction::Draining);
    a_target_of_an_evacuated_zone_has_one: false, ["b", "a"] => Some(Restriction::Evacuated);
    an_evacuation_elsewhere_does_not_matter: false, ["b"] => None;
}
