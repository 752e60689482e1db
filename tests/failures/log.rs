//! Faults of the platform's log during keyed orders and edits of the rules.

use std::time::Duration;

use balsampitch::rules::change::Change;
use balsampitch::rules::record::TextDigest;
use balsampitch::rules::{Edit, EditId, Record};
use serde_json::json;

use crate::common::await_until;
use crate::common::http::{Call, CallError};
use crate::fleet::{Fleet, FleetBuilder, RULES};
use crate::outcome::{
    Outcome, await_started, check_settled, finish, keyed_order, order, order_response, send, start,
    stream, stream_response,
};

/// Time for an entry to notice a fault of the log.
const DETECTION_TIME: Duration = Duration::from_millis(500);

async fn fleet() -> Fleet {
    let builder = FleetBuilder::entries(2).targets("orders", 2, 4);
    builder.targets("model", 1, 4).start().await
}

async fn inject_fault(fleet: &Fleet, mode: &str) {
    let body = json!({"mode": mode, "ms": 1_000}).to_string();
    fleet
        .call_ok(fleet.platform, Call::post("/fault/log", body))
        .await;
}

async fn start_outage(fleet: &Fleet) {
    let body = json!({"mode": "down"}).to_string();
    fleet
        .call_ok(fleet.platform, Call::post("/fault/log", body))
        .await;
    tokio::time::sleep(DETECTION_TIME).await;
}

fn log_unavailable() -> Outcome {
    Outcome::NotRun(503, "log_unavailable".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_rejects_only_keyed_orders() {
    let fleet = fleet().await;
    start_outage(&fleet).await;
    for entry in 0..2 {
        assert_eq!(
            send(&fleet, entry, keyed_order("keyed", 5)).await,
            log_unavailable()
        );
        let id = format!("order-{entry}");
        assert_eq!(
            send(&fleet, entry, order(&id, 5)).await,
            order_response(&id)
        );
        let model = stream("model", 3, 5).header("idempotency-key", "model");
        assert_eq!(
            send(&fleet, entry, model).await,
            stream_response("model", 3)
        );
    }
    check_settled(&fleet, "keyed", &log_unavailable()).await;
    inject_fault(&fleet, "ok").await;
    tokio::time::sleep(DETECTION_TIME).await;
    assert_eq!(
        send(&fleet, 1, keyed_order("keyed", 5)).await,
        order_response("keyed")
    );
    assert_eq!(fleet.run_count("keyed").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_does_not_affect_a_running_order() {
    let fleet = fleet().await;
    let call = start(&fleet, 0, keyed_order("running", 1_000));
    await_started(&fleet, "running").await;
    start_outage(&fleet).await;
    assert_eq!(finish(call).await, order_response("running"));
    // The other entry read the claim before the outage, so the retry still gets the first response.
    assert_eq!(
        send(&fleet, 1, keyed_order("running", 1_000)).await,
        order_response("running")
    );
    assert_eq!(fleet.run_count("running").await, 1);
}

/// Sends keyed orders while the log has a fault, and retries them when it works again.
async fn keyed_orders_under(mode: &'static str) {
    let fleet = fleet().await;
    inject_fault(&fleet, mode).await;
    let ids: Vec<String> = (0..12).map(|number| format!("under-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| start(&fleet, number % 2, keyed_order(id, 20)))
        .collect();
    let mut first = Vec::new();
    for call in calls {
        first.push(finish(call).await);
    }
    for (id, outcome) in ids.iter().zip(&first) {
        outcome.check(id, fleet.run_count(id).await);
        let expected = match mode {
            "lose_requests" => log_unavailable(),
            _ => order_response(id),
        };
        assert_eq!(*outcome, expected, "{id}");
    }
    inject_fault(&fleet, "ok").await;
    for (number, id) in ids.iter().enumerate() {
        assert_eq!(
            send(&fleet, number % 2, keyed_order(id, 20)).await,
            order_response(id)
        );
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

macro_rules! keyed_orders_under {
    ($($name:ident: $mode:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                keyed_orders_under($mode).await;
            }
        )*
    };
}

keyed_orders_under! {
    keyed_orders_run_once_when_the_log_is_slow: "slow";
    keyed_orders_run_once_when_append_responses_are_lost: "lose_answers";
    keyed_orders_are_rejected_when_appends_are_lost: "lose_requests";
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries_run_once_when_append_responses_are_lost() {
    let fleet = fleet().await;
    inject_fault(&fleet, "lose_answers").await;
    let mut calls = Vec::new();
    for number in 0..12 {
        let id = format!("race-{number}");
        for entry in [0, 1, 0, 1] {
            calls.push((id.clone(), start(&fleet, entry, keyed_order(&id, 20))));
        }
    }
    for (id, call) in calls {
        assert_eq!(finish(call).await, order_response(&id));
        assert_eq!(fleet.run_count(&id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_once_when_its_entry_is_killed_during_a_log_fault() {
    let mut fleet = fleet().await;
    inject_fault(&fleet, "lose_answers").await;
    let call = start(&fleet, 0, keyed_order("both", 1_000));
    await_started(&fleet, "both").await;
    fleet.entries[0].process.kill();
    assert!(matches!(finish(call).await, Outcome::Failed(_)));
    let outcome = send(&fleet, 1, keyed_order("both", 1_000)).await;
    assert_eq!(
        outcome,
        Outcome::Unknown(409, "claimed_elsewhere".to_owned())
    );
    check_settled(&fleet, "both", &outcome).await;
    assert_eq!(fleet.run_count("both").await, 1);
}

/// An edit of the first version of the sample rules, which changes a deadline.
fn edit() -> Vec<u8> {
    let text = RULES.replace("repeatable=no deadline=60s", "repeatable=no deadline=50s");
    assert_ne!(text, RULES);
    let edit = Edit {
        id: EditId::random(),
        base: 1,
        author: "tests".into(),
        change: Change::between(RULES, &text),
        digest: TextDigest::of(&text),
    };
    Record::Edit(edit).encode().to_vec()
}

async fn rules_version(fleet: &Fleet, entry: usize) -> u64 {
    let status = Call::get("/status");
    let reply = fleet.caller.call(fleet.entries[entry].admin, status).await;
    let reply = reply.expect("an entry shows its status").json();
    reply["rules"]["version"]
        .as_u64()
        .expect("a version is a number")
}

async fn both_at(fleet: &Fleet, expected: u64) -> bool {
    rules_version(fleet, 0).await == expected && rules_version(fleet, 1).await == expected
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_edit_survives_log_faults() {
    let fleet = fleet().await;
    inject_fault(&fleet, "lose_answers").await;
    let append = Call::post("/log/rules", edit());
    let reply = fleet.caller.call(fleet.platform, append.clone()).await;
    assert!(matches!(reply, Err(CallError::NoResponse(_))));
    // The operator cannot tell whether the edit was appended, and sends it again.
    inject_fault(&fleet, "ok").await;
    let again = fleet.caller.call(fleet.platform, append).await;
    assert_eq!(again.expect("the log answers").status, 200);
    await_until("the new rules", || both_at(&fleet, 2)).await;
    for mode in ["slow", "down"] {
        inject_fault(&fleet, mode).await;
        tokio::time::sleep(2 * DETECTION_TIME).await;
        assert!(both_at(&fleet, 2).await, "{mode}");
    }
    inject_fault(&fleet, "ok").await;
    tokio::time::sleep(2 * DETECTION_TIME).await;
    assert!(both_at(&fleet, 2).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_appended_before_an_outage_applies_after_it() {
    let fleet = fleet().await;
    inject_fault(&fleet, "slow").await;
    let append = Call::post("/log/rules", edit());
    let reply = fleet.caller.call(fleet.platform, append).await;
    assert_eq!(reply.expect("the log answers").status, 200);
    start_outage(&fleet).await;
    inject_fault(&fleet, "ok").await;
    await_until("the new rules", || both_at(&fleet, 2)).await;
}
