//! What operators see of a running fleet, and what they must not see.

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

async fn page(fleet: &Fleet, admin: std::net::SocketAddr, path: &str) -> String {
    let reply = fleet.caller.call(admin, Call::get(path)).await;
    reply.expect("the process answers").text()
}

/// How often an entry counted an event.
async fn counted(fleet: &Fleet, event: &str) -> u64 {
    let text = page(fleet, fleet.entries[0].admin, "/status").await;
    let status: Value = serde_json::from_str(&text).expect("the status is JSON");
    let count = status["metrics"]["events"][event].as_u64();
    count.expect("the event is counted")
}

macro_rules! intruders {
    ($($name:ident: $bytes:expr => $event:literal;)+) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let fleet = FleetBuilder::entries(1).targets("model", 1, 1).start().await;
            let before = counted(&fleet, $event).await;
            let mut stream = TcpStream::connect(fleet.entries[0].peer).await.expect("it listens");
            stream.write_all($bytes).await.expect("it is connected");
            await_until("the count", || async { counted(&fleet, $event).await > before }).await;
            let call = Call::post("/model/run", "still served").key("school-key");
            let reply = fleet.call(0, call).await.expect("the entry answers");
            assert_eq!(reply.status, 200);
        }
    )+};
}

intruders! {
    a_frame_above_the_limit_is_counted: &[255, 255, 255, 255, 1] => "malformed_frames";
    a_frame_of_noise_is_counted: &[0, 0, 0, 3, 2, 9, 9] => "malformed_frames";
    another_version_is_counted: &[0, 0, 0, 3, 1, 9, 9] => "refused_connections";
    a_silent_connection_is_counted: &[0, 0] => "silences";
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_exchange_and_the_records_of_the_log() {
    let fleet = FleetBuilder::entries(2).start().await;
    await_until("datagrams", || async {
        let text = page(&fleet, fleet.entries[0].admin, "/status").await;
        let status: Value = serde_json::from_str(&text).expect("the status is JSON");
        status["exchange"]["counts"]["received"].as_u64() > Some(0)
            && status["rules"]["records"]["accepted"] == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lines_tell_of_changes_of_state() {
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
    assert!(counted(&fleet, "log_failures").await > 0);
    let up = Call::post("/fault/log", r#"{"mode":"ok"}"#);
    fleet.call_ok(fleet.platform, up).await;
    await_until("a line", || async {
        fleet.entries[0].process.output().contains("log back")
    })
    .await;
    let down = Call::post("/fault/hosts", r#"{"mode":"down"}"#);
    fleet.call_ok(fleet.platform, down).await;
    await_until("a failed read of the host list", || async {
        counted(&fleet, "hosts_failures").await > 0
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
    for wanted in ["rules in force", "version=1", "agent up", "draining"] {
        assert!(log.contains(wanted), "no {wanted:?} in {log}");
    }
    let log = fleet.targets[0].agent.output();
    for wanted in ["entry up", "draining"] {
        assert!(log.contains(wanted), "no {wanted:?} in {log}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_body_or_secret_is_shown() {
    let hidden = [
        SECRET,
        "school-key",
        "club-key",
        "wrong-key",
        "idempotency-1",
        "body-of-order",
    ];
    let mut collector = Collector::start().await;
    let plan = FleetBuilder::entries(1).targets("orders", 1, 2);
    let mut fleet = plan.collector(collector.address).start().await;
    let admin = fleet.entries[0].admin;
    let mut shown = Vec::new();
    for (key, path) in [
        ("school-key", "run"),
        ("wrong-key", "run"),
        ("club-key", "crash"),
    ] {
        let call = Call::post(format!("/orders/{path}"), "body-of-order").key(key);
        let call = call.header("idempotency-key", "idempotency-1");
        let reply = fleet.call(0, call).await.expect("the entry answers");
        let id = reply.headers["x-request-id"].to_str().expect("text");
        shown.push(page(&fleet, admin, &format!("/explain/{id}")).await);
    }
    for path in ["/status", "/shares"] {
        shown.push(page(&fleet, admin, path).await);
    }
    shown.push(page(&fleet, fleet.targets[0].admin, "/status").await);

    let (entry, agent) = (&mut fleet.entries[0].process, &mut fleet.targets[0].agent);
    entry.signal(Signal::Term);
    entry.wait().await;
    agent.signal(Signal::Term);
    agent.wait().await;
    shown.extend([entry.output(), agent.output()]);
    assert!(shown.iter().any(|text| text.contains("school")));
    for word in hidden {
        let found = shown.iter().find(|text| text.contains(word));
        assert!(
            found.is_none(),
            "{word:?} in {}",
            found.expect("one is found")
        );
    }
    let mut traces = 0;
    while let Ok(export) = collector.exports.try_recv() {
        traces += u32::from(export.path == "/v1/traces");
        let found = hidden.iter().find(|word| export.contains(word));
        assert!(found.is_none(), "{found:?} in an export to {}", export.path);
    }
    assert!(traces >= 2, "{traces}");
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_of_known_length_count_as_whole() {
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
    let ended = async || {
        let text = page(&fleet, fleet.entries[0].admin, "/status").await;
        let status: Value = serde_json::from_str(&text).expect("the status is JSON");
        let requests = &status["metrics"]["requests"];
        let count = |outcome: &str| requests[outcome].as_u64().expect("it is counted");
        (count("whole"), count("abandoned"))
    };
    await_until("all to end", || async {
        let (whole, abandoned) = ended().await;
        whole + abandoned == CALLS
    })
    .await;
    assert_eq!(ended().await, (CALLS, 0));
}
