//! Targets that say they are leaving, or ask for a pause.

use std::time::Duration;

use balsampitch::gateway::state::GatewayState;
use balsampitch::gateway::targets::Entry;
use tokio::time::{Instant, sleep};

use crate::harness::{TestGateway, WAIT_LIMIT, free_address_pair};
use crate::target::{Behaviour, Target};

const LEAVING: &str = "Server-Leaving: 1\r\n";
const LEAVING_REFUSAL: &str = "Server-Leaving: 1\r\nNot-Executed: 1\r\n";
/// Length of the pause that [`PAUSE`] asks for.
const PAUSE_TIME: Duration = Duration::from_millis(1_500);
const PAUSE: &str = "Retry-After: 1.5\r\nNot-Executed: 1\r\n";
const PAUSE_MAYBE_RUN: &str = "Retry-After: 1.5\r\n";
/// Time for a notice to be taken in once its target has got the request.
const SETTLE: Duration = Duration::from_millis(200);

/// Pause between two batches of requests, so that the gateway does not shed some of them.
const PACE: Duration = Duration::from_millis(50);
/// Time before the end of a pause at which the last batch begins.
const MARGIN: Duration = Duration::from_millis(300);

/// A target with this answer, which gets the first request, and one that serves all others.
async fn gateway_with(answer: Behaviour) -> (TestGateway, Target, Target) {
    let target = Target::start(&[answer]).await;
    let other = Target::start(&[Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target, &other]).await;
    (gateway, target, other)
}

/// Sends a request, waits until it has reached `target`, and leaves its answer unread.
async fn reach(gateway: &TestGateway, path: &str, target: &Target) -> tokio::net::TcpStream {
    let headers = format!("Authorization: Bearer {}\r\n", crate::harness::KEY);
    let stream = gateway.send("POST", path, &headers).await;
    let start = Instant::now();
    while target.count() == 0 {
        assert!(start.elapsed() < WAIT_LIMIT, "it reaches the target");
        sleep(Duration::from_millis(5)).await;
    }
    sleep(SETTLE).await;
    stream
}

/// Waits until the gateway has read such an entry of `t0`.
async fn lists(gateway: &TestGateway, holds: impl Fn(&Entry) -> bool) {
    let read = |state: &GatewayState| {
        state.with_targets(|targets| targets.by_id("t0").is_some_and(|t| holds(&t.entry)))
    };
    gateway.wait_until(read).await;
}

/// Sends requests that must all be served, and asserts that none reaches `target`.
async fn avoids(gateway: &TestGateway, target: &Target) {
    let before = target.count();
    for _ in 0..20 {
        let reply = gateway.call("GET", "/read/1").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(target.count(), before);
}

/// A target whose answer has this form gets no more requests, while the answer goes on and after the
/// list calls it ready again.
macro_rules! leaves {
    ($($name:ident: $answer:expr, $path:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (gateway, target, _other) = gateway_with($answer).await;
            let _caller = reach(&gateway, $path, &target).await;
            avoids(&gateway, &target).await;
            for draining in [true, false] {
                gateway.directory.put_target("t0", target.addr, draining);
                lists(&gateway, |entry| entry.draining == draining).await;
            }
            avoids(&gateway, &target).await;
        }
    )*};
}

leaves! {
    a_target_leaves_with_an_answer: Behaviour::CompleteWith(LEAVING), "/order/1";
    a_target_leaves_with_a_refusal: Behaviour::UnavailableWith(LEAVING_REFUSAL), "/order/1";
    a_target_leaves_with_a_refusal_without_end: Behaviour::UnavailableWithoutEnd(LEAVING_REFUSAL), "/order/1";
    a_target_leaves_with_the_head_of_a_stream: Behaviour::EndlessEventsWith(LEAVING), "/stream/1";
    a_target_leaves_with_an_answer_without_end: Behaviour::EndlessEventsWith(LEAVING), "/order/1";
}

/// Guards against a notice that outlives its target: its next run, or what takes its place, is healthy.
#[tokio::test]
async fn a_target_that_is_replaced_gets_requests_again() {
    let target = Target::start(&[Behaviour::CompleteWith(LEAVING), Behaviour::Complete]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    assert_eq!(gateway.call("POST", "/order/1").await.status, 200);
    let reply = gateway.call("POST", "/order/1").await;
    assert_eq!(reply.status, 503, "{reply:?}");
    gateway
        .directory
        .put_run("t0", target.addr, false, Some(17));
    lists(&gateway, |entry| entry.started_at == Some(17)).await;
    assert_eq!(gateway.call("POST", "/order/1").await.status, 200);
}

/// Guards against headers between target and gateway that reach callers.
#[tokio::test]
async fn callers_do_not_see_that_a_target_is_leaving() {
    let (gateway, _target, _other) = gateway_with(Behaviour::CompleteWith(LEAVING)).await;
    let reply = gateway.call("POST", "/order/1").await;
    assert_eq!((reply.status, reply.header("server-leaving")), (200, None));
}

/// Guards against gateways that send to a target which another one knows to be leaving, and against a
/// notice that is lost because it came while its gateway had no contact with anything else.
#[tokio::test]
async fn a_gateway_that_was_alone_keeps_the_notice_and_tells_it_later() {
    let target = Target::start(&[Behaviour::CompleteWith(LEAVING)]).await;
    let other = Target::start(&[Behaviour::Complete]).await;
    let [one, two] = free_address_pair();
    let first = TestGateway::start_with_peers(one, &[two]).await;
    let first = first.list_targets(&[&target, &other]).await;
    let link = first.directory.another_link();
    first.directory.set_failing(true);
    assert_eq!(first.call("POST", "/order/1").await.status, 200);
    let second = TestGateway::start_reading(&link, two, &[one]).await;
    second
        .wait_until(|state| state.config().version > 0 && state.with_targets(|t| t.len()) == 2)
        .await;
    sleep(Duration::from_secs(1)).await;
    first.directory.set_failing(false);
    sleep(SETTLE).await;
    avoids(&first, &target).await;
    avoids(&second, &target).await;
    assert_eq!(target.count(), 1);
}

/// A target that asks for a pause by an answer of this form gets no request until its end, and then
/// gets requests again.
macro_rules! pauses {
    ($($name:ident: $answer:expr, $path:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[$answer, Behaviour::Complete]).await;
            let other = Target::start(&[Behaviour::Complete]).await;
            let gateway = TestGateway::start_with_targets(&[&target, &other]).await;
            let start = Instant::now();
            let _caller = reach(&gateway, $path, &target).await;
            while start.elapsed() < PAUSE_TIME - MARGIN {
                avoids(&gateway, &target).await;
                sleep(PACE).await;
            }
            while target.count() == 1 {
                assert!(start.elapsed() < WAIT_LIMIT, "it gets requests again");
                gateway.call("GET", "/read/1").await;
                // The other target is preferred for a moment after it answered fast.
                sleep(SETTLE).await;
            }
        }
    )*};
}

pauses! {
    a_target_that_declines_a_request_pauses: Behaviour::UnavailableWith(PAUSE), "/order/1";
    a_target_that_may_have_run_a_request_pauses: Behaviour::UnavailableWith(PAUSE_MAYBE_RUN), "/order/1";
    a_target_pauses_with_a_refusal_without_end: Behaviour::UnavailableWithoutEnd(PAUSE), "/order/1";
    a_target_pauses_when_it_is_asked_for_a_stream: Behaviour::UnavailableWith(PAUSE), "/resumed/1";
}

/// Guards against pauses that are overridden when nothing else is left, and against refusals that
/// send callers back long before any target takes requests.
#[tokio::test]
async fn if_all_targets_pause_callers_are_told_when_to_come_back() {
    let targets = [
        Target::start(&[Behaviour::UnavailableWith(PAUSE)]).await,
        Target::start(&[Behaviour::UnavailableWith(PAUSE)]).await,
    ];
    let gateway = TestGateway::start_with_targets(&[&targets[0], &targets[1]]).await;
    let start = Instant::now();
    for _ in 0..20 {
        let reply = gateway.call("POST", "/order/1").await;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.body.contains("not_run"), "{reply:?}");
        let wait = reply.header("retry-after").expect("it says when");
        let wait = Duration::from_secs_f64(wait.parse().expect("it is a number"));
        // The figure is rounded to hundredths of a second.
        let end = start.elapsed() + wait + Duration::from_millis(10);
        assert!(end >= PAUSE_TIME, "{end:?}");
        assert!(end <= PAUSE_TIME * 2, "{end:?}");
    }
    assert_eq!(targets.each_ref().map(Target::count), [1, 1]);
}

/// Guards against callers that wait for a body without end that they never see: the request goes to
/// the next target.
macro_rules! refusals_without_end {
    ($($name:ident: $lines:expr, $path:expr => $limit_ms:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let answer = Behaviour::UnavailableWithoutEnd($lines);
            let (gateway, target, _other) = gateway_with(answer).await;
            let start = Instant::now();
            let reply = gateway.call("POST", $path).await;
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(target.count(), 1);
            let limit = Duration::from_millis($limit_ms);
            assert!(start.elapsed() < limit, "{:?}", start.elapsed());
        }
    )*};
}

refusals_without_end! {
    a_refusal_without_end_does_not_hold_up_its_request: PAUSE, "/order/1" => 600;
    an_error_without_end_holds_up_its_request_for_a_second: PAUSE_MAYBE_RUN, "/read/1" => 1_190;
}
