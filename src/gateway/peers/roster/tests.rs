use super::Roster;
use crate::gateway::peers::member::{Member, ZoneTag};
use crate::units::Micros;

/// Gateways 0 to 3 in zone 0, and 4 to 7 in zone 1.
fn members() -> impl Iterator<Item = Member> {
    (0..8).map(|index| Member {
        addr: ([10, 0, 0, index], 7).into(),
        zone: ZoneTag(u32::from(index / 4)),
        capacity: 400,
    })
}

/// The number of gateways in the roster after all were heard at 0 s, and these until `until`
/// seconds. Guards against gateways that share a limit among too few, because they no longer hear
/// some that still send.
macro_rules! rosters {
    ($($name:ident: $heard:expr, $until:expr => $count:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut roster = Roster::default();
            let heard: &[usize] = &$heard;
            let until: u64 = $until;
            for second in 0..=until {
                let now = Micros::from_secs(second);
                let signs = members().enumerate();
                let signs = signs.filter(|(index, _)| second == 0 || heard.contains(index));
                roster.update(now, signs.map(|(_, member)| (member, now)), &[]);
            }
            assert_eq!(roster.keys().len(), $count);
        }
    )*};
}

rosters! {
    all_are_heard: [0, 1, 2, 3, 4, 5, 6, 7], 100 => 8;
    one_has_just_stopped: [0, 1, 2, 3, 4, 5, 6], 50 => 8;
    one_has_stopped: [0, 1, 2, 3, 4, 5, 6], 61 => 7;
    a_zone_is_cut_off: [0, 1, 2, 3], 3_000 => 8;
    nobody_is_heard: [], 3_000 => 8;
    a_zone_was_given_up: [0, 1, 2, 3], 3_601 => 4;
}

#[test]
fn seeds_count_before_they_are_heard() {
    let seeds = [([10, 0, 0, 1], 7).into(), ([10, 0, 0, 9], 7).into()];
    let mut roster = Roster::default();
    roster.update(Micros::ZERO, [].into_iter(), &seeds);
    assert_eq!(roster.keys().len(), 2);
    let signs = members().map(|member| (member, Micros::ZERO));
    roster.update(Micros::ZERO, signs, &seeds);
    assert_eq!(roster.keys().len(), 9);
}
