//! Fleets of separate processes, as they run on their hosts.

mod common;
mod fleet;

use common::http::{Call, Reply};
use common::process::Signal;
use fleet::FleetBuilder;

const KEYS: [&str; 2] = ["school-key", "club-key"];

/// A call that needs `number` to be told from others, and the answer to it.
fn numbered(number: usize) -> (Call, String) {
    let body = format!("request {number} {}", "tile ".repeat(number % 40));
    let key = KEYS[number / 2 % KEYS.len()];
    if number.is_multiple_of(2) {
        let call = Call::post(format!("/model/run?ms={}", 20 + number % 50), body.clone());
        return (call.key(key), body);
    }
    let chunks = 5 + number % 10;
    let answer = (1..=chunks)
        .map(|chunk| format!("{body} {chunk}\n"))
        .collect();
    let call = Call::post(format!("/model/stream?chunks={chunks}&ms=10"), body);
    (call.key(key), answer)
}

fn assert_whole(reply: &Reply, answer: &str) {
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(reply.headers.contains_key("x-request-id"));
    assert_eq!(reply.text(), answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_by_separate_processes() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 1, 4)
        .targets("orders", 1, 2)
        .start()
        .await;
    for (call, answer) in [numbered(0), numbered(1)] {
        let reply = fleet.call(0, call).await.expect("the entry answers");
        assert_whole(&reply, &answer);
    }
    let order = Call::post("/orders/run?ms=5", "order-1").key("club-key");
    let reply = fleet.call(0, order).await.expect("the entry answers");
    assert_whole(&reply, "order-1");
    assert_eq!(fleet.run_count("order-1").await, 1);

    let seen = Call::get("/model/headers").key("school-key");
    let seen = fleet.call(0, seen).await.expect("the entry answers").text();
    assert!(seen.contains("x-balsampitch-account: school\n"), "{seen}");
    assert!(seen.contains("x-request-id: "), "{seen}");
    assert!(!seen.contains("school-key"), "{seen}");

    let wrong = Call::post("/model/run", "x").key("wrong-key");
    let reply = fleet.call(0, wrong).await.expect("the entry answers");
    assert_eq!(
        (reply.status, &reply.json()["execution"]),
        (401, &"not_run".into())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_offered_before_the_rules_are_used_after_them() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 1, 4)
        .without_rules()
        .start()
        .await;
    fleet.apply_rules().await;
    let (call, answer) = numbered(0);
    let reply = fleet.call(0, call).await.expect("the entry answers");
    assert_whole(&reply, &answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_get_their_own_whole_answers() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 5, 4)
        .start()
        .await;
    let calls: Vec<_> = (0..500)
        .map(|number| {
            let (call, answer) = numbered(number);
            let to = fleet.entries[number / 4 % fleet.entries.len()].callers;
            let caller = fleet.caller.clone();
            tokio::spawn(async move { (caller.call(to, call).await, answer) })
        })
        .collect();
    let mut wrong = Vec::new();
    for (number, call) in calls.into_iter().enumerate() {
        match call.await.expect("a call does not panic") {
            (Ok(reply), answer) if reply.status == 200 && reply.text() == answer => {}
            (other, _) => wrong.push((number, other.map(|reply| (reply.status, reply.text())))),
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of 500: {:?}",
        wrong.len(),
        wrong.first()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_entry_finishes_its_streams() {
    let mut fleet = FleetBuilder::entries(2)
        .targets("model", 2, 4)
        .start()
        .await;
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let body = format!("stream {number}");
            let answer: String = (1..=20).map(|chunk| format!("{body} {chunk}\n")).collect();
            let call = Call::post("/model/stream?chunks=20&ms=100", body).key("school-key");
            let (caller, to) = (fleet.caller.clone(), fleet.entries[0].callers);
            tokio::spawn(async move { (caller.call(to, call).await, answer) })
        })
        .collect();
    for number in 0..4 {
        let id = format!("stream%20{number}");
        common::await_until("the streams to run", || async {
            fleet.run_count(&id).await == 1
        })
        .await;
    }
    fleet.entries[0].process.signal(Signal::Term);
    for stream in streams {
        let (reply, answer) = stream.await.expect("the caller is done");
        assert_whole(&reply.expect("no stream is cut off"), &answer);
    }
    let status = fleet.entries[0].process.wait().await;
    assert!(
        status.success(),
        "{status}: {}",
        fleet.entries[0].process.output()
    );

    let (call, answer) = numbered(0);
    let reply = fleet.call(1, call).await.expect("the other entry answers");
    assert_whole(&reply, &answer);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_orders_carry_growing_fencing_numbers() {
    let plan = FleetBuilder::entries(2).targets("orders", 1, 2).fenced();
    let fleet = plan.start().await;
    let mut fences = Vec::new();
    for number in 0..4 {
        let order = Call::post("/orders/headers", format!("order-{number}"))
            .key("club-key")
            .header("idempotency-key", format!("fence-{number}"));
        let reply = fleet.call(number % 2, order).await;
        let seen = reply.expect("the entry answers").text();
        let fence = seen
            .lines()
            .find_map(|l| l.strip_prefix("x-balsampitch-fence: "));
        let fence: u64 = fence
            .expect("a fence comes")
            .parse()
            .expect("it is a number");
        fences.push(fence);
    }
    assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
}
