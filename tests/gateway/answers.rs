//! One target's answers: what a caller may get of them, and what never.

use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use crate::target::{Say, Target};
use crate::world::{KEY, ROUTE_TIMEOUT, World};

macro_rules! answers {
    ($($name:ident: $say:expr, $path:expr => $status:expr, $whole:expr, $signed:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[$say]).await;
            let world = World::before(&[&target]).await;
            let reply = world.call("POST", $path).await;
            assert_eq!((reply.status, reply.whole), ($status, $whole), "{reply:?}");
            assert_eq!(reply.header("server-stamp").is_some(), $signed, "{reply:?}");
            if reply.status == 503 {
                assert!(reply.header("retry-after").is_some(), "{reply:?}");
            }
        }
    )*};
}

answers! {
    a_whole_answer_is_passed_on: Say::Whole, "/order/1" => 200, true, true;
    an_answer_to_another_request_is_not: Say::Crossed, "/order/1" => 502, true, false;
    a_truncated_answer_is_not: Say::Truncated, "/order/1" => 502, true, false;
    an_answer_that_ends_with_its_connection_is: Say::Unframed, "/order/1" => 200, true, true;
    one_that_is_reset_is_not: Say::UnframedReset, "/order/1" => 502, true, false;
    one_without_signature_is_not: Say::Unsigned, "/order/1" => 502, true, false;
    a_failure_is_passed_on_as_it_is: Say::Failed, "/order/1" => 500, true, true;
    not_run_is_passed_on_without_signature: Say::Declined, "/order/1" => 503, true, false;
    unsure_is_no_promise: Say::Unsure, "/order/1" => 502, true, false;
    a_moved_target_did_not_run: Say::Moved, "/order/1" => 503, true, false;
    a_reset_is_no_promise: Say::Reset, "/order/1" => 502, true, false;
    a_whole_stream: Say::Events, "/stream/1" => 200, true, true;
    a_cut_stream_does_not_look_whole: Say::CutEvents, "/stream/1" => 200, false, true;
}

macro_rules! refusals {
    ($($name:ident: $path:expr, $headers:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[Say::Whole]).await;
            let world = World::before(&[&target]).await;
            let reply = world.call_with("GET", $path, $headers).await;
            assert_eq!(reply.status, $status, "{reply:?}");
            let reaches = usize::from($status == 200);
            assert_eq!(target.count(), reaches);
        }
    )*};
}

refusals! {
    an_unknown_key: "/read/1", "Authorization: Bearer nobody\r\n" => 401;
    no_key: "/read/1", "" => 401;
    no_key_where_none_is_needed: "/open/1", "" => 200;
    no_route: "/nowhere/1", "" => 404;
}

macro_rules! heads {
    ($($name:ident: $bytes:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[Say::Whole]).await;
            let world = World::before(&[&target]).await;
            let filler = "x".repeat($bytes);
            let headers = format!("Authorization: Bearer {KEY}\r\nX-Filler: {filler}\r\n");
            let reply = world.call_with("GET", "/read/1", &headers).await;
            assert_eq!(reply.status, $status, "{reply:?}");
            assert_eq!(target.count(), usize::from($status == 200));
        }
    )*};
}

heads! {
    a_head_within_the_operators_limit_is_read: 12 * 1024 => 200;
    a_longer_one_is_refused: 20 * 1024 => 431;
}

#[tokio::test]
async fn a_target_is_told_the_account_and_not_the_key() {
    let target = Target::start(&[Say::Whole]).await;
    let world = World::before(&[&target]).await;
    let headers = "Authorization: Bearer school-key\r\nTenant: someone-else\r\nHold: 7\r\n";
    world.call_with("GET", "/read/1?q=2", headers).await;
    let head = target.seen().heads.remove(0);
    assert!(head.starts_with("GET /read/1?q=2 HTTP/1.1\r\n"), "{head}");
    let header = |name| crate::target::header(&head, name);
    assert_eq!(header("tenant").as_deref(), Some("school"));
    assert_eq!(header("expect-instance").as_deref(), Some("t0"));
    assert_eq!(header("attempt-id").as_deref(), Some("9c41"));
    assert_eq!((header("authorization"), header("hold")), (None, None));
    let left: u64 = header("deadline-remaining")
        .and_then(|ms| ms.parse().ok())
        .expect("a time");
    assert!(left <= ROUTE_TIMEOUT.as_millis() as u64);
}

#[tokio::test]
async fn a_silent_target_is_given_up_at_the_routes_timeout() {
    let target = Target::start(&[Say::Hang]).await;
    let world = World::before(&[&target]).await;
    let sent = Instant::now();
    let reply = world.call("POST", "/order/1").await;
    assert_eq!(reply.status, 504, "{reply:?}");
    assert!(sent.elapsed() < ROUTE_TIMEOUT + Duration::from_millis(400));
}

#[tokio::test]
async fn an_answer_to_nobody_never_reaches_the_next_caller() {
    let target = Target::start(&[Say::WholeAndStray]).await;
    let world = World::before(&[&target]).await;
    for _ in 0..20 {
        let reply = world.call("GET", "/read/1").await;
        assert_eq!(
            reply.header("attempt-id").as_deref(),
            Some("9c41"),
            "{reply:?}"
        );
        assert_ne!(reply.body, "stray");
    }
}

macro_rules! crowds {
    ($($name:ident: $idle:expr => $closes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[Say::Whole]).await;
            let world = World::narrow(128).await.knowing(&[&target]).await;
            let mut idle = Vec::new();
            for _ in 0..$idle {
                idle.push(TcpStream::connect(world.callers).await.expect("it listens"));
            }
            let reply = world.call_kept("GET", "/read/1").await;
            assert_eq!(reply.status, 200, "{reply:?}");
            let closes = reply.header("connection").as_deref() == Some("close");
            assert_eq!(closes, $closes, "{reply:?}");
        }
    )*};
}

crowds! {
    a_connection_is_kept_while_few_are_open: 20 => false;
    a_connection_ends_with_its_answer_while_many_are_open: 70 => true;
}
