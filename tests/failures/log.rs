//! Faults of the platform's log during orders and changes of the rules.

use std::time::Duration;

use balsampitch::rules::change::Change;
use balsampitch::rules::record::TextDigest;
use balsampitch::rules::{Edit, EditId, Record};
use serde_json::json;

use crate::common::await_until;
use crate::common::http::{Call, CallError};
use crate::fleet::{Fleet, FleetBuilder, RULES};
use crate::outcome::{
    Told, begun, check_settled, echoed, keyed, order, start, stream, streamed, tell, told,
};

/// Time for an entry to learn of a fault of the log.
const NOTICE: Duration = Duration::from_millis(500);

async fn fleet() -> Fleet {
    let plan = FleetBuilder::entries(2).targets("orders", 2, 4);
    plan.targets("model", 1, 4).start().await
}

async fn fault(fleet: &Fleet, mode: &str) {
    let order = json!({"mode": mode, "ms": 1_000}).to_string();
    fleet
        .call_ok(fleet.platform, Call::post("/fault/log", order))
        .await;
}

async fn outage(fleet: &Fleet) {
    let order = json!({"mode": "down"}).to_string();
    fleet
        .call_ok(fleet.platform, Call::post("/fault/log", order))
        .await;
    tokio::time::sleep(NOTICE).await;
}

fn unavailable() -> Told {
    Told::NotRun(503, "log_unavailable".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_refuses_keyed_orders_alone() {
    let fleet = fleet().await;
    outage(&fleet).await;
    for entry in 0..2 {
        assert_eq!(tell(&fleet, entry, keyed("keyed", 5)).await, unavailable());
        let id = format!("order-{entry}");
        assert_eq!(tell(&fleet, entry, order(&id, 5)).await, echoed(&id));
        let model = stream("model", 3, 5).header("idempotency-key", "model");
        assert_eq!(tell(&fleet, entry, model).await, streamed("model", 3));
    }
    check_settled(&fleet, "keyed", &unavailable()).await;
    fault(&fleet, "ok").await;
    tokio::time::sleep(NOTICE).await;
    assert_eq!(tell(&fleet, 1, keyed("keyed", 5)).await, echoed("keyed"));
    assert_eq!(fleet.run_count("keyed").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_during_an_order_does_not_concern_it() {
    let fleet = fleet().await;
    let call = start(&fleet, 0, keyed("running", 1_000));
    begun(&fleet, "running").await;
    outage(&fleet).await;
    assert_eq!(told(call).await, echoed("running"));
    // The claim was read before the outage, so it still guards the key.
    assert_eq!(
        tell(&fleet, 1, keyed("running", 1_000)).await,
        echoed("running")
    );
    assert_eq!(fleet.run_count("running").await, 1);
}

/// Keyed orders while the log has a fault, and their repeats once it is healed.
async fn orders_under(mode: &'static str) {
    let fleet = fleet().await;
    fault(&fleet, mode).await;
    let ids: Vec<String> = (0..12).map(|number| format!("under-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| start(&fleet, number % 2, keyed(id, 20)))
        .collect();
    let mut first = Vec::new();
    for call in calls {
        first.push(told(call).await);
    }
    for (id, told) in ids.iter().zip(&first) {
        told.check(id, fleet.run_count(id).await);
        let expected = match mode {
            "lose_requests" => unavailable(),
            _ => echoed(id),
        };
        assert_eq!(*told, expected, "{id}");
    }
    fault(&fleet, "ok").await;
    for (number, id) in ids.iter().enumerate() {
        assert_eq!(tell(&fleet, number % 2, keyed(id, 20)).await, echoed(id));
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

macro_rules! orders_under {
    ($($name:ident: $mode:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                orders_under($mode).await;
            }
        )*
    };
}

orders_under! {
    orders_under_a_slow_log_run_once: "slow";
    orders_whose_appends_lose_their_answers_run_once: "lose_answers";
    orders_whose_appends_are_lost_are_refused: "lose_requests";
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_repeats_under_lost_answers_run_once() {
    let fleet = fleet().await;
    fault(&fleet, "lose_answers").await;
    let mut calls = Vec::new();
    for number in 0..12 {
        let id = format!("race-{number}");
        for entry in [0, 1, 0, 1] {
            calls.push((id.clone(), start(&fleet, entry, keyed(&id, 20))));
        }
    }
    for (id, call) in calls {
        assert_eq!(told(call).await, echoed(&id));
        assert_eq!(fleet.run_count(&id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_while_answers_are_lost_leaves_its_order_run_once() {
    let mut fleet = fleet().await;
    fault(&fleet, "lose_answers").await;
    let call = start(&fleet, 0, keyed("both", 1_000));
    begun(&fleet, "both").await;
    fleet.entries[0].process.kill();
    assert!(matches!(told(call).await, Told::Nothing(_)));
    let told = tell(&fleet, 1, keyed("both", 1_000)).await;
    assert_eq!(told, Told::Unknown(409, "claimed_elsewhere".to_owned()));
    check_settled(&fleet, "both", &told).await;
    assert_eq!(fleet.run_count("both").await, 1);
}

/// The sample rules with another service, as an edit of their first version.
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

async fn version(fleet: &Fleet, entry: usize) -> u64 {
    let status = Call::get("/status");
    let reply = fleet.caller.call(fleet.entries[entry].admin, status).await;
    let reply = reply.expect("an entry shows its status").json();
    reply["rules"]["version"]
        .as_u64()
        .expect("a version is a number")
}

async fn both_at(fleet: &Fleet, asked: u64) -> bool {
    version(fleet, 0).await == asked && version(fleet, 1).await == asked
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_outlasts_faults_of_the_log() {
    let fleet = fleet().await;
    fault(&fleet, "lose_answers").await;
    let append = Call::post("/log/rules", edit());
    let reply = fleet.caller.call(fleet.platform, append.clone()).await;
    assert!(matches!(reply, Err(CallError::NoResponse(_))));
    // The operator cannot tell whether the edit landed, and sends it again.
    fault(&fleet, "ok").await;
    let again = fleet.caller.call(fleet.platform, append).await;
    assert_eq!(again.expect("the log answers").status, 200);
    await_until("the new rules", || both_at(&fleet, 2)).await;
    for mode in ["slow", "down"] {
        fault(&fleet, mode).await;
        tokio::time::sleep(2 * NOTICE).await;
        assert!(both_at(&fleet, 2).await, "{mode}");
    }
    fault(&fleet, "ok").await;
    tokio::time::sleep(2 * NOTICE).await;
    assert!(both_at(&fleet, 2).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_before_an_outage_ends_is_in_force_after_it() {
    let fleet = fleet().await;
    fault(&fleet, "slow").await;
    let append = Call::post("/log/rules", edit());
    let reply = fleet.caller.call(fleet.platform, append).await;
    assert_eq!(reply.expect("the log answers").status, 200);
    outage(&fleet).await;
    fault(&fleet, "ok").await;
    await_until("the new rules", || both_at(&fleet, 2)).await;
}
