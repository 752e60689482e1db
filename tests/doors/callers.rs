//! The door towards callers.

use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Request, Version};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::io::AsyncWriteExt;

use crate::common::await_until;
use crate::common::http::Call;
use crate::world::{World, connect, read_until};

const AUTH: &str = "host: x\r\nauthorization: Bearer school-key\r\n";

fn post(path: &str, rest: &str) -> String {
    format!("POST {path} HTTP/1.1\r\n{AUTH}{rest}")
}

fn headers(count: usize) -> String {
    (0..count).map(|at| format!("x-{at}: 1\r\n")).collect()
}

fn status(answer: &str) -> u16 {
    let code = answer.split(' ').nth(1).unwrap_or_default();
    code.parse().unwrap_or_default()
}

async fn refused(request: &str, code: u16, part: &str) {
    let world = World::start(2).await;
    let answer = world
        .raw(request.as_bytes(), |text| {
            text.contains("\r\n\r\n") && text.contains(part)
        })
        .await;
    assert_eq!(status(&answer), code, "{answer}");
    assert!(answer.contains(part), "{answer}");
    let own = part.contains("not_run");
    assert!(!own || answer.contains("x-request-id: "), "{answer}");
    world.assert_sound().await;
}

macro_rules! refusals {
    ($($name:ident: $request:expr => $code:literal, $part:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                refused(&$request, $code, $part).await;
            }
        )+
    };
}

refusals! {
    no_http: "\u{1}\u{2}\u{3}\r\n\r\n" => 400, "";
    bad_method: "B@D /model/run HTTP/1.1\r\n\r\n" => 400, "";
    bad_header: post("/model/run", "no colon\r\n\r\n") => 400, "";
    no_authorization: "POST /model/run HTTP/1.1\r\nhost: x\r\n\r\n" => 401, "not_run";
    garbage_authorization: "POST /model/run HTTP/1.1\r\nhost: x\r\nauthorization: Bearer é\r\n\r\n" => 401, "not_run";
    basic_authorization: "POST /model/run HTTP/1.1\r\nhost: x\r\nauthorization: Basic eA==\r\n\r\n" => 401, "not_run";
    no_service: post("/", "content-length: 0\r\n\r\n") => 404, "not_run";
    no_path: format!("OPTIONS * HTTP/1.1\r\n{AUTH}\r\n") => 404, "not_run";
    many_headers: post("/model/run", &format!("{}\r\n", headers(150))) => 431, "";
    large_header: post("/model/run", &format!("x-large: {}\r\ncontent-length: 0\r\n\r\n", "x".repeat(300_000))) => 431, "not_run";
    long_path: post(&format!("/model/run?{}", "x".repeat(65_000)), "content-length: 0\r\n\r\n") => 431, "not_run";
    bad_length: post("/model/run", "content-length: many\r\n\r\n") => 400, "";
    two_lengths: post("/model/run", "content-length: 1\r\ncontent-length: 2\r\n\r\nab") => 400, "";
    bad_chunk: post("/model/run", "transfer-encoding: chunked\r\n\r\nzz\r\n") => 400, "not_run";
    declared_too_large: post("/model/run", "content-length: 9000000\r\n\r\n") => 413, "not_run";
    empty_key: post("/orders/run", "idempotency-key: \r\ncontent-length: 0\r\n\r\n") => 400, "not_run";
    long_key: post("/orders/run", &format!("idempotency-key: {}\r\ncontent-length: 0\r\n\r\n", "k".repeat(300))) => 400, "not_run";
    key_of_no_text: post("/orders/run", "idempotency-key: é\r\ncontent-length: 0\r\n\r\n") => 400, "not_run";
}

#[tokio::test]
async fn a_streamed_body_that_is_too_large_is_refused() {
    let world = World::start(2).await;
    let mut request = post("/model/run", "transfer-encoding: chunked\r\n\r\n").into_bytes();
    for _ in 0..40 {
        request.extend_from_slice(b"10000\r\n");
        request.extend(std::iter::repeat_n(b'x', 65_536));
        request.extend_from_slice(b"\r\n");
    }
    let mut stream = connect(world.callers).await;
    let (mut read, mut write) = stream.split();
    // The entry answers before it has read all.
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
        answer = reading => assert_eq!(status(&answer), 413, "{answer}"),
    }
    world.assert_sound().await;
}

#[tokio::test]
async fn pipelined_requests_are_all_answered() {
    let world = World::start(2).await;
    let one = post("/model/run?ms=0", "content-length: 2\r\n\r\nok");
    let count = |text: &str| text.matches("HTTP/1.1 200").count();
    let answers = world
        .raw(one.repeat(50).as_bytes(), |text| count(text) == 50)
        .await;
    assert_eq!(count(&answers), 50);
}

#[tokio::test]
async fn http2_with_prior_knowledge_is_served() {
    let world = World::start(2).await;
    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let request = Request::post(format!("http://{}/model/run?ms=1", world.callers))
        .header("authorization", "Bearer school-key")
        .body(Full::from("two"))
        .expect("the request is well formed");
    let answer = client.request(request).await.expect("the entry answers");
    assert_eq!(
        (answer.status().as_u16(), answer.version()),
        (200, Version::HTTP_2)
    );
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("the answer is whole");
    assert_eq!(body.to_bytes(), "two");
}

#[tokio::test]
async fn a_caller_that_goes_away_frees_its_slot() {
    let world = World::start(1).await;
    let mut stream = connect(world.callers).await;
    let request = post(
        "/model/stream?chunks=100000&ms=5",
        "content-length: 1\r\n\r\nx",
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the entry reads");
    let begun = read_until(&mut stream, |text| text.contains("x 1\n")).await;
    assert_eq!(status(&begun), 200);
    drop(stream);
    world.assert_sound().await;
}

#[tokio::test]
async fn a_caller_that_takes_nothing_blocks_nobody_and_stops_its_target() {
    let world = World::start(2).await;
    let mut stream = connect(world.callers).await;
    let request = post("/model/run?bytes=200000000", "content-length: 0\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the entry reads");
    for _ in 0..20 {
        world.assert_sound().await;
    }
    let state = world.caller.call(world.target, Call::get("/state")).await;
    let running = state.expect("the target tells its state").json();
    assert_eq!(
        running["running"], 1,
        "the target was read to its end: {running}"
    );
    drop(stream);
}

#[tokio::test]
async fn slow_heads_hold_nobody_up() {
    let world = World::start(2).await;
    let mut slow = Vec::new();
    for _ in 0..200 {
        let mut stream = connect(world.callers).await;
        stream
            .write_all(b"POST /model/run HT")
            .await
            .expect("the entry reads");
        slow.push(stream);
    }
    world.assert_sound().await;
}

#[tokio::test]
async fn a_slow_head_is_given_up() {
    let world = World::start(2).await;
    let mut stream = connect(world.callers).await;
    stream
        .write_all(b"POST /model/run HT")
        .await
        .expect("the entry reads");
    // Ends when the entry closes.
    read_until(&mut stream, |_| false).await;
}

#[tokio::test]
async fn a_full_queue_refuses_its_own_account_alone() {
    let world = World::start(1).await;
    let mut held = Vec::new();
    for _ in 0..1_001 {
        let mut stream = connect(world.callers).await;
        let request = post("/model/run?ms=20000", "content-length: 0\r\n\r\n");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the entry reads");
        held.push(stream);
    }
    await_until("a full queue", || async {
        let status = world.status().await;
        let services = status["desk"]["services"].as_array().cloned();
        let full = |s: &serde_json::Value| s["waiting"] == 1_000;
        services.is_some_and(|all| all.iter().any(full))
    })
    .await;
    let reply = world.call(Call::post("/model/run", "")).await;
    assert_eq!(reply.status, 429, "{}", reply.text());
    assert_eq!(reply.json()["reason"], "queue_full");
    let wait = reply.headers["retry-after"]
        .to_str()
        .expect("text")
        .to_owned();
    assert!(wait.parse::<u64>().is_ok_and(|s| s > 0), "{wait}");
    let other = world
        .caller
        .call(world.callers, Call::post("/model/run", "").key("club-key"));
    let refused = tokio::time::timeout(Duration::from_millis(500), other).await;
    assert!(refused.is_err(), "another account is refused");
}
