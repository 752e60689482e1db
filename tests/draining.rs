//! An entry that shuts down while a request runs whose caller is gone.

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
async fn an_order_without_its_caller_is_finished_and_reported() {
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
    // The claim, and the report of what became of it.
    assert_eq!(claim_records(&fleet).await, 2);
    let repeat = fleet.call(1, order()).await.expect("the entry answers");
    assert_eq!(repeat.status, 409, "{}", repeat.text());
    assert_eq!(repeat.json()["execution"], "unknown");
    assert_eq!(fleet.run_count("order-1").await, 1);
}

/// Callers whom the system lets in while the entry is paused.
const LET_IN: usize = 16;

#[tokio::test(flavor = "multi_thread")]
async fn callers_let_in_before_the_drain_are_answered() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("model", 1, 2)
        .start()
        .await;
    let to = fleet.entries[0].callers;
    fleet.entries[0].process.signal(Signal::Stop);
    let mut callers = Vec::new();
    for _ in 0..LET_IN {
        callers.push(ask(to).await);
    }
    fleet.entries[0].process.signal(Signal::Term);
    fleet.entries[0].process.signal(Signal::Cont);
    for mut caller in callers {
        let mut answer = String::new();
        let read = caller.read_to_string(&mut answer).await;
        read.expect("an answer comes, not a reset");
        let served = answer.starts_with("HTTP/1.1 200") && answer.ends_with("hi");
        let refused = answer.starts_with("HTTP/1.1 503") && answer.contains("not_run");
        assert!(served || refused, "{answer:?}");
    }
    assert!(fleet.entries[0].process.wait().await.success());
}

/// Sends a request on a connection of its own.
async fn ask(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("the system lets in");
    let request = "POST /model/run HTTP/1.1\r\nhost: x\r\nauthorization: Bearer school-key\r\n\
        connection: close\r\ncontent-length: 2\r\n\r\nhi";
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the system takes the request");
    stream
}
