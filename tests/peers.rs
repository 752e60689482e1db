//! What entries learn from each other, as separate processes.

mod common;
mod fleet;

use balsampitch::rules::change::Change;
use balsampitch::rules::record::TextDigest;
use balsampitch::rules::{Edit, EditId, Record};
use common::await_until;
use common::http::Call;
use fleet::{Fleet, FleetBuilder, RULES};
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
    fleet.call_ok(fleet.platform, call).await;
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
    fleet.call_ok(fleet.platform, call).await;
}

async fn serves(fleet: &Fleet, entry: usize, body: &'static str) {
    let call = Call::post("/model/run?ms=5", body).key("school-key");
    let reply = fleet.call(entry, call).await.expect("the entry answers");
    assert_eq!((reply.status, reply.text()), (200, body.to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_takes_its_peers_rules() {
    let mut fleet = FleetBuilder::entries(2)
        .targets("model", 1, 4)
        .start()
        .await;
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

/// A line of the agent's status.
async fn agent(fleet: &Fleet, index: usize) -> Value {
    let call = Call::get("/status");
    match fleet.caller.call(fleet.targets[index].admin, call).await {
        Ok(reply) => reply.json()["core"].clone(),
        Err(_) => Value::Null,
    }
}

async fn await_slots(fleet: &Fleet, wanted: u64) {
    await_until("the slots", || async {
        agent(fleet, 0).await["slots"] == wanted
    })
    .await;
}

/// Starts a call that runs for a while, and gives its answer when it ends.
fn begin(fleet: &Fleet, entry: usize, body: &str) -> tokio::task::JoinHandle<u16> {
    let call = Call::post("/model/run?ms=500", body.to_owned()).key("school-key");
    let (caller, to) = (fleet.caller.clone(), fleet.entries[entry].callers);
    tokio::spawn(async move {
        let reply = caller.call(to, call).await;
        reply.expect("the entry answers").status
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_follow_the_rules_up_to_those_of_the_settings() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 1, 6)
        .start()
        .await;
    await_slots(&fleet, 4).await;
    let one = RULES.replace("service model slots=4", "service model slots=1");
    apply(&fleet, 1, RULES, &one).await;
    await_slots(&fleet, 1).await;

    let calls: Vec<_> = (0..4)
        .map(|n| begin(&fleet, n % 2, &format!("limited {n}")))
        .collect();
    while !calls.iter().all(|call| call.is_finished()) {
        let busy = agent(&fleet, 0).await["busy"].clone();
        assert!(busy.as_u64().is_some_and(|busy| busy <= 1), "{busy}");
        tokio::time::sleep(common::POLL_INTERVAL).await;
    }
    for call in calls {
        assert_eq!(call.await.expect("the caller is done"), 200);
    }

    let many = RULES.replace("service model slots=4", "service model slots=40");
    apply(&fleet, 2, &one, &many).await;
    await_slots(&fleet, 6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_out_of_the_rules_gets_no_work_until_it_is_back() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 1, 1)
        .start()
        .await;
    let running = begin(&fleet, 0, "running");
    await_until("it to run", || async {
        fleet.run_count("running").await == 1
    })
    .await;
    let waiting = begin(&fleet, 0, "waiting");
    await_until("it to wait", || async {
        admin(&fleet, 0, "/status").await["desk"]["services"][0]["waiting"] == 1
    })
    .await;
    let without: String = RULES
        .lines()
        .filter(|line| !line.starts_with("service model"))
        .map(|line| format!("{line}\n"))
        .collect();
    apply(&fleet, 1, RULES, &without).await;
    await_slots(&fleet, 0).await;

    assert_eq!(running.await.expect("the caller is done"), 200);
    let refused = Call::post("/model/run", "refused").key("school-key");
    let refused = fleet.call(0, refused).await.expect("the entry answers");
    assert_eq!(
        (refused.status, &refused.json()["execution"]),
        (404, &"not_run".into())
    );
    assert_eq!(fleet.run_count("waiting").await, 0);

    apply(&fleet, 2, &without, RULES).await;
    assert_eq!(waiting.await.expect("the caller is done"), 200);
    assert_eq!(fleet.run_count("waiting").await, 1);
}

/// How many targets a request has crashed: those that are away, or were.
async fn crashes(fleet: &Fleet, body: &str) -> u64 {
    let mut sum = 0;
    for host in &fleet.targets {
        let call = Call::get(format!("/count?id={body}"));
        await_until("the target to be back", || async {
            fleet.caller.call(host.address, call.clone()).await.is_ok()
        })
        .await;
        let reply = fleet.caller.call(host.address, call).await;
        let text = reply.expect("the target is back").text();
        sum += text.parse::<u64>().expect("a count is a number");
    }
    sum
}

async fn await_sightings(fleet: &Fleet, entry: usize, wanted: u64) {
    await_until("the entry to know", || async {
        admin(fleet, entry, "/status").await["sightings"].as_u64() >= Some(wanted)
    })
    .await;
}

/// Sends a request that crashes its target, and gives status and reason of the refusal.
async fn poison(fleet: &Fleet, entry: usize, service: &str) -> (u16, Value) {
    let call = Call::post(format!("/{service}/crash"), "poison").key("club-key");
    let reply = fleet.call(entry, call).await.expect("the entry answers");
    (reply.status, reply.json()["reason"].clone())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_is_refused_by_all_entries() {
    let mut fleet = FleetBuilder::entries(3)
        .targets("model", 5, 2)
        .start()
        .await;
    poison(&fleet, 0, "model").await;
    assert_eq!(
        poison(&fleet, 0, "model").await,
        (503, "quarantined".into())
    );
    for entry in [1, 2] {
        await_sightings(&fleet, entry, 2).await;
        assert_eq!(
            poison(&fleet, entry, "model").await,
            (503, "quarantined".into())
        );
    }
    assert!((1..=2).contains(&crashes(&fleet, "poison").await));

    fleet.restart_entry(1).await;
    await_sightings(&fleet, 1, 2).await;
    assert_eq!(
        poison(&fleet, 1, "model").await,
        (503, "quarantined".into())
    );
    assert!((1..=2).contains(&crashes(&fleet, "poison").await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_by_one_entry_and_a_trial_by_another_are_all() {
    let fleet = FleetBuilder::entries(2)
        .targets("orders", 4, 2)
        .start()
        .await;
    assert_eq!(poison(&fleet, 0, "orders").await.0, 502);
    await_sightings(&fleet, 1, 1).await;
    poison(&fleet, 1, "orders").await;
    for entry in [1, 0] {
        await_sightings(&fleet, entry, 2).await;
        assert_eq!(
            poison(&fleet, entry, "orders").await,
            (503, "quarantined".into())
        );
    }
    assert!((1..=2).contains(&crashes(&fleet, "poison").await));
}
