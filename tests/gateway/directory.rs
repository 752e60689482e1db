//! How the gateway follows its directory: changes, failures and older versions.

use std::time::Duration;

use balsampitch::gateway::targets::Targets;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use crate::harness::{KEY, ROUTE_TIMEOUT, TestGateway, config, free_address_pair};
use crate::target::{Behaviour, Target};

#[tokio::test]
async fn without_a_configuration_or_a_target_it_is_not_ready_and_sends_retry_after() {
    let gateway = TestGateway::start().await;
    sleep(Duration::from_millis(50)).await;
    assert!(!gateway.is_ready().await);
    let reply = gateway.call("GET", "/read/1").await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.header("retry-after").is_some());
    gateway.directory.put_config(config(3, &[KEY]));
    gateway
        .wait_until(|state| state.config().version == 3)
        .await;
    assert!(!gateway.is_ready().await);
    let target = Target::start(&[Behaviour::Complete]).await;
    gateway.directory.put_target("t0", target.addr, false);
    gateway
        .wait_until(|state| state.with_targets(|targets| targets.len()) == 1)
        .await;
    assert!(gateway.is_ready().await);
}

#[tokio::test]
async fn an_older_configuration_is_ignored() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    gateway.directory.put_config(config(9, &[KEY]));
    gateway
        .wait_until(|state| state.config().version == 9)
        .await;
    gateway.directory.put_config(config(4, &[]));
    sleep(Duration::from_millis(60)).await;
    assert_eq!(gateway.call("GET", "/read/1").await.status, 200);
}

#[tokio::test]
async fn a_removed_key_is_refused() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    gateway.directory.put_config(config(2, &["another"]));
    gateway
        .wait_until(|state| state.config().version == 2)
        .await;
    assert_eq!(gateway.call("GET", "/read/1").await.status, 401);
    assert_eq!(target.count(), 0);
}

#[tokio::test]
async fn a_draining_target_gets_no_new_requests() {
    let (draining, other) = (
        Target::start(&[Behaviour::Complete]).await,
        Target::start(&[Behaviour::Complete]).await,
    );
    let gateway = TestGateway::start_with_targets(&[&draining, &other]).await;
    gateway.directory.put_target("t0", draining.addr, true);
    gateway
        .wait_until(|state| state.with_targets(|targets| targets.iter().any(|t| t.entry.draining)))
        .await;
    let before = draining.count();
    for _ in 0..20 {
        assert_eq!(gateway.call("GET", "/read/1").await.status, 200);
    }
    assert_eq!(draining.count(), before);
}

#[tokio::test]
async fn requests_are_served_while_the_directory_is_unavailable() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    gateway.directory.set_failing(true);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(gateway.call("GET", "/read/1").await.status, 200);
    assert!(gateway.is_ready().await);
}

#[tokio::test]
async fn a_draining_gateway_finishes_its_streams_and_closes_connections() {
    let target = Target::start(&[Behaviour::EndlessEvents]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    let headers = format!("Authorization: Bearer {KEY}\r\n");
    let mut stream = gateway.send("POST", "/stream/1", &headers).await;
    gateway.wait_until(|_| target.count() == 1).await;
    gateway.drain.cancel();
    assert!(!gateway.is_ready().await);
    let reply = gateway.call("POST", "/read/1").await;
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
    let mut data = Vec::new();
    // The stream is endless: the route's timeout ends it, not the shutdown.
    let _ = stream.read_to_end(&mut data).await;
    let events = String::from_utf8_lossy(&data).matches("id: ").count();
    assert!(
        events > ROUTE_TIMEOUT.as_millis() as usize / 20 / 2,
        "{events}"
    );
    gateway
        .task
        .await
        .expect("it does not panic")
        .expect("it ends well");
}

#[tokio::test]
async fn metrics_count_requests_by_outcome() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    gateway.call("GET", "/read/1").await;
    gateway.call("GET", "/nowhere/1").await;
    let text = gateway.metrics().await;
    assert!(text.contains("outcome=\"whole\""), "{text}");
    let complete = text.lines().find(|line| line.contains("outcome=\"whole\""));
    assert!(complete.is_some_and(|line| line.ends_with(" 1")), "{text}");
    let refused = text
        .lines()
        .find(|line| line.contains("reason=\"no_service\""));
    assert!(refused.is_some_and(|line| line.ends_with(" 1")), "{text}");
    assert!(text.contains("balsampitch_latency"), "{text}");
}

#[tokio::test]
async fn a_gateway_that_starts_without_a_directory_loads_everything_from_a_peer() {
    let [one, two] = free_address_pair();
    let target = Target::start(&[Behaviour::Complete]).await;
    let old = TestGateway::start_with_peers(one, &[two])
        .await
        .list_targets(&[&target])
        .await;
    old.directory.set_failing(true);
    // Waits until the first gateway no longer reports that it can read the directory.
    sleep(Duration::from_millis(700)).await;
    let new = TestGateway::start_with_peers(two, &[one]).await;
    new.directory.set_failing(true);
    new.wait_until(|state| {
        state.config().version == 1 && state.with_targets(|targets| targets.len()) == 1
    })
    .await;
    assert!(new.is_ready().await);
    assert_eq!(new.call("GET", "/read/1").await.status, 200);
}

#[tokio::test]
async fn an_address_that_was_reassigned_is_paused() {
    let moved = Target::start(&[Behaviour::Moved]).await;
    let good = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&moved, &good]).await;
    assert_eq!(gateway.call("POST", "/order/1").await.status, 200);
    assert_eq!(moved.count(), 1);
    let now = gateway.state.clock.now();
    let paused =
        |targets: &mut Targets| targets.iter().any(|target| target.load.paused_until > now);
    assert!(gateway.state.with_targets(paused));
}

#[tokio::test]
async fn a_gateway_without_a_directory_takes_a_newer_configuration_from_a_peer() {
    let [one, two] = free_address_pair();
    let target = Target::start(&[Behaviour::Complete]).await;
    let connected = TestGateway::start_with_peers(one, &[two])
        .await
        .list_targets(&[&target])
        .await;
    let isolated = TestGateway::start_with_peers(two, &[one])
        .await
        .list_targets(&[&target])
        .await;
    isolated.directory.set_failing(true);
    connected.directory.put_config(config(8, &["another"]));
    isolated
        .wait_until(|state| state.config().version == 8)
        .await;
    assert_eq!(isolated.call("GET", "/read/1").await.status, 401);
}
