//! Availability zones that the operator evacuates and restores, while gateways and the directory fail.

use std::time::Duration;

use balsampitch::gateway::peers::member::ZoneTag;
use balsampitch::gateway::restrictions::evacuations::MAX_ZONES;
use tokio::time::{sleep, timeout};

use crate::diagnosis;
use crate::harness::{FakeDirectory, KEY, TestGateway, WAIT_LIMIT, config, free_address_pair};
use crate::target::{Behaviour, Target};

/// Time within which an evacuation or its end has to be known everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Time after which the speed of earlier answers no longer counts.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Zone of the target `t0`.
const ZONE: &str = "a";
/// Zone of all other targets.
const OTHER_ZONE: &str = "b";

/// Waits until a gateway knows this number of evacuated zones.
async fn knows(gateway: &TestGateway, zones: usize) {
    let known = gateway.wait_until(|state| state.evacuations().len() == zones);
    timeout(APPLY_LIMIT, known)
        .await
        .expect("it is known in time");
}

/// Two targets, the first of them in [`ZONE`].
async fn targets() -> [Target; 2] {
    [
        Target::start(&[Behaviour::Complete]).await,
        Target::start(&[Behaviour::Complete]).await,
    ]
}

/// Two gateways with the targets, of which the second has its own way to the directory.
async fn two_gateways(targets: &[Target; 2]) -> [TestGateway; 2] {
    let [one, two] = free_address_pair();
    let directory = FakeDirectory::default();
    let first = TestGateway::start_reading(&directory, one, &[two]).await;
    let first = first.list_targets(&[&targets[0], &targets[1]]).await;
    let second = TestGateway::start_reading(&directory.another_link(), two, &[one]).await;
    second
        .wait_until(|state| state.with_targets(|targets| targets.len()) == 2)
        .await;
    [first, second]
}

/// Number of requests that reach the first target out of several that must all be served.
async fn reach_first(gateway: &TestGateway, targets: &[Target; 2]) -> usize {
    let before = targets[0].count();
    for _ in 0..20 {
        assert_eq!(gateway.call("GET", "/read/1").await.status, 200);
    }
    targets[0].count() - before
}

/// Waits until a request reaches the first target. The other one, which answers faster than expected,
/// is preferred until it has been idle for a moment.
async fn reaches_first(gateway: &TestGateway, targets: &[Target; 2]) {
    let reached = async {
        while reach_first(gateway, targets).await == 0 {
            sleep(IDLE_TIME).await;
        }
    };
    timeout(WAIT_LIMIT, reached)
        .await
        .expect("the zone gets requests");
}

#[tokio::test]
async fn an_evacuated_zone_gets_no_requests_until_it_is_restored() {
    let targets = targets().await;
    let gateway = TestGateway::start_with_targets(&[&targets[0], &targets[1]]).await;
    reaches_first(&gateway, &targets).await;
    gateway.directory.set_evacuated(ZONE, true);
    knows(&gateway, 1).await;
    assert_eq!(reach_first(&gateway, &targets).await, 0);
    gateway.directory.set_evacuated(ZONE, false);
    knows(&gateway, 0).await;
    reaches_first(&gateway, &targets).await;
}

#[tokio::test]
async fn with_all_zones_evacuated_requests_are_refused_at_once() {
    let targets = targets().await;
    let gateway = TestGateway::start_with_targets(&[&targets[0], &targets[1]]).await;
    gateway.directory.set_evacuated(ZONE, true);
    gateway.directory.set_evacuated(OTHER_ZONE, true);
    knows(&gateway, 2).await;
    let before = targets.each_ref().map(Target::count);
    let reply = gateway.call("POST", "/order/1").await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.header("retry-after").is_some());
    assert_eq!(targets.each_ref().map(Target::count), before);
}

#[tokio::test]
async fn an_evacuation_of_an_unknown_zone_changes_nothing() {
    let targets = targets().await;
    let gateway = TestGateway::start_with_targets(&[&targets[0], &targets[1]]).await;
    gateway.directory.set_evacuated("elsewhere", true);
    knows(&gateway, 1).await;
    reaches_first(&gateway, &targets).await;
}

#[tokio::test]
async fn a_gateway_that_loses_the_directory_keeps_the_evacuation() {
    let targets = targets().await;
    let gateway = TestGateway::start_with_targets(&[&targets[0], &targets[1]]).await;
    gateway.directory.set_evacuated(ZONE, true);
    knows(&gateway, 1).await;
    gateway.directory.set_failing(true);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(reach_first(&gateway, &targets).await, 0);
}

/// The numbers of zones in excess that have been logged, oldest first. No other test has any.
fn logged_excess() -> Vec<String> {
    let lines = diagnosis::lines("limit", &MAX_ZONES.to_string());
    let excess = lines
        .iter()
        .filter_map(|line| line["fields"]["excess"].as_str());
    excess.map(str::to_owned).collect()
}

/// Guards against an operator who evacuates more zones than gateways track and is not told, or is
/// told at each read.
#[tokio::test]
async fn zones_beyond_the_limit_are_logged_once_per_change() {
    diagnosis::log();
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    for zone in 0..MAX_ZONES {
        gateway
            .directory
            .set_evacuated(&format!("hill-{zone}"), true);
    }
    knows(&gateway, MAX_ZONES).await;
    assert!(logged_excess().is_empty());
    gateway.directory.set_evacuated("hill-last", true);
    gateway.wait_until(|_| !logged_excess().is_empty()).await;
    gateway.directory.put_config(config(2, &[KEY]));
    gateway
        .wait_until(|state| state.config().version == 2)
        .await;
    assert_eq!(logged_excess(), ["1"]);
    gateway.directory.set_evacuated("hill-0", false);
    let is_evacuated = |zone: &str| gateway.state.evacuations().contains(ZoneTag::of(zone));
    gateway.wait_until(|_| is_evacuated("hill-last")).await;
    assert_eq!(logged_excess(), ["1", "0"]);
}

/// What happens to the second gateway before a zone is evacuated.
macro_rules! hears_of_evacuations {
    ($($name:ident: $before:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let targets = targets().await;
            let [first, second] = two_gateways(&targets).await;
            let before: fn(&TestGateway, &TestGateway) = $before;
            before(&first, &second);
            first.directory.set_evacuated(ZONE, true);
            for gateway in [&first, &second] {
                knows(gateway, 1).await;
                assert_eq!(reach_first(gateway, &targets).await, 0);
            }
            first.directory.set_evacuated(ZONE, false);
            for gateway in [&first, &second] {
                knows(gateway, 0).await;
                reaches_first(gateway, &targets).await;
            }
        }
    )*};
}

hears_of_evacuations! {
    a_gateway_hears_of_an_evacuation: |_, _| {};
    a_gateway_that_the_directory_rejects_hears_of_an_evacuation:
        |_, second| second.directory.set_failing(true);
    a_gateway_hears_of_an_evacuation_when_its_reader_is_cut_off:
        |first, _| first.directory.set_failing(true);
}

#[tokio::test]
async fn a_gateway_that_starts_knows_the_evacuation_before_it_is_ready() {
    let targets = targets().await;
    let [one, two] = free_address_pair();
    let directory = FakeDirectory::default();
    let old = TestGateway::start_reading(&directory, one, &[]).await;
    let old = old.list_targets(&[&targets[0], &targets[1]]).await;
    directory.set_evacuated(ZONE, true);
    knows(&old, 1).await;
    let cut_off = directory.another_link();
    cut_off.set_failing(true);
    let new = TestGateway::start_reading(&cut_off, two, &[one]).await;
    new.wait_until(|state| {
        state.config().version == 1 && state.with_targets(|targets| targets.len()) == 2
    })
    .await;
    assert_eq!(new.state.evacuations().len(), 1);
    assert_eq!(reach_first(&new, &targets).await, 0);
}
