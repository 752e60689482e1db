//! HTTP interfaces and injected faults of the stand-ins.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use balsampitch::standin::hosts::{HostList, HostState};
use balsampitch::standin::{Host, Link, Platform, Target, TargetOptions};
use common::WAIT_TIMEOUT;
use common::http::{Call, CallError, Caller, Reply};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time without a response after which an operation counts as blocked.
const QUIET_PERIOD: Duration = Duration::from_millis(200);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback binds");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    (listener, address)
}

/// Sends a request on a new connection, because faults may close connections.
async fn try_call(address: SocketAddr, call: Call) -> Result<Reply, CallError> {
    Caller::new().call(address, call).await
}

async fn call(address: SocketAddr, call: Call) -> Reply {
    try_call(address, call).await.expect("the stand-in answers")
}

async fn post_fault(address: SocketAddr, path: &str, body: Value) {
    let reply = call(address, Call::post(path, body.to_string())).await;
    assert_eq!(
        reply.status,
        200,
        "{}",
        String::from_utf8_lossy(&reply.body)
    );
}

async fn platform() -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(Platform::new(4).serve(listener));
    address
}

async fn target(options: TargetOptions) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(Target::new(options).serve(listener));
    address
}

async fn count(target: SocketAddr, id: &str) -> String {
    let reply = call(target, Call::get(format!("/count?id={id}"))).await;
    String::from_utf8(reply.body.to_vec()).expect("the count is UTF-8")
}

#[tokio::test]
async fn log_assigns_offsets_and_expires_records() {
    let log = platform().await;
    for (offset, data) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        let reply = call(log, Call::post("/log/rules", data)).await;
        assert_eq!(reply.json(), json!({ "offset": offset }));
    }
    let expired = call(log, Call::get("/log/rules?from=0")).await;
    assert_eq!(
        (expired.status, expired.json()),
        (410, json!({ "first": 1 }))
    );
    let page = call(log, Call::get("/log/rules?from=3")).await.json();
    let records = json!([{ "offset": 3, "data": "ZA==" }, { "offset": 4, "data": "ZQ==" }]);
    assert_eq!(page, json!({ "first": 1, "next": 5, "records": records }));

    post_fault(
        log,
        "/fault/expire",
        json!({ "stream": "rules", "first": 4 }),
    )
    .await;
    assert_eq!(call(log, Call::get("/log/rules?from=3")).await.status, 410);
    let other = call(log, Call::get("/log/other?from=0")).await.json();
    assert_eq!(other, json!({ "first": 0, "next": 0, "records": [] }));
    assert_eq!(call(log, Call::get("/log/rules?from=x")).await.status, 400);
}

#[tokio::test]
async fn append_ends_a_long_poll() {
    let log = platform().await;
    let polling = tokio::spawn(call(log, Call::get("/log/s?from=0&wait_ms=20000")));
    tokio::time::sleep(QUIET_PERIOD).await;
    assert!(!polling.is_finished());
    call(log, Call::post("/log/s", "x")).await;
    let page = polling.await.expect("the poll ends").json();
    assert_eq!(page["next"], 1);
}

#[tokio::test]
async fn outage_ends_long_polls() {
    let log = platform().await;
    let polling = tokio::spawn(call(log, Call::get("/log/s?from=0&wait_ms=20000")));
    tokio::time::sleep(QUIET_PERIOD).await;
    post_fault(log, "/fault/log", json!({ "mode": "down" })).await;
    assert_eq!(polling.await.expect("the poll ends").status, 503);
    assert_eq!(call(log, Call::post("/log/s", "x")).await.status, 503);
    post_fault(log, "/fault/log", json!({ "mode": "ok" })).await;
    assert_eq!(
        call(log, Call::post("/log/s", "x")).await.json(),
        json!({ "offset": 0 })
    );
}

macro_rules! lost_appends {
    ($($name:ident: $mode:literal => $kept:literal,)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let log = platform().await;
                post_fault(log, "/fault/log", json!({ "mode": $mode, "count": 1 })).await;
                assert!(try_call(log, Call::post("/log/s", "x")).await.is_err());
                let page = call(log, Call::get("/log/s?from=0")).await.json();
                assert_eq!(page["next"], $kept);
                let reply = call(log, Call::post("/log/s", "y")).await.json();
                assert_eq!(reply["offset"], $kept);
            }
        )+
    };
}

lost_appends! {
    lost_response_keeps_the_record: "lose_answers" => 1,
    lost_request_appends_no_record: "lose_requests" => 0,
}

#[tokio::test]
async fn host_list_changes_after_its_lag() {
    let hosts = platform().await;
    let live = json!([{ "host": "127.0.0.1:9", "zone": "a", "service": "s", "state": "live" }]);
    post_fault(hosts, "/fault/hosts", json!({ "hosts": live })).await;
    assert_eq!(call(hosts, Call::get("/hosts")).await.json(), live);
    post_fault(
        hosts,
        "/fault/hosts",
        json!({ "hosts": [], "lag_ms": 600_000 }),
    )
    .await;
    assert_eq!(call(hosts, Call::get("/hosts")).await.json(), live);
    post_fault(hosts, "/fault/hosts", json!({ "mode": "down", "count": 1 })).await;
    assert_eq!(call(hosts, Call::get("/hosts")).await.status, 503);
}

#[tokio::test(start_paused = true)]
async fn host_lists_apply_in_order_after_their_lags() {
    let host = |zone: &str| Host {
        host: "127.0.0.1:9".into(),
        zone: zone.into(),
        service: "s".into(),
        state: HostState::Leaving,
    };
    let mut list = HostList::default();
    list.set(vec![host("a")], Duration::from_secs(2));
    list.set(vec![host("b")], Duration::from_secs(1));
    tokio::time::advance(Duration::from_millis(1_999)).await;
    assert_eq!(list.current(), []);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(list.current(), [host("b")]);
}

#[tokio::test]
async fn target_runs_streams_and_counts() {
    let target = target(TargetOptions::default()).await;
    let echo = call(target, Call::post("/run?ms=1", "id 1\nrest")).await;
    assert_eq!(&echo.body[..], b"id 1\nrest");
    let long = call(target, Call::post("/run?bytes=200000", "id 1")).await;
    assert_eq!(long.body.len(), 200_000);
    let stream = call(target, Call::post("/stream?chunks=3&ms=1", "id 1")).await;
    assert_eq!(&stream.body[..], b"id 1 1\nid 1 2\nid 1 3\n");
    assert_eq!(count(target, "id%201").await, "3");
    assert_eq!(count(target, "id+1").await, "3");
    assert_eq!(count(target, "id%202").await, "0");
}

#[tokio::test]
async fn truncated_response_fails_the_call() {
    let target = target(TargetOptions::default()).await;
    post_fault(
        target,
        "/fault/target",
        json!({ "mode": "cut", "after_chunks": 1, "count": 2 }),
    )
    .await;
    assert!(
        try_call(target, Call::post("/stream?chunks=3&ms=1", "x"))
            .await
            .is_err()
    );
    assert!(try_call(target, Call::post("/run", "x")).await.is_err());
    assert_eq!(call(target, Call::post("/run", "x")).await.status, 200);
    assert_eq!(count(target, "x").await, "3");
}

#[tokio::test]
async fn crashed_target_recovers() {
    let target = target(TargetOptions::default()).await;
    let running = tokio::spawn(try_call(target, Call::post("/run?ms=60000", "long")));
    tokio::time::sleep(QUIET_PERIOD).await;
    assert!(try_call(target, Call::post("/crash", "bad")).await.is_err());
    assert!(running.await.expect("the run ends").is_err());
    assert!(try_call(target, Call::get("/count?id=bad")).await.is_err());
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(count(target, "bad").await, "1");
    assert_eq!(call(target, Call::get("/state")).await.json()["running"], 0);
}

#[tokio::test]
async fn fenced_target_rejects_old_fencing_numbers() {
    let fenced = target(TargetOptions {
        slots: None,
        fenced: true,
    })
    .await;
    let request = |fence: &str, body: &'static str| {
        Call::post("/run", body).header("x-balsampitch-fence", fence)
    };
    assert_eq!(call(fenced, request("5", "a")).await.status, 200);
    assert_eq!(call(fenced, request("4", "a")).await.status, 412);
    assert_eq!(call(fenced, request("5", "a")).await.status, 200);
    assert_eq!(call(fenced, request("4", "b")).await.status, 200);
    assert_eq!(call(fenced, request("x", "b")).await.status, 400);
    assert_eq!(count(fenced, "a").await, "2");
}

#[tokio::test]
async fn target_limits_concurrency_to_its_slots() {
    let target = target(TargetOptions {
        slots: Some(2),
        fenced: false,
    })
    .await;
    let calls: Vec<_> = (0..8)
        .map(|_| tokio::spawn(call(target, Call::post("/run?ms=20", "x"))))
        .collect();
    for call in calls {
        assert_eq!(call.await.expect("the run ends").status, 200);
    }
    let state = call(target, Call::get("/state")).await.json();
    assert_eq!(state, json!({ "running": 0, "peak": 2, "total": 8 }));
}

/// Starts a link to an echo server.
async fn echo_link() -> (Link, SocketAddr) {
    let (server, to) = listen().await;
    tokio::spawn(async move {
        while let Ok((socket, _)) = server.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = socket.into_split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let (listener, address) = listen().await;
    let link = Link::new(to);
    tokio::spawn(link.clone().serve(listener));
    (link, address)
}

async fn echoes(socket: &mut TcpStream) -> bool {
    echoes_within(socket, WAIT_TIMEOUT).await
}

/// Returns whether nothing is echoed within [`QUIET_PERIOD`].
async fn is_silent(socket: &mut TcpStream) -> bool {
    !echoes_within(socket, QUIET_PERIOD).await
}

async fn echoes_within(socket: &mut TcpStream, span: Duration) -> bool {
    socket
        .write_all(b"ping")
        .await
        .expect("the link accepts bytes");
    let mut answer = [0; 4];
    match tokio::time::timeout(span, socket.read_exact(&mut answer)).await {
        Ok(read) => read.is_ok() && &answer == b"ping",
        Err(_) => false,
    }
}

#[tokio::test]
async fn silenced_connection_stays_open_and_silent() {
    let (link, address) = echo_link().await;
    let mut old = TcpStream::connect(address).await.expect("the link accepts");
    assert!(echoes(&mut old).await);
    link.silence();
    assert!(is_silent(&mut old).await);
    link.heal();
    assert!(is_silent(&mut old).await);
    let mut new = TcpStream::connect(address).await.expect("the link accepts");
    assert!(echoes(&mut new).await);
    link.cut();
    let ended = tokio::time::timeout(WAIT_TIMEOUT, old.read(&mut [0; 8])).await;
    assert!(!matches!(
        ended.expect("the cut closes the connection"),
        Ok(1..)
    ));
}

#[tokio::test]
async fn blocked_link_forwards_bytes_once_healed() {
    let (link, address) = echo_link().await;
    let mut old = TcpStream::connect(address).await.expect("the link accepts");
    assert!(echoes(&mut old).await);
    link.block();
    assert!(is_silent(&mut old).await);
    let mut new = TcpStream::connect(address).await.expect("the link accepts");
    assert!(is_silent(&mut new).await);
    link.heal();
    let mut answer = [0; 4];
    for socket in [&mut old, &mut new] {
        let read = tokio::time::timeout(WAIT_TIMEOUT, socket.read_exact(&mut answer)).await;
        assert!(read.expect("the healed link forwards bytes").is_ok());
    }
}

#[tokio::test]
async fn delayed_link_forwards_after_the_delay() {
    let (link, address) = echo_link().await;
    link.delay(Duration::from_millis(150));
    let mut socket = TcpStream::connect(address).await.expect("the link accepts");
    assert!(is_silent(&mut socket).await);
    let mut answer = [0; 4];
    let read = tokio::time::timeout(WAIT_TIMEOUT, socket.read_exact(&mut answer)).await;
    assert!(read.expect("the delayed link forwards bytes").is_ok());
}

#[tokio::test]
async fn link_faults_are_set_over_http() {
    let (link, address) = echo_link().await;
    let (listener, admin) = listen().await;
    tokio::spawn(link.serve_admin(listener));
    post_fault(admin, "/delay", json!({ "ms": 5 })).await;
    post_fault(admin, "/block", json!({})).await;
    let state = call(admin, Call::get("/state")).await.json();
    assert_eq!(
        state,
        json!({ "accepted": 0, "blocked": true, "delay_ms": 5 })
    );
    post_fault(admin, "/heal", json!({})).await;
    let mut socket = TcpStream::connect(address).await.expect("the link accepts");
    assert!(echoes(&mut socket).await);
    post_fault(admin, "/silence", json!({})).await;
    assert!(is_silent(&mut socket).await);
    assert_eq!(call(admin, Call::post("/other", "")).await.status, 404);
}
