//! Targets whose answers break the protocol, and what callers then get.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::gateway_process::request;
use crate::harness::{Reply, TestGateway, WAIT_LIMIT};
use crate::raw_target::RawTarget;
use crate::raw_target::Step::{self, Read, ReadPart, Reset, Wait, Write};
use crate::target::{Behaviour, Target};

/// A body that does not fit in the buffers of a connection.
const LONG_BODY: usize = 3 * 1024 * 1024;

const HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n";
const EARLY: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n\r\npart";
const EARLY_EVENTS: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n\
                            Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n";

/// Starts a gateway before a target with these scripts.
async fn gateway_before(scripts: &'static [&'static [Step]]) -> (TestGateway, RawTarget) {
    let target = RawTarget::start(scripts).await;
    let gateway = TestGateway::start().await.list_targets(&[]).await;
    gateway.directory.put_target("t0", target.addr, false);
    gateway
        .wait_until(|state| state.with_targets(|targets| targets.len()) == 1)
        .await;
    (gateway, target)
}

/// Sends a request with a long body and reads until the connection is closed.
async fn call_long(gateway: &TestGateway, path: &str) -> Reply {
    let mut stream = TcpStream::connect(gateway.callers)
        .await
        .expect("it listens");
    let request = request(path, &vec![b'x'; LONG_BODY]);
    stream.write_all(&request).await.expect("it reads");
    let mut data = Vec::new();
    let read = timeout(WAIT_LIMIT, stream.read_to_end(&mut data)).await;
    Reply::new(&data, read.expect("it ends in time").is_err())
}

/// A target answers a long upload at once with neither a length nor chunks, and resets the connection
/// while the upload is still being written.
macro_rules! early_answers {
    ($($name:ident: $path:expr, [$($step:expr),*];)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (gateway, target) = gateway_before(&[&[$($step),*]]).await;
            let reply = call_long(&gateway, $path).await;
            assert!(!(reply.status == 200 && reply.complete), "{reply:?}");
            assert_eq!(target.count(), 1);
        }
    )*};
}

early_answers! {
    the_part_of_an_early_answer_is_no_answer: "/order/1", [Read(0), Write(EARLY), Wait(50), Reset];
    nor_if_the_reset_follows_at_once: "/order/1", [Read(0), Write(EARLY), Reset];
    nor_if_some_of_the_upload_was_read: "/order/1", [Read(200_000), Write(EARLY), Wait(50), Reset];
    the_part_of_an_early_stream_is_not_whole: "/stream/1", [Read(0), Write(EARLY_EVENTS), Wait(50), Reset];
    nor_if_some_of_its_upload_was_read: "/stream/1", [Read(200_000), Write(EARLY_EVENTS), Wait(50), Reset];
}

/// Answers that are none.
macro_rules! invalid_answers {
    ($($name:ident: $path:expr, [$($step:expr),*];)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (gateway, target) = gateway_before(&[&[$($step),*]]).await;
            let reply = gateway.call("POST", $path).await;
            assert_eq!(reply.status, 502, "{reply:?}");
            assert_eq!(target.count(), 1);
        }
    )*};
}

const STATUS_000: &str =
    "HTTP/1.1 000 None\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
const STATUS_099: &str =
    "HTTP/1.1 099 None\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
const STATUS_CUT: &str = "HTTP/1.1 2";
const HEAD_WITH_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 0\r\n";
const NAME_CUT: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Le";

invalid_answers! {
    status_000_is_no_answer: "/order/1", [Read(2), Write(STATUS_000)];
    status_000_is_no_stream: "/stream/1", [Read(2), Write(STATUS_000)];
    status_099_is_no_answer: "/order/1", [Read(2), Write(STATUS_099)];
    a_status_line_that_stops_is_no_answer: "/order/1", [Read(2), Write(STATUS_CUT)];
    a_head_that_stops_after_a_header_is_no_answer: "/order/1", [Read(2), Write(HEAD)];
    a_head_that_stops_after_its_length_is_no_answer: "/order/1", [Read(2), Write(HEAD_WITH_LENGTH)];
    a_head_that_stops_in_a_name_is_no_answer: "/order/1", [Read(2), Write(NAME_CUT)];
    a_head_that_stops_is_no_stream: "/stream/1", [Read(2), Write(HEAD)];
    a_head_that_is_reset_is_no_answer: "/order/1", [Read(2), Write(HEAD), Wait(20), Reset];
}

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {first}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {first}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";

/// A target writes an earlier refusal once more on a kept connection, while it runs the next request.
/// The client must not be told that the next request was not run, if the target has read it.
macro_rules! repeated_refusals {
    ($($name:ident: [$($step:expr),*];)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (gateway, target) = gateway_before(&[&[$($step),*], &[Read(2), Write(ANSWER)]]).await;
            let first = gateway.call_with_id("first-1", "/order/1", "").await;
            assert_eq!(first.status, 503, "{first:?}");
            let before = target.count();
            let second = gateway.call_with_id("second-2", "/order/2", "").await;
            let has_run = target.count() > before;
            assert!(!(has_run && [421, 429, 503].contains(&second.status)), "{second:?}");
        }
    )*};
}

repeated_refusals! {
    before_the_next_request: [Read(2), Write(REFUSAL), Wait(20), Write(REFUSAL), Read(2), Wait(20), Write(ANSWER)];
    at_once_with_the_first: [Read(2), Write(REFUSAL), Write(REFUSAL), Read(2), Wait(20), Write(ANSWER)];
    during_the_next_request: [Read(2), Write(REFUSAL), ReadPart(20), Write(REFUSAL), Read(2), Wait(20), Write(ANSWER)];
    after_the_next_request: [Read(2), Write(REFUSAL), Read(2), Write(REFUSAL), Wait(20), Write(ANSWER)];
    a_421_after_the_next_request: [Read(2), Write(REFUSAL), Read(2), Write(MISDIRECTED), Wait(20), Write(ANSWER)];
}

/// A stream breaks off after its first event, and the next target answers with something else than the
/// rest of it.
macro_rules! failed_resumes {
    ($($name:ident: $behaviour:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let cuts = Target::start(&[Behaviour::TruncatedEvents]).await;
            let other = Target::start(&[$behaviour]).await;
            let gateway = TestGateway::start_with_targets(&[&cuts, &other]).await;
            let reply = gateway.call("POST", "/resumed/1").await;
            assert_eq!((reply.events(), reply.complete), (vec![1], false), "{reply:?}");
            assert!(!reply.body.contains("oops") && !reply.body.contains("HTTP/"), "{reply:?}");
            assert_eq!(other.count(), 1);
        }
    )*};
}

failed_resumes! {
    an_error_is_no_part_of_a_stream: Behaviour::Failed;
    a_plain_503_is_no_part_of_a_stream: Behaviour::PlainUnavailable;
    a_refusal_is_no_part_of_a_stream: Behaviour::Declined;
    an_answer_without_content_does_not_end_a_stream: Behaviour::NoContent;
    another_answer_does_not_end_a_stream: Behaviour::Complete;
    half_an_answer_does_not_end_a_stream: Behaviour::Truncated;
}

/// As above, with answers that are scripted byte by byte.
macro_rules! raw_resumes {
    ($($name:ident: [$($step:expr),*];)*) => {$(
        #[tokio::test]
        async fn $name() {
            let cuts = Target::start(&[Behaviour::TruncatedEvents]).await;
            let other = RawTarget::start(&[&[$($step),*]]).await;
            let gateway = TestGateway::start_with_targets(&[&cuts]).await;
            gateway.directory.put_target("t1", other.addr, false);
            gateway.wait_until(|state| state.with_targets(|targets| targets.len()) == 2).await;
            let reply = gateway.call("POST", "/resumed/1").await;
            assert_eq!((reply.events(), reply.complete), (vec![1], false), "{reply:?}");
            assert!(!reply.body.contains("oops") && !reply.body.contains("HTTP/"), "{reply:?}");
        }
    )*};
}

const ERROR_EVENTS: &str = "HTTP/1.1 500 Oh No\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n\
    Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 2\ndata: oops\n\n";
const ERROR_TEXT: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Type: text/plain\r\n\
    Content-Length: 7\r\n\r\noops\r\n\n";
const NO_BODY: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n";
const OTHER_HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\
    Connection: close\r\n\r\nHTTP/1.1 500 Oh No\r\nContent-Length: 4\r\n\r\noops\n\n";

raw_resumes! {
    the_events_of_an_error_are_no_part_of_a_stream: [Read(2), Write(ERROR_EVENTS)];
    a_plain_text_is_no_part_of_a_stream: [Read(2), Write(ERROR_TEXT)];
    an_answer_without_body_does_not_end_a_stream: [Read(2), Write(NO_BODY)];
    another_head_is_no_part_of_a_stream: [Read(2), Write(OTHER_HEAD)];
    a_head_that_stops_does_not_end_a_stream: [Read(2), Write(HEAD)];
}
