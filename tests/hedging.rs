//! Hedging of requests that are overdue on a slow target, with an entry, agents and targets as
//! separate processes.

mod common;
mod fleet;

use common::http::Call;
use fleet::FleetBuilder;

/// Requests from which the entry learns the expected slot time.
const WARM_UP: usize = 60;
/// Requests sent while one target is slow.
const MEASURED: usize = 40;

fn request(number: usize) -> Call {
    Call::post("/model/run?ms=20", format!("request {number}")).key("school-key")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_target_is_hedged_within_the_budget() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 4, 2)
        .start()
        .await;
    for number in 0..WARM_UP {
        let reply = fleet
            .call(0, request(number))
            .await
            .expect("the entry answers");
        assert_eq!(reply.status, 200);
    }
    let slow = Call::post("/fault/target", r#"{"mode":"slow","factor":200}"#);
    fleet.call_ok(fleet.targets[0].address, slow).await;
    for number in 0..MEASURED {
        let reply = fleet
            .call(0, request(WARM_UP + number))
            .await
            .expect("the entry answers");
        assert_eq!(reply.text(), format!("request {}", WARM_UP + number));
    }
    let hedged = fleet.event_count(0, "hedges").await;
    assert!(hedged >= 1, "requests on a slow target were never hedged");
    // The budget is 5 % of the first attempts, plus one initially.
    assert!(
        hedged <= 1 + (WARM_UP + MEASURED) as u64 * 5 / 100,
        "{hedged} hedges"
    );
}
