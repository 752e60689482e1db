//! Which answers of a single target are forwarded to the client, and which become errors.

use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use crate::harness::{KEY, ROUTE_TIMEOUT, TestGateway};
use crate::target::{Behaviour, Target};

macro_rules! answers {
    ($($name:ident: $behaviour:expr, $path:expr => $status:expr, $complete:expr, $signed:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[$behaviour]).await;
            let gateway = TestGateway::start_with_targets(&[&target]).await;
            let reply = gateway.call("POST", $path).await;
            assert_eq!((reply.status, reply.complete), ($status, $complete), "{reply:?}");
            assert_eq!(reply.header("server-stamp").is_some(), $signed, "{reply:?}");
            if reply.status == 503 {
                assert!(reply.header("retry-after").is_some(), "{reply:?}");
            }
        }
    )*};
}

answers! {
    a_complete_answer_is_forwarded: Behaviour::Complete, "/order/1" => 200, true, true;
    an_answer_to_another_request_is_rejected: Behaviour::OtherRequest, "/order/1" => 502, true, false;
    a_truncated_answer_is_rejected: Behaviour::Truncated, "/order/1" => 502, true, false;
    an_answer_delimited_by_close_is_forwarded: Behaviour::CloseDelimited, "/order/1" => 200, true, true;
    an_answer_cut_by_a_reset_is_rejected: Behaviour::CloseDelimitedReset, "/order/1" => 502, true, false;
    an_answer_without_signature_is_rejected: Behaviour::Unsigned, "/order/1" => 502, true, false;
    a_signed_error_is_forwarded_unchanged: Behaviour::Failed, "/order/1" => 500, true, true;
    not_run_is_reported_without_signature: Behaviour::Declined, "/order/1" => 503, true, false;
    a_plain_503_does_not_mean_not_run: Behaviour::PlainUnavailable, "/order/1" => 502, true, false;
    a_moved_target_means_not_run: Behaviour::Moved, "/order/1" => 503, true, false;
    a_reset_does_not_mean_not_run: Behaviour::Reset, "/order/1" => 502, true, false;
    an_idle_timeout_beyond_all_clocks_does_no_harm: Behaviour::KeptForever, "/order/1" => 200, true, true;
    a_complete_stream: Behaviour::Events, "/stream/1" => 200, true, true;
    a_truncated_stream_does_not_look_complete: Behaviour::TruncatedEvents, "/stream/1" => 200, false, true;
}

macro_rules! refusals {
    ($($name:ident: $path:expr, $headers:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[Behaviour::Complete]).await;
            let gateway = TestGateway::start_with_targets(&[&target]).await;
            let reply = gateway.call_with("GET", $path, $headers).await;
            assert_eq!(reply.status, $status, "{reply:?}");
            let reaches = usize::from($status == 200);
            assert_eq!(target.count(), reaches);
        }
    )*};
}

refusals! {
    an_unknown_key_is_refused: "/read/1", "Authorization: Bearer nobody\r\n" => 401;
    a_missing_key_is_refused: "/read/1", "" => 401;
    an_anonymous_route_needs_no_key: "/open/1", "" => 200;
    an_anonymous_route_accepts_a_known_key: "/open/1", "Authorization: Bearer school-key\r\n" => 200;
    an_unknown_key_is_refused_on_an_anonymous_route: "/open/1", "Authorization: Bearer nobody\r\n" => 401;
    other_credentials_are_no_key: "/open/1", "Authorization: Basic bm9ib2R5\r\n" => 200;
    an_unknown_route_is_not_found: "/nowhere/1", "" => 404;
}

macro_rules! heads {
    ($($name:ident: $bytes:expr => $status:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[Behaviour::Complete]).await;
            let gateway = TestGateway::start_with_targets(&[&target]).await;
            let filler = "x".repeat($bytes);
            let headers = format!("Authorization: Bearer {KEY}\r\nX-Filler: {filler}\r\n");
            let reply = gateway.call_with("GET", "/read/1", &headers).await;
            assert_eq!(reply.status, $status, "{reply:?}");
            assert_eq!(target.count(), usize::from($status == 200));
        }
    )*};
}

heads! {
    a_head_within_the_configured_limit_is_accepted: 12 * 1024 => 200;
    a_head_over_the_limit_is_refused: 20 * 1024 => 431;
}

#[tokio::test]
async fn a_target_gets_the_account_but_not_the_key() {
    let target = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    let headers = "Authorization: Bearer school-key\r\nTenant: someone-else\r\nHold: 7\r\n";
    gateway.call_with("GET", "/read/1?q=2", headers).await;
    let head = target.received().heads.remove(0);
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
async fn a_silent_target_times_out_with_the_route() {
    let target = Target::start(&[Behaviour::Hang]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    let sent = Instant::now();
    let reply = gateway.call("POST", "/order/1").await;
    assert_eq!(reply.status, 504, "{reply:?}");
    assert!(sent.elapsed() < ROUTE_TIMEOUT + Duration::from_millis(400));
}

#[tokio::test]
async fn a_stray_answer_never_reaches_the_next_client() {
    let target = Target::start(&[Behaviour::CompleteAndStray]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    for _ in 0..20 {
        let reply = gateway.call("GET", "/read/1").await;
        assert_eq!(
            reply.header("attempt-id").as_deref(),
            Some("9c41"),
            "{reply:?}"
        );
        assert_ne!(reply.body, "stray");
    }
}

macro_rules! connections {
    ($($name:ident: $idle:expr => $closes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[Behaviour::Complete]).await;
            let gateway = TestGateway::start_with_descriptors(128).await.list_targets(&[&target]).await;
            let mut idle = Vec::new();
            for _ in 0..$idle {
                idle.push(TcpStream::connect(gateway.callers).await.expect("it listens"));
            }
            let reply = gateway.call_keep_alive("GET", "/read/1").await;
            assert_eq!(reply.status, 200, "{reply:?}");
            let closes = reply.header("connection").as_deref() == Some("close");
            assert_eq!(closes, $closes, "{reply:?}");
        }
    )*};
}

connections! {
    connections_are_kept_alive_while_few_are_open: 20 => false;
    connections_are_closed_after_the_answer_while_many_are_open: 70 => true;
}
