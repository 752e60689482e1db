//! An entry that shuts down while a request runs whose caller is gone.

mod common;
mod fleet;

use common::http::Call;
use common::process::Signal;
use fleet::{Fleet, Plan};

fn order() -> Call {
    Call::post("/orders/run?ms=1500", "order-1")
        .key("club-key")
        .header("idempotency-key", "drain-1")
}

async fn claim_records(fleet: &Fleet) -> usize {
    let read = Call::get("/log/claims?from=0&wait_ms=0");
    let reply = fleet.caller.call(fleet.platform, read).await;
    let page = reply.expect("the log answers").json();
    page["records"]
        .as_array()
        .expect("a page has records")
        .len()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_its_caller_is_finished_and_reported() {
    let mut fleet = Plan::entries(2).targets("orders", 1, 2).start().await;
    let (caller, to) = (fleet.caller.clone(), fleet.entries[0].callers);
    let call = tokio::spawn(async move { caller.call(to, order()).await });
    common::await_until("the order to run", || async {
        fleet.count("order-1").await == 1
    })
    .await;
    call.abort();
    fleet.entries[0].process.signal(Signal::Term);
    let status = fleet.entries[0].process.end().await;
    assert!(status.success(), "{status}");
    // The claim, and the report of what became of it.
    assert_eq!(claim_records(&fleet).await, 2);
    let repeat = fleet.call(1, order()).await.expect("the entry answers");
    assert_eq!(repeat.status, 409, "{}", repeat.text());
    assert_eq!(repeat.json()["execution"], "unknown");
    assert_eq!(fleet.count("order-1").await, 1);
}
