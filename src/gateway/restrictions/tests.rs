use std::time::Duration;

use super::evacuations::Evacuations;
use super::{Restriction, check};
use crate::gateway::notices::Notice;
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::position::{Era, Position};
use crate::gateway::targets::{Entry, Targets};
use crate::units::Micros;

const PAUSE: Notice = Notice::Pause(Duration::from_secs(1));

/// A target of zone `a` beside these evacuated zones, and with these notices.
macro_rules! restrictions {
    ($($name:ident: $draining:expr, $zones:expr, $notices:expr => $result:expr;)*) => {$(
        #[test]
        fn $name() {
            let entry = Entry {
                service: "desk".into(),
                addr: ([127, 0, 0, 1], 9).into(),
                zone: "a".into(),
                slots: 4,
                draining: $draining,
                version: Some("v1".into()),
                started_at: None,
                cold: None,
            };
            let mut targets = Targets::default();
            targets.put("t0", entry.clone());
            let notices: &[Notice] = &$notices;
            for &notice in notices {
                targets.record_notice(Micros::ZERO, &"t0".into(), &entry, notice);
            }
            let zones: &[&str] = &$zones;
            let evacuations = Evacuations::new(Position::new(Era(0), 1), zones.iter().map(|zone| ZoneTag::of(zone)));
            let target = targets.by_id("t0").expect("it was just put");
            assert_eq!(check(target, &evacuations, Micros::ZERO), $result);
        }
    )*};
}

restrictions! {
    a_ready_target_has_none: false, [], [] => None;
    a_draining_target_has_one: true, [], [] => Some(Restriction::Draining);
    a_target_of_an_evacuated_zone_has_one: false, ["b", "a"], [] => Some(Restriction::Evacuated);
    an_evacuation_elsewhere_does_not_matter: false, ["b"], [] => None;
    a_target_that_says_it_is_leaving_has_one: false, [], [Notice::Leaving] => Some(Restriction::Leaving);
    a_target_that_asked_for_a_pause_has_one: false, [], [PAUSE] => Some(Restriction::Paused);
    a_pause_does_not_hide_a_drain: true, [], [PAUSE] => Some(Restriction::Draining);
    a_pause_does_not_hide_an_evacuation: false, ["a"], [PAUSE] => Some(Restriction::Evacuated);
    a_pause_does_not_hide_that_it_is_leaving: false, [], [PAUSE, Notice::Leaving] => Some(Restriction::Leaving);
}
