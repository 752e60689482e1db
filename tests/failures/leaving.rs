//! Targets that leave get no new work, whoever says that they leave.

use std::time::Duration;

use serde_json::json;

use crate::common::http::Call;
use crate::common::process::Signal;
use crate::fleet::{Fleet, Plan};
use crate::outcome::{begun, echoed, order, start, stream, streamed, tell, told, total_at};

/// After this a leaving target gets no new work.
const NOTICE: Duration = Duration::from_secs(3);
/// Lag of the host list.
const LAG: Duration = Duration::from_secs(1);

async fn fleet() -> Fleet {
    Plan::entries(2).targets("orders", 2, 2).start().await
}

/// Makes orders at both entries; gives how many of them the first target ran.
async fn taken(fleet: &Fleet, name: &str) -> u64 {
    let before = total_at(fleet, 0).await;
    let ids: Vec<String> = (0..24).map(|number| format!("{name}-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| start(fleet, number % 2, order(id, 40)))
        .collect();
    for (id, call) in ids.iter().zip(calls) {
        assert_eq!(told(call).await, echoed(id));
    }
    total_at(fleet, 0).await - before
}

fn state_of_first(state: &'static str) -> impl Fn(usize) -> &'static str {
    move |target| if target == 0 { state } else { "live" }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listed_leaving_target_gets_no_new_work() {
    let fleet = fleet().await;
    assert_ne!(taken(&fleet, "before").await, 0);
    fleet.set_hosts(state_of_first("leaving")).await;
    tokio::time::sleep(NOTICE).await;
    assert_eq!(taken(&fleet, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listed_leaving_target_finishes_what_it_runs() {
    let fleet = Plan::entries(1).targets("model", 1, 1).start().await;
    let call = start(&fleet, 0, stream("long", 50, 80));
    begun(&fleet, "long").await;
    fleet.set_hosts(|_| "leaving").await;
    assert_eq!(told(call).await, streamed("long", 50));
    assert_eq!(fleet.count("long").await, 1);
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
    fleet.order(fleet.platform, order).await;
    tokio::time::sleep(LAG + NOTICE).await;
    assert_eq!(taken(&fleet, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_list_brings_no_leaving_target_back() {
    let fleet = fleet().await;
    fleet.set_hosts(state_of_first("leaving")).await;
    tokio::time::sleep(NOTICE).await;
    let outage = json!({"mode": "down"}).to_string();
    fleet
        .order(fleet.platform, Call::post("/fault/hosts", outage))
        .await;
    tokio::time::sleep(NOTICE).await;
    assert_eq!(taken(&fleet, "after").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_leaves_gets_no_new_work_while_the_list_lags() {
    let mut fleet = Plan::entries(2).targets("orders", 2, 2).start().await;
    let running = [
        start(&fleet, 0, order("long-0", 6_000)),
        start(&fleet, 1, order("long-1", 6_000)),
        start(&fleet, 0, order("long-2", 6_000)),
    ];
    for id in ["long-0", "long-1", "long-2"] {
        begun(&fleet, id).await;
    }
    // Each target runs at least one of the three, so the agent has work to finish.
    fleet.targets[0].agent.signal(Signal::Term);
    tokio::time::sleep(NOTICE).await;
    assert!(fleet.targets[0].agent.ended().is_none());
    assert_eq!(taken(&fleet, "after").await, 0);
    for (number, call) in running.into_iter().enumerate() {
        assert_eq!(told(call).await, echoed(&format!("long-{number}")));
    }
    assert!(fleet.targets[0].agent.end().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_stays_after_all_gets_work_again() {
    let fleet = fleet().await;
    fleet.set_hosts(state_of_first("leaving")).await;
    tokio::time::sleep(NOTICE).await;
    assert_eq!(taken(&fleet, "leaving").await, 0);
    fleet.set_hosts(state_of_first("live")).await;
    tokio::time::sleep(NOTICE).await;
    assert_ne!(taken(&fleet, "live").await, 0);
    assert_eq!(tell(&fleet, 0, order("one", 5)).await, echoed("one"));
}
