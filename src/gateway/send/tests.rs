use std::time::Duration;

use hyper::Response;
use tokio::time::advance;

use super::{last_look, record_notices};
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::position::{Era, Position};
use crate::gateway::regions::{AllowedZones, RegionRule};
use crate::gateway::request::tests::{config, request, restricted};
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::restrictions::{self, Restriction};
use crate::gateway::retry::Failure;
use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::Entry;
use crate::gateway::versions::VersionRule;
use crate::platform::headers;
use crate::units::Micros;

/// Pause that a target asks for.
const PAUSE: Duration = Duration::from_millis(300);

fn entry(draining: bool) -> Entry {
    Entry {
        service: "desk".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        zone: "a".into(),
        slots: 4,
        draining,
        version: Some("v1".into()),
        started_at: Some(1),
        cold: None,
    }
}

/// A gateway with the target `t0`.
fn gateway() -> GatewayState {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: Micros::from_secs(10),
    };
    let gateway = GatewayState::new("a", limits);
    gateway.apply_config(config(1, "/read/", "desk", "school-key"));
    gateway.with_targets(|targets| targets.put("t0", entry(false)));
    gateway
}

/// What becomes of a request if this happens between the choice of its target and its sending.
macro_rules! last_looks {
    ($($name:ident: $event:expr => $result:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let (gateway, request) = (gateway(), request());
            let target = gateway.with_targets(|targets| targets.of_service("desk")[0]);
            let event: fn(&GatewayState) -> Duration = $event;
            advance(event(&gateway)).await;
            assert_eq!(last_look(&gateway, &request, target, VersionRule::Any), $result);
        }
    )*};
}

last_looks! {
    nothing_happens: |_| Duration::ZERO => Ok(());
    its_deadline_passes: |_| Duration::from_millis(800) => Err(Failure::Withdrawn);
    its_target_drains: |gateway| {
        gateway.with_targets(|targets| targets.put("t0", entry(true)));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    its_target_is_removed: |gateway| {
        gateway.with_targets(|targets| targets.remove("t0"));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    its_zone_is_evacuated: |gateway| {
        gateway.merge_evacuations(Evacuations::new(Position::new(Era(0), 1), [ZoneTag::of("a")].into_iter()));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    its_target_says_it_is_leaving: |gateway| {
        gateway.record_leaving(&"t0".into(), &entry(false));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    another_run_of_its_target_was_leaving: |gateway| {
        let earlier = Entry { started_at: Some(0), ..entry(false) };
        gateway.record_leaving(&"t0".into(), &earlier);
        Duration::ZERO
    } => Ok(());
    its_target_asks_for_a_pause: |gateway| {
        gateway.record_pause(&"t0".into(), &entry(false), PAUSE);
        PAUSE - Duration::from_millis(1)
    } => Err(Failure::Withdrawn);
    a_pause_of_its_target_ends: |gateway| {
        gateway.record_pause(&"t0".into(), &entry(false), PAUSE);
        PAUSE
    } => Ok(());
    its_target_turns_cold: |gateway| {
        let now = gateway.clock.now();
        gateway.with_targets(|targets| {
            targets.iter_mut().for_each(|target| target.cold.assume(now, Micros::from_secs(3)));
        });
        Duration::ZERO
    } => Err(Failure::Cold);
    its_route_is_removed: |gateway| {
        gateway.apply_config(config(2, "/other/", "desk", "school-key"));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    its_account_is_restricted_to_other_regions: |gateway| {
        let rules = [RegionRule::Unrestricted, ["luzon"].into_iter().collect()];
        gateway.apply_config(restricted(2, rules, "/read/", "desk", "school-key"));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    the_regions_of_its_zone_become_known: |gateway| {
        let rules = [["luzon"].into_iter().collect(), RegionRule::Unrestricted];
        gateway.apply_config(restricted(2, rules, "/read/", "desk", "school-key"));
        gateway.set_regions([("a", "luzon")].into_iter().collect());
        Duration::ZERO
    } => Ok(());
}

/// When the first target takes requests again: `t0` asks for a pause and all other targets are these.
/// Guards against waits that ignore a target which takes requests, or count one that never will.
macro_rules! pauses_of_all {
    ($($name:ident: $others:expr => $wait:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let gateway = gateway();
            gateway.record_pause(&"t0".into(), &entry(false), PAUSE);
            let others: fn(&GatewayState) = $others;
            others(&gateway);
            let wait: Option<Duration> = $wait;
            assert_eq!(gateway.pause_of_all("desk", &AllowedZones::All), wait.map(Micros::from));
        }
    )*};
}

fn put(gateway: &GatewayState, id: &str, draining: bool) {
    gateway.with_targets(|targets| targets.put(id, entry(draining)));
}

pauses_of_all! {
    there_is_no_other_target: |_| {} => Some(PAUSE);
    another_target_takes_requests: |gateway| put(gateway, "t1", false) => None;
    another_target_drains: |gateway| put(gateway, "t1", true) => Some(PAUSE);
    another_target_pauses_for_longer: |gateway| {
        put(gateway, "t1", false);
        gateway.record_pause(&"t1".into(), &entry(false), PAUSE * 2);
    } => Some(PAUSE);
    another_target_pauses_for_a_shorter_time: |gateway| {
        put(gateway, "t1", false);
        gateway.record_pause(&"t1".into(), &entry(false), PAUSE / 2);
    } => Some(PAUSE / 2);
    the_target_is_leaving_too: |gateway| gateway.record_leaving(&"t0".into(), &entry(false)) => None;
}

/// Whether an answer with this status and header makes its target count as leaving or pausing. Guards
/// against notices of another target, and against `Retry-After` that means something else.
macro_rules! answers {
    ($($name:ident: $status:expr, $header:expr => $restriction:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let gateway = gateway();
            let (header, value) = $header;
            let answer = Response::builder().status($status).header(header, value).body(());
            let (head, ()) = answer.expect("it is a valid answer").into_parts();
            let meta = headers::parse_response(&head.headers, None);
            record_notices(&gateway, &"t0".into(), &entry(false), &head, &meta);
            let now = gateway.clock.now();
            let restriction = gateway.with_targets(|targets| {
                let target = targets.by_id("t0").expect("it is listed");
                restrictions::check(target, &Evacuations::default(), now)
            });
            assert_eq!(restriction, $restriction);
        }
    )*};
}

answers! {
    a_success_says_leaving: 200, ("server-leaving", "1") => Some(Restriction::Leaving);
    a_refusal_says_leaving: 503, ("server-leaving", "1") => Some(Restriction::Leaving);
    an_error_says_leaving: 500, ("server-leaving", "1") => Some(Restriction::Leaving);
    another_target_says_leaving: 421, ("server-leaving", "1") => None;
    a_refusal_asks_for_a_pause: 503, ("retry-after", "2") => Some(Restriction::Paused);
    a_refusal_names_a_date: 503, ("retry-after", "Sun, 06 Dec 2026 10:00:00 GMT") => None;
    a_success_with_a_time: 200, ("retry-after", "2") => None;
    a_refusal_of_a_caller_with_a_time: 429, ("retry-after", "2") => None;
    another_target_names_a_time: 421, ("retry-after", "2") => None;
}
