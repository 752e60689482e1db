//! Responses and limits of the admin address.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsampitch::admin::{self, Status};
use common::WAIT_TIMEOUT;
use common::http::{Call, Caller};
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

struct TestStatus;

impl Status for TestStatus {
    async fn status(&self) -> Value {
        json!({ "waiting": 3 })
    }

    async fn extra(&self, path: &str) -> Option<Value> {
        match path.strip_prefix("/explain/") {
            Some("slow") => std::future::pending().await,
            Some(id) => Some(json!({ "id": id })),
            None => None,
        }
    }
}

async fn start(ready: bool) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback binds");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let (sender, receiver) = watch::channel(ready);
    tokio::spawn(admin::serve(listener, Arc::new(TestStatus), receiver));
    (address, sender)
}

macro_rules! responses {
    ($($name:ident: $call:expr => $status:literal, $body:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let (address, _ready) = start(false).await;
                let reply = Caller::new().call(address, $call).await.expect("it answers");
                assert_eq!((reply.status, reply.text().as_str()), ($status, $body));
            }
        )+
    };
}

responses! {
    health: Call::get("/healthz") => 200, "ok\n";
    readiness_before: Call::get("/readyz") => 503, "not ready\n";
    status: Call::get("/status") => 200, r#"{"waiting":3}"#;
    further_path: Call::get("/explain/7") => 200, r#"{"id":"7"}"#;
    unknown_path: Call::get("/other") => 404, "no such path\n";
    other_method: Call::post("/status", "x") => 405, "only GET is answered\n";
    slow_provider: Call::get("/explain/slow") => 503, "timed out\n";
    large_headers: Call::get("/status").header("x-large", "x".repeat(64 * 1024)) => 431, "";
}

#[tokio::test]
async fn readiness_follows_the_process() {
    let (address, ready) = start(false).await;
    let caller = Caller::new();
    for (now, status) in [(true, 200), (false, 503)] {
        ready.send_replace(now);
        let reply = caller.call(address, Call::get("/readyz")).await;
        assert_eq!(reply.expect("it answers").status, status);
    }
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let (address, _ready) = start(true).await;
    let mut idle = Vec::new();
    for _ in 0..admin::MAX_CONNECTIONS {
        idle.push(TcpStream::connect(address).await.expect("it accepts"));
    }
    let mut more = TcpStream::connect(address).await.expect("it accepts");
    let read = tokio::time::timeout(WAIT_TIMEOUT, more.read(&mut [0; 8])).await;
    assert!(!matches!(read.expect("it closes"), Ok(1..)));
    drop(idle);
    common::await_until("a free connection", || async {
        let reply = Caller::new().call(address, Call::get("/healthz")).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
}

#[tokio::test]
async fn an_idle_connection_is_closed() {
    let (address, _ready) = start(true).await;
    let mut idle = TcpStream::connect(address).await.expect("it accepts");
    let limit = Duration::from_secs(30);
    let read = tokio::time::timeout(limit, idle.read(&mut [0; 8])).await;
    assert!(!matches!(read.expect("it closes"), Ok(1..)));
}
