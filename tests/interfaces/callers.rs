//! The interface towards callers.

use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Request, Version};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::io::AsyncWriteExt;

use crate::common::await_until;
use crate::common::http::Call;
use crate::harness::{TestEntry, connect, read_until};

const AUTH: &str = "host: x\r\nauthorization: Bearer school-key\r\n";

fn post(path: &str, rest: &str) -> String {
    format!("POST {path} HTTP/1.1\r\n{AUTH}{rest}")
}

fn headers(count: usize) -> String {
    (0..count).map(|at| format!("x-{at}: 1\r\n")).collect()
}

fn status(response: &str) -> u16 {
    let status_code = response.split(' ').nth(1).unwrap_or_default();
    status_code.parse().unwrap_or_default()
}

/// Sends a raw request and asserts the status and a part of the response. A problem document must
/// come with the request id.
async fn assert_rejected(request: &str, status_code: u16, part: &str) {
    let entry = TestEntry::start(2).await;
    let response = entry
        .send_raw(request.as_bytes(), |text| {
            text.contains("\r\n\r\n") && text.contains(part)
        })
        .await;
    assert_eq!(status(&response), status_code, "{response}");
    assert!(response.contains(part), "{response}");
    let is_problem = part.contains("not_run");
    assert!(
        !is_problem || response.contains("x-request-id: "),
        "{response}"
    );
    entry.assert_serving().await;
}

macro_rules! rejected_requests {
    ($($name:ident: $request:expr => $status_code:literal, $part:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                assert_rejected(&$request, $status_code, $part).await;
            }
        )+
    };
}

rejected_requests! {
    not_http: "\u{1}\u{2}\u{3}\r\n\r\n" => 400, "";
    invalid_method: "B@D /model/run HTTP/1.1\r\n\r\n" => 400, "";
    header_without_colon: post("/model/run", "no colon\r\n\r\n") => 400, "";
    missing_authorization: "POST /model/run HTTP/1.1\r\nhost: x\r\n\r\n" => 401, "not_run";
    non_ascii_authorization: "POST /model/run HTTP/1.1\r\nhost: x\r\nauthorization: Bearer é\r\n\r\n" => 401, "not_run";
    basic_authorization: "POST /model/run HTTP/1.1\r\nhost: x\r\nauthorization: Basic eA==\r\n\r\n" => 401, "not_run";
    no_service: post("/", "content-length: 0\r\n\r\n") => 404, "not_run";
    asterisk_form_target: format!("OPTIONS * HTTP/1.1\r\n{AUTH}\r\n") => 404, "not_run";
    too_many_headers: post("/model/run", &format!("{}\r\n", headers(150))) => 431, "";
    header_too_large: post("/model/run", &format!("x-large: {}\r\ncontent-length: 0\r\n\r\n", "x".repeat(300_000))) => 431, "not_run";
    path_too_long: post(&format!("/model/run?{}", "x".repeat(65_000)), "content-length: 0\r\n\r\n") => 431, "not_run";
    invalid_content_length: post("/model/run", "content-length: many\r\n\r\n") => 400, "";
    conflicting_content_lengths: post("/model/run", "content-length: 1\r\ncontent-length: 2\r\n\r\nab") => 400, "";
    invalid_chunk_size: post("/model/run", "transfer-encoding: chunked\r\n\r\nzz\r\n") => 400, "not_run";
    content_length_too_large: post("/model/run", "content-length: 9000000\r\n\r\n") => 413, "not_run";
    empty_idempotency_key: post("/orders/run", "idempotency-key: \r\ncontent-length: 0\r\n\r\n") => 400, "not_run";
    idempotency_key_too_long: post("/orders/run", &format!("idempotency-key: {}\r\ncontent-length: 0\r\n\r\n", "k".repeat(300))) => 400, "not_run";
    non_ascii_idempotency_key: post("/orders/run", "idempotency-key: é\r\ncontent-length: 0\r\n\r\n") => 400, "not_run";
}

#[tokio::test]
async fn an_oversized_chunked_body_is_rejected() {
    let entry = TestEntry::start(2).await;
    let mut request = post("/model/run", "transfer-encoding: chunked\r\n\r\n").into_bytes();
    for _ in 0..40 {
        request.extend_from_slice(b"10000\r\n");
        request.extend(std::iter::repeat_n(b'x', 65_536));
        request.extend_from_slice(b"\r\n");
    }
    let mut stream = connect(entry.callers).await;
    let (mut read, mut write) = stream.split();
    // The entry responds before it has read the whole body, so the write may fail.
    let sending = async {
        let _ = write.write_all(&request).await;
        std::future::pending::<()>().await;
    };
    let reading = async {
        let mut text = Vec::new();
        while !String::from_utf8_lossy(&text).contains("not_run") {
            let count = tokio::io::AsyncReadExt::read_buf(&mut read, &mut text).await;
            assert!(
                count.is_ok_and(|n| n > 0),
                "{}",
                String::from_utf8_lossy(&text)
            );
        }
        String::from_utf8_lossy(&text).into_owned()
    };
    tokio::select! {
        () = sending => unreachable!("sending never ends"),
        response = reading => assert_eq!(status(&response), 413, "{response}"),
    }
    entry.assert_serving().await;
}

#[tokio::test]
async fn pipelined_requests_are_all_answered() {
    let entry = TestEntry::start(2).await;
    let pipelined = post("/model/run?ms=0", "content-length: 2\r\n\r\nok");
    let count = |text: &str| text.matches("HTTP/1.1 200").count();
    let responses = entry
        .send_raw(pipelined.repeat(50).as_bytes(), |text| count(text) == 50)
        .await;
    assert_eq!(count(&responses), 50);
}

#[tokio::test]
async fn http2_with_prior_knowledge_is_served() {
    let entry = TestEntry::start(2).await;
    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let request = Request::post(format!("http://{}/model/run?ms=1", entry.callers))
        .header("authorization", "Bearer school-key")
        .body(Full::from("two"))
        .expect("the request is well formed");
    let response = client.request(request).await.expect("the entry answers");
    assert_eq!(
        (response.status().as_u16(), response.version()),
        (200, Version::HTTP_2)
    );
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the response is complete");
    assert_eq!(body.to_bytes(), "two");
}

#[tokio::test]
async fn a_disconnected_caller_frees_its_slot() {
    let entry = TestEntry::start(1).await;
    let mut stream = connect(entry.callers).await;
    let request = post(
        "/model/stream?chunks=100000&ms=5",
        "content-length: 1\r\n\r\nx",
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the entry reads");
    let head = read_until(&mut stream, |text| text.contains("x 1\n")).await;
    assert_eq!(status(&head), 200);
    drop(stream);
    entry.assert_serving().await;
}

#[tokio::test]
async fn a_caller_that_does_not_read_stalls_only_its_own_request() {
    let entry = TestEntry::start(2).await;
    let mut stream = connect(entry.callers).await;
    let request = post("/model/run?bytes=200000000", "content-length: 0\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the entry reads");
    for _ in 0..20 {
        entry.assert_serving().await;
    }
    let state = entry.caller.call(entry.target, Call::get("/state")).await;
    let running = state.expect("the target reports its state").json();
    assert_eq!(
        running["running"], 1,
        "the response was read to its end: {running}"
    );
    drop(stream);
}

#[tokio::test]
async fn incomplete_request_heads_do_not_block_other_callers() {
    let entry = TestEntry::start(2).await;
    let mut connections = Vec::new();
    for _ in 0..200 {
        let mut stream = connect(entry.callers).await;
        stream
            .write_all(b"POST /model/run HT")
            .await
            .expect("the entry reads");
        connections.push(stream);
    }
    entry.assert_serving().await;
}

#[tokio::test]
async fn an_incomplete_request_head_times_out() {
    let entry = TestEntry::start(2).await;
    let mut stream = connect(entry.callers).await;
    stream
        .write_all(b"POST /model/run HT")
        .await
        .expect("the entry reads");
    // Returns when the entry closes the connection.
    read_until(&mut stream, |_| false).await;
}

#[tokio::test]
async fn a_full_queue_rejects_only_its_own_account() {
    let entry = TestEntry::start(1).await;
    let mut connections = Vec::new();
    for _ in 0..1_001 {
        let mut stream = connect(entry.callers).await;
        let request = post("/model/run?ms=20000", "content-length: 0\r\n\r\n");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the entry reads");
        connections.push(stream);
    }
    await_until("the queue to fill", || async {
        let status = entry.status().await;
        let services = status["desk"]["services"].as_array().cloned();
        let full = |s: &serde_json::Value| s["waiting"] == 1_000;
        services.is_some_and(|all| all.iter().any(full))
    })
    .await;
    let reply = entry.call(Call::post("/model/run", "")).await;
    assert_eq!(reply.status, 429, "{}", reply.text());
    assert_eq!(reply.json()["reason"], "queue_full");
    let wait = reply.headers["retry-after"]
        .to_str()
        .expect("text")
        .to_owned();
    assert!(wait.parse::<u64>().is_ok_and(|s| s > 0), "{wait}");
    let other = entry
        .caller
        .call(entry.callers, Call::post("/model/run", "").key("club-key"));
    let pending = tokio::time::timeout(Duration::from_millis(500), other).await;
    // Requests of other accounts are queued, so there is no response within the timeout.
    assert!(
        pending.is_err(),
        "a request of another account was rejected"
    );
}
