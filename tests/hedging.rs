//! Second copies of requests that run late on a slowed target, between separate processes.

mod common;
mod fleet;

use common::http::Call;
use fleet::Plan;

/// Requests that teach the fleet what to expect.
const WARM: usize = 60;
/// Requests sent while one target is slowed.
const SENT: usize = 40;

fn run(number: usize) -> Call {
    Call::post("/model/run?ms=20", format!("request {number}")).key("school-key")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slowed_target_is_hedged_within_the_budget() {
    let fleet = Plan::entries(1).targets("model", 4, 2).start().await;
    for number in 0..WARM {
        let reply = fleet.call(0, run(number)).await.expect("the entry answers");
        assert_eq!(reply.status, 200);
    }
    let slow = Call::post("/fault/target", r#"{"mode":"slow","factor":200}"#);
    fleet.order(fleet.targets[0].address, slow).await;
    for number in 0..SENT {
        let reply = fleet
            .call(0, run(WARM + number))
            .await
            .expect("the entry answers");
        assert_eq!(reply.text(), format!("request {}", WARM + number));
    }
    let hedged = fleet.event(0, "hedges").await;
    assert!(hedged >= 1, "a slowed target was never hedged");
    // The budget is 5 % of first copies, and one to begin with.
    assert!(
        hedged <= 1 + (WARM + SENT) as u64 * 5 / 100,
        "{hedged} hedges"
    );
}
