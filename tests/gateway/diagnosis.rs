//! The log alone must lead from the id of a failed request to the cause of the failure, by the
//! steps of the operators' guide.

use std::sync::{Arc, OnceLock};

use balsampitch::telemetry::logs::JsonLines;
use serde_json::Value;
use spdlog::sink::WriteSink;

use crate::harness::{KEY, TestGateway};
use crate::target::{Behaviour, Target};

/// Captures the log of all gateways in this process.
pub fn log() -> &'static Arc<WriteSink<Vec<u8>>> {
    static LOG: OnceLock<Arc<WriteSink<Vec<u8>>>> = OnceLock::new();
    LOG.get_or_init(|| {
        let sink = WriteSink::builder().target(Vec::new()).formatter(JsonLines);
        let sink = sink.build_arc().expect("the sink is complete");
        let logger = spdlog::Logger::builder().sink(sink.clone()).build_arc();
        spdlog::set_default_logger(logger.expect("the logger is complete"));
        sink
    })
}

/// Returns the lines in which a field has this value, oldest first.
pub fn lines(field: &str, value: &str) -> Vec<Value> {
    let text = String::from_utf8(log().clone_target()).expect("lines are text");
    let all = text.lines().map(serde_json::from_str::<Value>);
    let all = all.map(|line| line.expect("a line is JSON"));
    all.filter(|line| line["fields"][field] == value).collect()
}

/// Returns the fields of the only line with this message about a request.
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
async fn refused_because_the_account_reached_its_share() {
    log();
    let target = Target::start(&[Behaviour::Hang]).await;
    let gateway = TestGateway::start_with_targets(&[&target])
        .await
        .with_token_rate(3_000.0)
        .await;
    let prompt = "Token-Count: 300,5000\r\nPrompt-Prefix: 1:300\r\n";
    let headers = format!("Authorization: Bearer {KEY}\r\n{prompt}");
    let _first = gateway.send("POST", "/read/1", &headers).await;
    gateway.wait_until(|_| target.count() == 1).await;
    assert_eq!(
        gateway
            .call_with_id("diag-share", "/read/1", prompt)
            .await
            .status,
        429
    );
    let fields = line("diag-share", "refused");
    assert_eq!(
        (&fields["standing"], &fields["account"]),
        (&"Sated".into(), &"school".into())
    );
    assert!(number(&fields, "pressure_ms") * 8 > number(&fields, "aim_ms"));
}

#[tokio::test]
async fn refused_because_the_targets_were_busy() {
    log();
    let target = Target::start(&[Behaviour::Hang]).await;
    let gateway = TestGateway::start_with_targets(&[&target])
        .await
        .with_token_rate(60_000.0)
        .await;
    let prompt = "Token-Count: 30000,10\r\nPrompt-Prefix: 1:30000\r\n";
    let headers = format!("Authorization: Bearer {KEY}\r\n{prompt}");
    let _first = gateway.send("POST", "/read/1", &headers).await;
    gateway.wait_until(|_| target.count() == 1).await;
    assert_eq!(
        gateway
            .call_with_id("diag-busy", "/read/1", prompt)
            .await
            .status,
        503
    );
    let fields = line("diag-busy", "refused");
    assert_eq!(fields["standing"], "Owed");
    assert!(number(&fields, "expected_ms") > number(&fields, "aim_ms"));
    assert!(number(&fields, "wait_ms") > 0);
}

#[tokio::test]
async fn refused_because_no_target_was_available() {
    log();
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    gateway.directory.put_target("t0", target.addr, true);
    let drained = |state: &balsampitch::gateway::state::GatewayState| {
        state.with_targets(|targets| targets.iter().all(|target| target.entry.draining))
    };
    gateway.wait_until(drained).await;
    assert_eq!(
        gateway
            .call_with_id("diag-none", "/read/1", "")
            .await
            .status,
        503
    );
    let fields = line("diag-none", "refused");
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
async fn late_because_the_target_was_slower_than_expected() {
    log();
    let target = Target::start(&[Behaviour::LateEvents]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    assert!(
        gateway
            .call_with_id("diag-late", "/stream/1", "")
            .await
            .complete
    );
    let fields = line("diag-late", "late");
    assert_eq!(fields["target"], "t0");
    assert!(number(&fields, "after_ms") > number(&fields, "aim_ms"));
    assert!(number(&fields, "after_ms") > 2 * number(&fields, "expected_ms"));
    assert!(number(&fields, "sent_ms") < 100);
}

#[tokio::test]
async fn failed_because_the_target_closed_the_connection() {
    log();
    let target = Target::start(&[Behaviour::Reset]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    assert_eq!(
        gateway
            .call_with_id("diag-broken", "/order/1", "")
            .await
            .status,
        502
    );
    let fields = line("diag-broken", "try failed");
    assert_eq!(
        (&fields["target"], &fields["failure"]),
        (&"t0".into(), &"Broken".into())
    );
    let fields = line("diag-broken", "given up");
    assert_eq!(
        (&fields["status"], &fields["execution"]),
        (&"502".into(), &"Unknown".into())
    );
}

#[tokio::test]
async fn cut_because_the_stream_of_the_target_ended_early() {
    log();
    let target = Target::start(&[Behaviour::TruncatedEvents]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    assert!(
        !gateway
            .call_with_id("diag-cut", "/stream/1", "")
            .await
            .complete
    );
    let fields = line("diag-cut", "stream broken off");
    assert_eq!(fields["begun"], "true");
    assert_eq!(fields["cause"], "the target's stream broke off");
}

#[tokio::test]
async fn no_line_contains_a_key() {
    log();
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    gateway.call_with_id("diag-key", "/read/1", "").await;
    let stranger = "Authorization: Bearer stranger-key\r\n";
    assert_eq!(
        gateway.call_with("GET", "/read/1", stranger).await.status,
        401
    );
    let text = String::from_utf8(log().clone_target()).expect("lines are text");
    assert!(!text.contains(KEY) && !text.contains("stranger-key"));
}
