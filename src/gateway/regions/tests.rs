use super::{Finding, Problem, RegionRule, RegionTable, RequestRegions};
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::position::{Era, Position};
use crate::gateway::request::tests::{request_by, restricted};
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::Entry;
use crate::gateway::versions::VersionRule;
use crate::settings::RetrySettings;

/// Zones `a` to `d` are in three regions, `x` has two, `y` an empty one, and `z` is not named.
const TABLE: [(&str, &str); 7] = [
    ("a", "visayas"),
    ("b", "visayas"),
    ("c", "luzon"),
    ("d", "mindanao"),
    ("x", "luzon"),
    ("x", "visayas"),
    ("y", ""),
];
const ZONES: [&str; 7] = ["a", "b", "c", "d", "x", "y", "z"];

fn table() -> RegionTable {
    TABLE.into_iter().collect()
}

fn only(regions: &[&str]) -> RegionRule {
    regions.iter().collect()
}

/// Which zones the restrictions of a route and of a client account allow. Guards against a
/// restriction that is lifted by another one, by an odd value or by an unknown zone.
macro_rules! allowed_zones {
    ($($name:ident: $route:expr, $account:expr => $zones:expr;)*) => {$(
        #[test]
        fn $name() {
            let zones = RequestRegions { route: $route, account: $account }.zones(&table());
            let allowed = ZONES.into_iter().filter(|zone| zones.contains(ZoneTag::of(zone)));
            assert_eq!(allowed.collect::<String>(), $zones);
        }
    )*};
}

allowed_zones! {
    no_restriction: RegionRule::Unrestricted, RegionRule::Unrestricted => "abcdxyz";
    empty_lists: only(&[]), only(&[]) => "abcdxyz";
    a_route_alone: only(&["visayas"]), only(&[]) => "ab";
    an_account_alone: RegionRule::Unrestricted, only(&["luzon", "mindanao", "luzon"]) => "cd";
    both_share_a_region: only(&["visayas", "luzon"]), only(&["luzon", "mindanao"]) => "c";
    both_share_none: only(&["visayas"]), only(&["luzon"]) => "";
    an_unknown_region: only(&["Visayas", ""]), RegionRule::Unrestricted => "";
    an_unreadable_one: RegionRule::Unreadable, only(&["luzon"]) => "";
}

/// Guards against a line for each odd entry, and against none.
#[test]
fn each_odd_restriction_is_found_once() {
    let rules = [RegionRule::Unreadable, only(&["nowhere"])];
    let config = restricted(1, rules, "/", "desk", "key");
    let table = table();
    let found = Finding::all(&config, &table).map(|finding| finding.problem);
    assert!(found.eq([Problem::Unreadable, Problem::NoZone]));
}

/// Replays restricted requests at 280 targets while the restriction or the evacuated zones change
/// between the choice of a target and the sending. Guards against a request that is sent to a region
/// that the configuration in force does not allow, and against one that is refused needlessly.
#[tokio::test(start_paused = true)]
async fn no_request_leaves_its_regions_while_everything_changes() {
    let settings = RetrySettings {
        ratio: 0.2,
        slack: 10.0,
        window: 1.0,
    };
    let gateway = GatewayState::new("a", RetryLimits::from(&settings)).with_regions(table());
    for index in 0..280 {
        let entry = Entry {
            service: "desk".into(),
            addr: ([127, 0, 0, 1], 1_000 + index).into(),
            zone: ZONES[usize::from(index) % ZONES.len()].into(),
            slots: 4,
            draining: false,
            version: Some("v1".into()),
            started_at: None,
            cold: None,
        };
        gateway.with_targets(|targets| targets.put(&format!("t{index}"), entry));
    }
    let rules = ["visayas", "luzon", "mindanao"];
    let zones = [["a", "b"].as_slice(), &["c"], &["d"]];
    let mut withheld = 0;
    for version in 1..600_usize {
        let before = gateway.config();
        let regions = [
            only(&[rules[version % 3], "nowhere"]),
            RegionRule::Unrestricted,
        ];
        let config = restricted(version as u64, regions, "/read/", "desk", "school-key");
        let request = request_by(if version == 1 { &config } else { &before });
        let choose = || {
            Some(
                gateway
                    .choose_target(&request, &[], VersionRule::Any)?
                    .target,
            )
        };
        let first = choose();
        gateway.apply_config(config);
        let evacuated = [ZONES[version / 7 % 2]];
        let evacuated = evacuated.iter().map(|zone| ZoneTag::of(zone));
        gateway.merge_evacuations(Evacuations::new(
            Position::new(Era(0), version as u64),
            evacuated,
        ));
        let config = gateway.config();
        let may_send = |key: &_| {
            gateway.may_send_to(*key, VersionRule::Any)
                && gateway.allows_region(&config, &request, *key)
        };
        let first = first.filter(may_send);
        withheld += usize::from(first.is_none());
        // A retry selects by the configuration in force.
        let target = first.or_else(choose).expect("a zone is left");
        assert!(may_send(&target));
        let (_, entry) = gateway.target_entry(target).expect("it is listed");
        assert!(zones[version % 3].contains(&entry.zone.as_ref()));
    }
    assert!(withheld > 300, "{withheld} were withheld");
}
