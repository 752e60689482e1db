//! Targets that drain get no new requests, whether the host list or their agent announces it.

use std::time::Duration;

use serde_json::json;

use crate::common::http::Call;
use crate::common::process::Signal;
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{
    await_started, finish, order, order_response, send, start, stream, stream_response,
    total_runs_at,
};

/// Time until a change of a target's state has reached the entries.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Lag of the host list behind its changes.
const LIST_LAG: Duration = Duration::from_secs(1);

async fn fleet() -> Fleet {
    FleetBuilder::entries(2)
        .targets("orders", 2, 2)
        .start()
        .await
}

/// Sends orders to both entries, and returns how many of them the target ran.
async fn runs_of(fleet: &Fleet, target: usize, name: &str) -> u64 {
    let before = total_runs_at(fleet, target).await;
    let ids: Vec<String> = (0..24).map(|number| format!("{name}-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| start(fleet, number % 2, order(id, 40)))
        .collect();
    for (id, call) in ids.iter().zip(calls) {
        assert_eq!(finish(call).await, order_response(id));
    }
    total_runs_at(fleet, target).await - before
}

fn first_in_state(state: &'static str) -> impl Fn(usize) -> &'static str {
    move |target| if target == 0 { state } else { "live" }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_listed_as_leaving_gets_no_new_requests() {
    let fleet = fleet().await;
    assert_ne!(runs_of(&fleet, 0, "before").await, 0);
    fleet.set_hosts(first_in_state("leaving")).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(runs_of(&fleet, 0, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_listed_as_leaving_finishes_its_requests() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 1, 1)
        .start()
        .await;
    let call = start(&fleet, 0, stream("long", 50, 80));
    await_started(&fleet, "long").await;
    fleet.set_hosts(|_| "leaving").await;
    assert_eq!(finish(call).await, stream_response("long", 50));
    assert_eq!(fleet.run_count("long").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_host_list_takes_effect_after_the_lag() {
    let fleet = fleet().await;
    let hosts = |state| {
        let host = &fleet.targets[0];
        json!([{"host": host.address, "zone": "a", "service": host.service, "state": state}])
    };
    let lagging = json!({"hosts": hosts("leaving"), "lag_ms": LIST_LAG.as_millis() as u64});
    let request = Call::post("/fault/hosts", lagging.to_string());
    fleet.call_ok(fleet.platform, request).await;
    tokio::time::sleep(LIST_LAG + PROPAGATION_TIME).await;
    assert_eq!(runs_of(&fleet, 0, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_list_outage_does_not_restore_a_leaving_target() {
    let fleet = fleet().await;
    fleet.set_hosts(first_in_state("leaving")).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let outage = json!({"mode": "down"}).to_string();
    fleet
        .call_ok(fleet.platform, Call::post("/fault/hosts", outage))
        .await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(runs_of(&fleet, 0, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_gets_no_new_requests_while_still_listed() {
    let mut fleet = FleetBuilder::entries(2)
        .targets("orders", 2, 2)
        .start()
        .await;
    let call = start(&fleet, 0, order("long", 6_000));
    let target = await_started(&fleet, "long").await;
    fleet.targets[target].agent.signal(Signal::Term);
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert!(fleet.targets[target].agent.try_wait().is_none());
    assert_eq!(runs_of(&fleet, target, "after").await, 0);
    assert_eq!(finish(call).await, order_response("long"));
    assert!(fleet.targets[target].agent.wait().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_listed_as_live_again_gets_requests() {
    let fleet = fleet().await;
    fleet.set_hosts(first_in_state("leaving")).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(runs_of(&fleet, 0, "leaving").await, 0);
    fleet.set_hosts(first_in_state("live")).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_ne!(runs_of(&fleet, 0, "live").await, 0);
    assert_eq!(
        send(&fleet, 0, order("one", 5)).await,
        order_response("one")
    );
}
