//! From a failed request's id to its cause, as the page for operators shows it: with the log alone.

use std::sync::{Arc, OnceLock};

use balsampitch::telemetry::logs::JsonLines;
use serde_json::Value;
use spdlog::sink::WriteSink;

use crate::target::{Say, Target};
use crate::world::{KEY, World};

/// The log of all gateways in this process.
fn log() -> &'static Arc<WriteSink<Vec<u8>>> {
    static LOG: OnceLock<Arc<WriteSink<Vec<u8>>>> = OnceLock::new();
    LOG.get_or_init(|| {
        let sink = WriteSink::builder().target(Vec::new()).formatter(JsonLines);
        let sink = sink.build_arc().expect("the sink is complete");
        let logger = spdlog::Logger::builder().sink(sink.clone()).build_arc();
        spdlog::set_default_logger(logger.expect("the logger is complete"));
        sink
    })
}

/// The lines whose field has this value, oldest first.
fn lines(field: &str, value: &str) -> Vec<Value> {
    let text = String::from_utf8(log().clone_target()).expect("lines are text");
    let all = text.lines().map(serde_json::from_str::<Value>);
    let all = all.map(|line| line.expect("a line is JSON"));
    all.filter(|line| line["fields"][field] == value).collect()
}

/// The only line of this kind about a request.
fn line(id: &str, message: &str) -> Value {
    let mut found = lines("request", id);
    found.retain(|line| line["message"] == message);
    assert_eq!(found.len(), 1, "{message}: {found:?}");
    found.remove(0)["fields"].take()
}

fn number(fields: &Value, field: &str) -> u64 {
    let text = fields[field].as_str().unwrap_or_default();
    text.parse().unwrap_or_else(|_| panic!("{field}: {fields}"))
}

#[tokio::test]
async fn refused_because_its_account_had_its_share() {
    log();
    let target = Target::start(&[Say::Hang]).await;
    let world = World::before(&[&target]).await.paced(3_000.0).await;
    let prompt = "Token-Count: 300,5000\r\nPrompt-Prefix: 1:300\r\n";
    let headers = format!("Authorization: Bearer {KEY}\r\n{prompt}");
    let _first = world.send("POST", "/read/1", &headers).await;
    world.until(|_| target.count() == 1).await;
    assert_eq!(
        world.call_as("walk-share", "/read/1", prompt).await.status,
        503
    );
    let fields = line("walk-share", "refused");
    assert_eq!(
        (&fields["standing"], &fields["account"]),
        (&"Sated".into(), &"school".into())
    );
    assert!(number(&fields, "pressure_ms") * 8 > number(&fields, "aim_ms"));
}

#[tokio::test]
async fn refused_because_its_targets_were_busy() {
    log();
    let target = Target::start(&[Say::Hang]).await;
    let world = World::before(&[&target]).await.paced(60_000.0).await;
    let prompt = "Token-Count: 30000,10\r\nPrompt-Prefix: 1:30000\r\n";
    let headers = format!("Authorization: Bearer {KEY}\r\n{prompt}");
    let _first = world.send("POST", "/read/1", &headers).await;
    world.until(|_| target.count() == 1).await;
    assert_eq!(
        world.call_as("walk-busy", "/read/1", prompt).await.status,
        503
    );
    let fields = line("walk-busy", "refused");
    assert_eq!(fields["standing"], "Owed");
    assert!(number(&fields, "expected_ms") > number(&fields, "aim_ms"));
    assert!(number(&fields, "wait_ms") > 0);
}

#[tokio::test]
async fn refused_because_no_target_was_left() {
    log();
    let target = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&target]).await;
    world.lists.put_target("t0", target.addr, true);
    let leaves = |gateway: &balsampitch::gateway::state::GatewayState| {
        gateway.with_targets(|targets| targets.iter().all(|target| target.entry.draining))
    };
    world.until(leaves).await;
    assert_eq!(world.call_as("walk-none", "/read/1", "").await.status, 503);
    let fields = line("walk-none", "refused");
    assert_eq!(
        (&fields["reason"], number(&fields, "expected_ms")),
        (&"NoCapacity".into(), 0)
    );
    let left = lines("target", "t0");
    let left = left
        .iter()
        .filter(|line| line["message"] == "target listed");
    assert!(
        left.into_iter()
            .any(|line| line["fields"]["leaving"] == "true")
    );
}

#[tokio::test]
async fn late_because_its_target_was_slower_than_known() {
    log();
    let target = Target::start(&[Say::LateEvents]).await;
    let world = World::before(&[&target]).await;
    assert!(world.call_as("walk-late", "/stream/1", "").await.whole);
    let fields = line("walk-late", "late");
    assert_eq!(fields["target"], "t0");
    assert!(number(&fields, "after_ms") > number(&fields, "aim_ms"));
    assert!(number(&fields, "after_ms") > 2 * number(&fields, "expected_ms"));
    assert!(number(&fields, "sent_ms") < 100);
}

#[tokio::test]
async fn failed_because_its_target_broke_the_connection() {
    log();
    let target = Target::start(&[Say::Reset]).await;
    let world = World::before(&[&target]).await;
    assert_eq!(
        world.call_as("walk-broken", "/order/1", "").await.status,
        502
    );
    let fields = line("walk-broken", "try failed");
    assert_eq!(
        (&fields["target"], &fields["failure"]),
        (&"t0".into(), &"Broken".into())
    );
    let fields = line("walk-broken", "given up");
    assert_eq!(
        (&fields["status"], &fields["execution"]),
        (&"502".into(), &"Unknown".into())
    );
}

#[tokio::test]
async fn cut_because_its_targets_stream_ended_early() {
    log();
    let target = Target::start(&[Say::CutEvents]).await;
    let world = World::before(&[&target]).await;
    assert!(!world.call_as("walk-cut", "/stream/1", "").await.whole);
    let fields = line("walk-cut", "stream broken off");
    assert_eq!(fields["begun"], "true");
    assert_eq!(fields["cause"], "the target's stream broke off");
}

#[tokio::test]
async fn no_line_tells_a_key() {
    log();
    let target = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&target]).await;
    world.call_as("walk-key", "/read/1", "").await;
    let stranger = "Authorization: Bearer stranger-key\r\n";
    assert_eq!(
        world.call_with("GET", "/read/1", stranger).await.status,
        401
    );
    let text = String::from_utf8(log().clone_target()).expect("lines are text");
    assert!(!text.contains(KEY) && !text.contains("stranger-key"));
}
