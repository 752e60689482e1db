//! Targets that leave get no new work, whoever says that they leave.

use std::time::Duration;

use serde_json::json;

use crate::common::http::Call;
use crate::common::process::Signal;
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{begun, echoed, order, start, stream, streamed, tell, told, total_at};

/// After this a leaving target gets no new work.
const NOTICE: Duration = Duration::from_secs(3);
/// Lag of the host list.
const LAG: Duration = Duration::from_secs(1);

async fn fleet() -> Fleet {
    FleetBuilder::entries(2)
        .targets("orders", 2, 2)
        .start()
        .await
}

/// Makes orders at both entries; gives how many of them the target ran.
async fn taken(fleet: &Fleet, target: usize, name: &str) -> u64 {
    let before = total_at(fleet, target).await;
    let ids: Vec<String> = (0..24).map(|number| format!("{name}-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| start(fleet, number % 2, order(id, 40)))
        .collect();
    for (id, call) in ids.iter().zip(calls) {
        assert_eq!(told(call).await, echoed(id));
    }
    total_at(fleet, target).await - before
}

fn state_of_first(state: &'static str) -> impl Fn(usize) -> &'static str {
    move |target| if target == 0 { state } else { "live" }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listed_leaving_target_gets_no_new_work() {
    let fleet = fleet().await;
    assert_ne!(taken(&fleet, 0, "before").await, 0);
    fleet.set_hosts(state_of_first("leaving")).await;
    tokio::time::sleep(NOTICE).await;
    assert_eq!(taken(&fleet, 0, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listed_leaving_target_finishes_what_it_runs() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 1, 1)
        .start()
        .await;
    let call = start(&fleet, 0, stream("long", 50, 80));
    begun(&fleet, "long").await;
    fleet.set_hosts(|_| "leaving").await;
    assert_eq!(told(call).await, streamed("long", 50));
    assert_eq!(fleet.run_count("long").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_list_is_heeded_once_it_shows() {
    let fleet = fleet().await;
    let hosts = |state| {
        let host = &fleet.targets[0];
        json!([{"host": host.address, "zone": "a", "service": host.service, "state": state}])
    };
    let lagging = json!({"hosts": hosts("leaving"), "lag_ms": LAG.as_millis() as u64});
    let order = Call::post("/fault/hosts", lagging.to_string());
    fleet.call_ok(fleet.platform, order).await;
    tokio::time::sleep(LAG + NOTICE).await;
    assert_eq!(taken(&fleet, 0, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_list_brings_no_leaving_target_back() {
    let fleet = fleet().await;
    fleet.set_hosts(state_of_first("leaving")).await;
    tokio::time::sleep(NOTICE).await;
    let outage = json!({"mode": "down"}).to_string();
    fleet
        .call_ok(fleet.platform, Call::post("/fault/hosts", outage))
        .await;
    tokio::time::sleep(NOTICE).await;
    assert_eq!(taken(&fleet, 0, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_leaves_gets_no_new_work_while_the_list_lags() {
    let mut fleet = FleetBuilder::entries(2)
        .targets("orders", 2, 2)
        .start()
        .await;
    let call = start(&fleet, 0, order("long", 6_000));
    let target = begun(&fleet, "long").await;
    fleet.targets[target].agent.signal(Signal::Term);
    tokio::time::sleep(NOTICE).await;
    assert!(fleet.targets[target].agent.try_wait().is_none());
    assert_eq!(taken(&fleet, target, "after").await, 0);
    assert_eq!(told(call).await, echoed("long"));
    assert!(fleet.targets[target].agent.wait().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_stays_after_all_gets_work_again() {
    let fleet = fleet().await;
    fleet.set_hosts(state_of_first("leaving")).await;
    tokio::time::sleep(NOTICE).await;
    assert_eq!(taken(&fleet, 0, "leaving").await, 0);
    fleet.set_hosts(state_of_first("live")).await;
    tokio::time::sleep(NOTICE).await;
    assert_ne!(taken(&fleet, 0, "live").await, 0);
    assert_eq!(tell(&fleet, 0, order("one", 5)).await, echoed("one"));
}
