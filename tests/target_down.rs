//! A target that fails at once, with entries, agents and targets as separate processes.

mod common;
mod fleet;

use common::http::Call;
use fleet::FleetBuilder;

/// Requests sent while one target is down.
const REQUESTS: usize = 60;

/// Requests that fail at once free their slots at once. The agent must not offer these slots again
/// until the target has recovered.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_fails_fast_does_not_attract_requests() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 3, 4)
        .start()
        .await;
    let away = Call::post("/fault/target", r#"{"mode":"away","ms":4000}"#);
    fleet.call_ok(fleet.targets[0].address, away).await;
    let mut failed = Vec::new();
    for number in 0..REQUESTS {
        let body = format!("request {number}");
        let call = Call::post("/model/run?ms=5", body).key("school-key");
        let reply = fleet
            .call(number % 2, call)
            .await
            .expect("the entry answers");
        if reply.status != 200 {
            failed.push((number, reply.text()));
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {REQUESTS}: {:?}",
        failed.len(),
        failed[0]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_is_tried_on_two_targets_at_most() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 4, 2)
        .start()
        .await;
    for _ in 0..3 {
        let poison = Call::post("/model/crash", "poison").key("school-key");
        let reply = fleet.call(0, poison).await.expect("the entry answers");
        assert!(reply.status >= 500, "{}", reply.text());
    }
    common::await_until("the targets to restart", || all_reachable(&fleet)).await;
    assert_eq!(fleet.run_count("poison").await, 2);
    let other = Call::post("/model/run?ms=5", "other").key("school-key");
    let reply = fleet.call(0, other).await.expect("the entry answers");
    assert_eq!(reply.status, 200, "{}", reply.text());
}

async fn all_reachable(fleet: &fleet::Fleet) -> bool {
    for host in &fleet.targets {
        let state = Call::get("/state");
        if fleet.caller.call(host.address, state).await.is_err() {
            return false;
        }
    }
    true
}
