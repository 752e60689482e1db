//! What the gateway believes when its lists change, fail, or go back.

use std::time::Duration;

use balsampitch::gateway::targets::Targets;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use crate::target::{Say, Target};
use crate::world::{KEY, ROUTE_TIMEOUT, World, config, pair};

#[tokio::test]
async fn without_a_configuration_and_a_target_it_is_not_ready_and_says_when_to_come_back() {
    let world = World::empty().await;
    sleep(Duration::from_millis(50)).await;
    assert!(!world.is_ready().await);
    let reply = world.call("GET", "/read/1").await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.header("retry-after").is_some());
    world.lists.put_config(config(3, &[KEY]));
    world.until(|gateway| gateway.config().version == 3).await;
    assert!(!world.is_ready().await);
    let target = Target::start(&[Say::Whole]).await;
    world.lists.put_target("t0", target.addr, false);
    world
        .until(|gateway| gateway.with_targets(|targets| targets.len()) == 1)
        .await;
    assert!(world.is_ready().await);
}

#[tokio::test]
async fn an_older_configuration_changes_nothing() {
    let target = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&target]).await;
    world.lists.put_config(config(9, &[KEY]));
    world.until(|gateway| gateway.config().version == 9).await;
    world.lists.put_config(config(4, &[]));
    sleep(Duration::from_millis(60)).await;
    assert_eq!(world.call("GET", "/read/1").await.status, 200);
}

#[tokio::test]
async fn a_key_that_is_taken_away_is_refused() {
    let target = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&target]).await;
    world.lists.put_config(config(2, &["another"]));
    world.until(|gateway| gateway.config().version == 2).await;
    assert_eq!(world.call("GET", "/read/1").await.status, 401);
    assert_eq!(target.count(), 0);
}

#[tokio::test]
async fn a_leaving_target_gets_no_new_request() {
    let (leaving, stays) = (
        Target::start(&[Say::Whole]).await,
        Target::start(&[Say::Whole]).await,
    );
    let world = World::before(&[&leaving, &stays]).await;
    world.lists.put_target("t0", leaving.addr, true);
    world
        .until(|gateway| gateway.with_targets(|targets| targets.iter().any(|t| t.entry.draining)))
        .await;
    let before = leaving.count();
    for _ in 0..20 {
        assert_eq!(world.call("GET", "/read/1").await.status, 200);
    }
    assert_eq!(leaving.count(), before);
}

#[tokio::test]
async fn while_the_lists_are_out_requests_are_served_as_before() {
    let target = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&target]).await;
    world.lists.set_out(true);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(world.call("GET", "/read/1").await.status, 200);
    assert!(world.is_ready().await);
}

#[tokio::test]
async fn a_leaving_gateway_finishes_its_streams_and_asks_callers_to_go() {
    let target = Target::start(&[Say::Endless]).await;
    let world = World::before(&[&target]).await;
    let headers = format!("Authorization: Bearer {KEY}\r\n");
    let mut stream = world.send("POST", "/stream/1", &headers).await;
    world.until(|_| target.count() == 1).await;
    world.drain.cancel();
    assert!(!world.is_ready().await);
    let reply = world.call("POST", "/read/1").await;
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
    let mut data = Vec::new();
    // The stream has no end of its own: the route's timeout breaks it off, not the leaving.
    let _ = stream.read_to_end(&mut data).await;
    let events = String::from_utf8_lossy(&data).matches("id: ").count();
    assert!(
        events > ROUTE_TIMEOUT.as_millis() as usize / 20 / 2,
        "{events}"
    );
    world
        .running
        .await
        .expect("it does not panic")
        .expect("it ends well");
}

#[tokio::test]
async fn metrics_count_how_requests_ended() {
    let target = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&target]).await;
    world.call("GET", "/read/1").await;
    world.call("GET", "/nowhere/1").await;
    let text = world.metrics().await;
    assert!(text.contains("outcome=\"whole\""), "{text}");
    let whole = text.lines().find(|line| line.contains("outcome=\"whole\""));
    assert!(whole.is_some_and(|line| line.ends_with(" 1")), "{text}");
    let refused = text
        .lines()
        .find(|line| line.contains("reason=\"no_service\""));
    assert!(refused.is_some_and(|line| line.ends_with(" 1")), "{text}");
    assert!(text.contains("balsampitch_latency"), "{text}");
}

#[tokio::test]
async fn a_gateway_that_starts_while_the_lists_are_out_learns_all_from_another() {
    let [one, two] = pair();
    let target = Target::start(&[Say::Whole]).await;
    let old = World::beside(one, &[two]).await.knowing(&[&target]).await;
    old.lists.set_out(true);
    // The old one notices, and no longer counts as reading the lists itself.
    sleep(Duration::from_millis(700)).await;
    let new = World::beside(two, &[one]).await;
    new.lists.set_out(true);
    new.until(|gateway| {
        gateway.config().version == 1 && gateway.with_targets(|targets| targets.len()) == 1
    })
    .await;
    assert!(new.is_ready().await);
    assert_eq!(new.call("GET", "/read/1").await.status, 200);
}

#[tokio::test]
async fn an_address_that_another_target_has_now_is_left_alone() {
    let moved = Target::start(&[Say::Moved]).await;
    let good = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&moved, &good]).await;
    assert_eq!(world.call("POST", "/order/1").await.status, 200);
    assert_eq!(moved.count(), 1);
    let now = world.gateway.clock.now();
    let closed =
        |targets: &mut Targets| targets.iter().any(|target| target.load.closed_until > now);
    assert!(world.gateway.with_targets(closed));
}

#[tokio::test]
async fn a_running_gateway_that_cannot_read_takes_a_newer_configuration_from_another() {
    let [one, two] = pair();
    let target = Target::start(&[Say::Whole]).await;
    let reads = World::beside(one, &[two]).await.knowing(&[&target]).await;
    let shut_out = World::beside(two, &[one]).await.knowing(&[&target]).await;
    shut_out.lists.set_out(true);
    reads.lists.put_config(config(8, &["another"]));
    shut_out
        .until(|gateway| gateway.config().version == 8)
        .await;
    assert_eq!(shut_out.call("GET", "/read/1").await.status, 401);
}
