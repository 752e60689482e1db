//! Targets that are cold, and gateways that do not know it when they first send to them.

use std::time::Duration;

use balsampitch::gateway::cold_limit::{ColdReport, ColdRule};
use balsampitch::gateway::config::Service;
use balsampitch::gateway::state::GatewayState;
use balsampitch::units::Micros;
use tokio::time::{Instant, interval, sleep};

use crate::harness::{FakeDirectory, KEY, TestGateway, config_with, free_address_pair};
use crate::target::{Behaviour, HEALTH_PATH, Target};

/// Requests a second that a cold target takes.
const RATE: f64 = 11.0;
/// Time for which a target is cold.
const COLD: Duration = Duration::from_secs(2);
/// Pause between two requests to each gateway.
const PAUSE: Duration = Duration::from_millis(15);

fn service() -> Service {
    Service {
        cold: Some(ColdRule {
            span: COLD.into(),
            rate: RATE,
            asks: true,
        }),
        health_path: Some(HEALTH_PATH.parse().expect("it is a path")),
        ..Service::default()
    }
}

async fn gateways(target: &Target) -> [TestGateway; 2] {
    let peers = free_address_pair();
    let directory = FakeDirectory::default();
    let one = TestGateway::start_reading(&directory, peers[0], &peers).await;
    let two = TestGateway::start_reading(&directory, peers[1], &peers).await;
    let one = one.list_targets(&[target]).await;
    directory.put_config(config_with(2, &[KEY], service()));
    for gateway in [&one, &two] {
        let is_ready = |state: &GatewayState| {
            state.config().version == 2 && state.with_targets(|targets| targets.len()) == 1
        };
        gateway.wait_until(is_ready).await;
    }
    [one, two]
}

/// Guards against a target that crashes because each gateway sends to it as soon as it answers,
/// before its entry tells that it has started, and against a limit that outlasts the cold time.
#[tokio::test]
async fn gateways_that_did_not_know_keep_to_the_limit_until_the_target_is_warm() {
    let target = Target::start(&[Behaviour::Complete]).await;
    target.set_cold(COLD + Duration::from_secs(30));
    let gateways = gateways(&target).await;
    target.set_cold(COLD);
    let cold_end = Instant::now() + COLD;
    let (mut second, mut counts) = (Instant::now(), vec![target.count()]);
    let mut ticks = interval(PAUSE);
    let mut refused = 0;
    while Instant::now() < cold_end {
        ticks.tick().await;
        for gateway in &gateways {
            let reply = gateway.call("GET", "/read/1").await;
            refused += usize::from(reply.status == 503);
        }
        if second.elapsed() >= Duration::from_secs(1) {
            second = Instant::now();
            counts.push(target.count());
        }
    }
    let most = counts.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(most <= Some((RATE * 1.5) as usize + 5), "{counts:?}");
    assert!(
        target.count() > 0 && refused > 0,
        "{counts:?}, {refused} refused"
    );
    sleep(Duration::from_millis(150)).await;
    for gateway in &gateways {
        for _ in 0..30 {
            assert_eq!(gateway.call("GET", "/read/1").await.status, 200);
        }
    }
}

/// Guards against a zone whose targets have gone cold while it was evacuated, and that gets its full
/// load at once when it is restored.
#[tokio::test]
async fn a_target_of_a_restored_zone_counts_as_cold() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let [gateway, _other] = gateways(&target).await;
    let is_cold = |state: &GatewayState| {
        let now = state.clock.now();
        state.with_targets(|targets| targets.by_id("t0").is_some_and(|t| t.cold.is_cold(now)))
    };
    assert!(!is_cold(&gateway.state));
    gateway.directory.set_evacuated("a", true);
    gateway
        .wait_until(|state| !state.evacuations().is_empty())
        .await;
    assert!(!is_cold(&gateway.state));
    gateway.directory.set_evacuated("a", false);
    gateway.wait_until(is_cold).await;
    gateway.wait_until(|state| !is_cold(state)).await;
}

/// Guards against a gateway that cannot read the list and does not learn that a target is cold.
#[tokio::test]
async fn a_gateway_that_copies_the_list_learns_that_a_target_is_cold() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let peers = free_address_pair();
    let directory = FakeDirectory::default();
    let one = TestGateway::start_reading(&directory, peers[0], &peers).await;
    let one = one.list_targets(&[&target]).await;
    let link = directory.another_link();
    link.set_failing(true);
    let two = TestGateway::start_reading(&link, peers[1], &peers).await;
    let report = ColdReport {
        remaining: Micros::from_secs(20),
        age: Micros::ZERO,
    };
    directory.put_cold_target("t0", target.addr, report);
    let is_cold = |state: &GatewayState| {
        let now = state.clock.now();
        let period = state.with_targets(|targets| targets.by_id("t0")?.cold.period());
        period.is_some_and(|period| period.until > now + Micros::from_secs(10))
    };
    one.wait_until(is_cold).await;
    two.wait_until(is_cold).await;
}
