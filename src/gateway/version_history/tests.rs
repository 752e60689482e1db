use super::VersionHistory;
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::stream_book::STREAM_TTL;
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

const SERVICE: ServiceTag = ServiceTag(1);
const ONE: Option<VersionTag> = Some(VersionTag(1));
const TWO: Option<VersionTag> = Some(VersionTag(2));
/// Longest time that a stream may have lasted, in seconds.
const SPAN: Micros = Micros::from_secs(10);

fn at(second: u64) -> Micros {
    Micros::from_secs(100 + second)
}

/// The sole version 20 s after the start, if these versions were listed in the seconds of these
/// ranges, and the list was followed but in these seconds.
macro_rules! histories {
    ($($name:ident: [$(($version:expr, $seconds:expr)),*], $gap:expr => $sole:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut history = VersionHistory::default();
            for second in 0..=20 {
                let mut listed = Vec::new();
                $(if $seconds.contains(&second) {
                    listed.push((SERVICE, $version));
                })*
                let gap: std::ops::Range<u64> = $gap;
                history.observe(at(second), !gap.contains(&second), listed.into_iter());
            }
            assert_eq!(history.sole_version(at(20), SERVICE, SPAN), $sole);
        }
    )*};
}

histories! {
    one_version_that_has_served_for_long: [(ONE, 0..=20)], 0..0 => ONE;
    another_version_serves: [(ONE, 0..=20), (TWO, 19..=20)], 0..0 => None;
    another_version_served_shortly_before: [(ONE, 0..=20), (TWO, 0..=12)], 0..0 => None;
    another_version_served_long_before: [(ONE, 0..=20), (TWO, 0..=8)], 0..0 => ONE;
    a_version_that_cannot_be_read: [(None, 0..=20)], 0..0 => None;
    the_list_was_not_followed_for_a_while: [(ONE, 0..=20)], 14..16 => None;
    the_list_was_not_followed_long_before: [(ONE, 0..=20)], 4..6 => ONE;
    nothing_is_listed: [(ONE, 0..=2)], 0..0 => None;
}

#[test]
fn a_gateway_that_has_just_started_is_not_certain() {
    let mut history = VersionHistory::default();
    history.observe(at(0), true, [(SERVICE, ONE)].into_iter());
    history.observe(at(9), true, [(SERVICE, ONE)].into_iter());
    assert_eq!(history.sole_version(at(9), SERVICE, SPAN), None);
    assert_eq!(history.sole_version(at(10), SERVICE, SPAN), ONE);
}

/// What was listed longer ago is forgotten.
#[test]
fn a_span_beyond_what_is_remembered_is_not_certain() {
    let mut history = VersionHistory::default();
    history.observe(at(0), true, [(SERVICE, ONE)].into_iter());
    let now = at(2 * STREAM_TTL.as_ms() / 1_000);
    history.observe(now, true, [(SERVICE, ONE)].into_iter());
    assert_eq!(history.sole_version(now, SERVICE, STREAM_TTL), ONE);
    let longer = STREAM_TTL + Micros::from_ms(1);
    assert_eq!(history.sole_version(now, SERVICE, longer), None);
}

#[test]
fn a_service_is_mixed_while_streams_of_several_versions_may_go_on() {
    let mut history = VersionHistory::default();
    history.observe(at(0), true, [(SERVICE, ONE), (SERVICE, TWO)].into_iter());
    history.observe(at(1), true, [(SERVICE, TWO)].into_iter());
    assert!(history.is_mixed(SERVICE));
    assert!(!history.is_mixed(ServiceTag(2)));
    history.observe(at(0) + STREAM_TTL, true, [(SERVICE, TWO)].into_iter());
    assert!(!history.is_mixed(SERVICE));
}
