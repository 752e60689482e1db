//! Status pages, log lines and traces of a running fleet, and the secrets that must not be in them.

mod common;
mod fleet;

use common::await_until;
use common::collector::Collector;
use common::http::Call;
use common::process::Signal;
use fleet::{Fleet, FleetBuilder, SECRET};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn admin_page(fleet: &Fleet, admin: std::net::SocketAddr, path: &str) -> String {
    let reply = fleet.caller.call(admin, Call::get(path)).await;
    reply.expect("the process answers").text()
}

/// Value of an event counter of the first entry.
async fn event_count(fleet: &Fleet, event: &str) -> u64 {
    let text = admin_page(fleet, fleet.entries[0].admin, "/status").await;
    let status: Value = serde_json::from_str(&text).expect("the status is JSON");
    let count = status["metrics"]["events"][event].as_u64();
    count.expect("the event is counted")
}

macro_rules! bad_peers {
    ($($name:ident: $bytes:expr => $event:literal;)+) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let fleet = FleetBuilder::entries(1).targets("model", 1, 1).start().await;
            let before = event_count(&fleet, $event).await;
            let mut stream = TcpStream::connect(fleet.entries[0].peer).await.expect("the entry listens");
            stream.write_all($bytes).await.expect("the connection accepts bytes");
            await_until("the event count to rise", || async { event_count(&fleet, $event).await > before }).await;
            let call = Call::post("/model/run", "still served").key("school-key");
            let reply = fleet.call(0, call).await.expect("the entry answers");
            assert_eq!(reply.status, 200);
        }
    )+};
}

bad_peers! {
    oversized_frame_is_counted: &[255, 255, 255, 255, 1] => "malformed_frames";
    malformed_frame_is_counted: &[0, 0, 0, 3, 2, 9, 9] => "malformed_frames";
    other_protocol_version_is_counted: &[0, 0, 0, 3, 1, 9, 9] => "refused_connections";
    connection_receive_timeout_is_counted: &[0, 0] => "silences";
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_exchange_counts_and_accepted_records() {
    let fleet = FleetBuilder::entries(2).start().await;
    await_until("a received datagram", || async {
        let text = admin_page(&fleet, fleet.entries[0].admin, "/status").await;
        let status: Value = serde_json::from_str(&text).expect("the status is JSON");
        status["exchange"]["counts"]["received"].as_u64() > Some(0)
            && status["rules"]["records"]["accepted"] == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn state_changes_are_logged() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("model", 1, 1)
        .start()
        .await;
    let down = Call::post("/fault/log", r#"{"mode":"down"}"#);
    fleet.call_ok(fleet.platform, down).await;
    await_until("a line", || async {
        fleet.entries[0].process.output().contains("log out")
    })
    .await;
    assert!(event_count(&fleet, "log_failures").await > 0);
    let up = Call::post("/fault/log", r#"{"mode":"ok"}"#);
    fleet.call_ok(fleet.platform, up).await;
    await_until("a line", || async {
        fleet.entries[0].process.output().contains("log back")
    })
    .await;
    let down = Call::post("/fault/hosts", r#"{"mode":"down"}"#);
    fleet.call_ok(fleet.platform, down).await;
    await_until("a failed read of the host list", || async {
        event_count(&fleet, "hosts_failures").await > 0
    })
    .await;
    fleet.targets[0].agent.signal(Signal::Term);
    fleet.targets[0].agent.wait().await;
    await_until("a line", || async {
        fleet.entries[0].process.output().contains("agent down")
    })
    .await;
    fleet.entries[0].process.signal(Signal::Term);
    fleet.entries[0].process.wait().await;
    let log = fleet.entries[0].process.output();
    for expected in ["rules in force", "version=1", "agent up", "draining"] {
        assert!(log.contains(expected), "no {expected:?} in {log}");
    }
    let log = fleet.targets[0].agent.output();
    for expected in ["entry up", "draining"] {
        assert!(log.contains(expected), "no {expected:?} in {log}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_bodies_and_secrets_are_not_exposed() {
    let secrets = [
        SECRET,
        "school-key",
        "club-key",
        "wrong-key",
        "idempotency-1",
        "body-of-order",
    ];
    let mut collector = Collector::start().await;
    let builder = FleetBuilder::entries(1).targets("orders", 1, 2);
    let mut fleet = builder.collector(collector.address).start().await;
    let admin = fleet.entries[0].admin;
    let mut outputs = Vec::new();
    for (key, path) in [
        ("school-key", "run"),
        ("wrong-key", "run"),
        ("club-key", "crash"),
    ] {
        let call = Call::post(format!("/orders/{path}"), "body-of-order").key(key);
        let call = call.header("idempotency-key", "idempotency-1");
        let reply = fleet.call(0, call).await.expect("the entry answers");
        let id = reply.headers["x-request-id"].to_str().expect("text");
        outputs.push(admin_page(&fleet, admin, &format!("/explain/{id}")).await);
    }
    for path in ["/status", "/shares"] {
        outputs.push(admin_page(&fleet, admin, path).await);
    }
    outputs.push(admin_page(&fleet, fleet.targets[0].admin, "/status").await);

    let (entry, agent) = (&mut fleet.entries[0].process, &mut fleet.targets[0].agent);
    entry.signal(Signal::Term);
    entry.wait().await;
    agent.signal(Signal::Term);
    agent.wait().await;
    outputs.extend([entry.output(), agent.output()]);
    assert!(outputs.iter().any(|text| text.contains("school")));
    for word in secrets {
        let found = outputs.iter().find(|text| text.contains(word));
        assert!(
            found.is_none(),
            "{word:?} in {}",
            found.expect("one is found")
        );
    }
    let mut traces = 0;
    while let Ok(export) = collector.exports.try_recv() {
        traces += u32::from(export.path == "/v1/traces");
        let found = secrets.iter().find(|word| export.contains(word));
        assert!(found.is_none(), "{found:?} in an export to {}", export.path);
    }
    assert!(traces >= 2, "{traces}");
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_responses_with_content_length_count_as_whole() {
    const CALLS: u64 = 200;
    let fleet = FleetBuilder::entries(1)
        .targets("model", 1, 4)
        .start()
        .await;
    for _ in 0..CALLS {
        let call = Call::post("/model/run", "of known length").key("school-key");
        let reply = fleet.call(0, call).await.expect("the entry answers");
        assert_eq!(
            (reply.status, reply.text()),
            (200, "of known length".to_owned())
        );
        assert!(reply.headers.contains_key("content-length"));
    }
    let request_counts = async || {
        let text = admin_page(&fleet, fleet.entries[0].admin, "/status").await;
        let status: Value = serde_json::from_str(&text).expect("the status is JSON");
        let requests = &status["metrics"]["requests"];
        let count = |outcome: &str| requests[outcome].as_u64().expect("the outcome is counted");
        (count("whole"), count("abandoned"))
    };
    await_until("all requests to end", || async {
        let (whole, abandoned) = request_counts().await;
        whole + abandoned == CALLS
    })
    .await;
    assert_eq!(request_counts().await, (CALLS, 0));
}
