//! What entries learn from each other, as separate processes.

mod common;
mod fleet;

use balsampitch::rules::change::Change;
use balsampitch::rules::record::TextDigest;
use balsampitch::rules::{Edit, EditId, Record};
use common::await_until;
use common::http::Call;
use fleet::{Fleet, Plan, RULES};
use serde_json::Value;

/// What an entry tells at a path of its admin address.
async fn admin(fleet: &Fleet, entry: usize, path: &str) -> Value {
    let at = fleet.entries[entry].admin;
    match fleet.caller.call(at, Call::get(path)).await {
        Ok(reply) if reply.status == 200 => reply.json(),
        _ => Value::Null,
    }
}

async fn version(fleet: &Fleet, entry: usize) -> Option<u64> {
    admin(fleet, entry, "/status").await["rules"]["version"].as_u64()
}

async fn await_version(fleet: &Fleet, entry: usize, wanted: u64) {
    await_until("the version", || async {
        version(fleet, entry).await == Some(wanted)
    })
    .await;
}

async fn set_log(fleet: &Fleet, mode: &str) {
    let order = format!(r#"{{"mode":"{mode}"}}"#);
    let call = Call::post("/fault/log", order);
    fleet.order(fleet.platform, call).await;
}

/// Applies the next version of the rules.
async fn apply(fleet: &Fleet, base: u64, before: &str, after: &str) {
    let edit = Edit {
        id: EditId::random(),
        base,
        author: "tests".into(),
        change: Change::between(before, after),
        digest: TextDigest::of(after),
    };
    let call = Call::post("/log/rules", Record::Edit(edit).encode());
    fleet.order(fleet.platform, call).await;
}

async fn serves(fleet: &Fleet, entry: usize, body: &'static str) {
    let call = Call::post("/model/run?ms=5", body).key("school-key");
    let reply = fleet.call(entry, call).await.expect("the entry answers");
    assert_eq!((reply.status, reply.text()), (200, body.to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_takes_its_peers_rules() {
    let mut fleet = Plan::entries(2).targets("model", 1, 4).start().await;
    let second = format!("{RULES}service extra slots=1 # tests\n");
    apply(&fleet, 1, RULES, &second).await;
    for entry in 0..2 {
        await_version(&fleet, entry, 2).await;
    }
    set_log(&fleet, "down").await;
    fleet.restart_entry(1).await;

    assert_eq!(version(&fleet, 1).await, Some(2));
    assert_eq!(
        admin(&fleet, 1, "/status").await["rules"]["confirmed"],
        false
    );
    serves(&fleet, 1, "in the outage").await;

    set_log(&fleet, "ok").await;
    await_until("the log to confirm the version", || async {
        let status = admin(&fleet, 1, "/status").await;
        assert!(
            status["rules"]["version"].as_u64().is_none_or(|v| v >= 2),
            "{status}"
        );
        status["rules"]["confirmed"] == true
    })
    .await;
    assert_eq!(version(&fleet, 1).await, Some(2));
    serves(&fleet, 1, "after the outage").await;
}
