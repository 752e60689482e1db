//! Shutdown of an entry with a running request whose caller has disconnected, and with connections
//! in its listen backlog.

mod common;
mod fleet;

use std::net::SocketAddr;

use common::http::Call;
use common::process::Signal;
use fleet::{Fleet, FleetBuilder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn order() -> Call {
    Call::post("/orders/run?ms=1500", "order-1")
        .key("club-key")
        .header("idempotency-key", "drain-1")
}

async fn claim_records(fleet: &Fleet) -> usize {
    let read = Call::get("/log/claims?from=0&wait_ms=0");
    let reply = fleet.caller.call(fleet.platform, read).await;
    let page = reply.expect("the log answers").json();
    page["records"]
        .as_array()
        .expect("a page has records")
        .len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_finishes_and_reports_an_order_without_its_caller() {
    let mut fleet = FleetBuilder::entries(2)
        .targets("orders", 1, 2)
        .start()
        .await;
    let (caller, to) = (fleet.caller.clone(), fleet.entries[0].callers);
    let call = tokio::spawn(async move { caller.call(to, order()).await });
    common::await_until("the order to run", || async {
        fleet.run_count("order-1").await == 1
    })
    .await;
    call.abort();
    fleet.entries[0].process.signal(Signal::Term);
    let status = fleet.entries[0].process.wait().await;
    assert!(status.success(), "{status}");
    // The claim, and the report of its outcome.
    assert_eq!(claim_records(&fleet).await, 2);
    let retry = fleet.call(1, order()).await.expect("the entry answers");
    assert_eq!(retry.status, 409, "{}", retry.text());
    assert_eq!(retry.json()["execution"], "unknown");
    assert_eq!(fleet.run_count("order-1").await, 1);
}

/// Connections that the kernel accepts while the entry is paused.
const BACKLOG: usize = 16;

#[tokio::test(flavor = "multi_thread")]
async fn connections_in_the_backlog_are_answered_during_a_drain() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("model", 1, 2)
        .start()
        .await;
    let to = fleet.entries[0].callers;
    fleet.entries[0].process.signal(Signal::Stop);
    let mut callers = Vec::new();
    for _ in 0..BACKLOG {
        callers.push(send_request(to).await);
    }
    fleet.entries[0].process.signal(Signal::Term);
    fleet.entries[0].process.signal(Signal::Cont);
    for mut caller in callers {
        let mut response = String::new();
        let read = caller.read_to_string(&mut response).await;
        read.expect("the entry responds and does not reset the connection");
        let served = response.starts_with("HTTP/1.1 200") && response.ends_with("hi");
        let refused = response.starts_with("HTTP/1.1 503") && response.contains("not_run");
        assert!(served || refused, "{response:?}");
    }
    assert!(fleet.entries[0].process.wait().await.success());
}

/// Sends a request on a new connection, without reading the response.
async fn send_request(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to)
        .await
        .expect("the kernel accepts the connection");
    let request = "POST /model/run HTTP/1.1\r\nhost: x\r\nauthorization: Bearer school-key\r\n\
        connection: close\r\ncontent-length: 2\r\n\r\nhi";
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the kernel buffers the request");
    stream
}
