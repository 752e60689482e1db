//! Streams that break off, are resumed at another target, or lose their client.

use std::time::Duration;

use balsampitch::gateway::targets::{Load, Targets};

use crate::harness::{KEY, ROUTE_TIMEOUT, TestGateway};
use crate::target::{Behaviour, Report, Target, header};

#[tokio::test]
async fn a_stream_is_resumed_at_another_target_after_its_last_complete_event() {
    let cuts = Target::start(&[Behaviour::TruncatedEvents]).await;
    let rest = Target::start(&[Behaviour::ResumedEvents]).await;
    let gateway = TestGateway::start_with_targets(&[&cuts, &rest]).await;
    let reply = gateway.call("POST", "/resumed/1").await;
    assert_eq!(reply.events(), [1, 2, 3], "{reply:?}");
    assert!(reply.complete, "{reply:?}");
    let after = |target: &Target| header(&target.received().heads[0], "last-event-id");
    assert_eq!((after(&cuts), after(&rest)), (None, Some("1".to_owned())));
}

#[tokio::test]
async fn a_target_that_resumes_a_stream_has_no_prefill_backlog() {
    let cuts = Target::start(&[Behaviour::TruncatedEvents]).await;
    let rest = Target::start(&[Behaviour::ResumedEventsAndHang]).await;
    let gateway = TestGateway::start_with_targets(&[&cuts, &rest]).await;
    let prompt = "Token-Count: 9000,80\r\nPrompt-Prefix: 2:9000\r\n";
    let headers = format!("Authorization: Bearer {KEY}\r\n{prompt}");
    let stream = gateway.send("POST", "/resumed/1", &headers).await;
    gateway.wait_until(|_| rest.count() == 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let held = |targets: &mut Targets| -> (u32, u64) {
        let sum = |one: (u32, u64), load: &Load| (one.0 + load.active, one.1 + load.prefill_tokens);
        let loads = targets.iter().map(|target| &target.load);
        loads.fold((0, 0), sum)
    };
    assert_eq!(gateway.state.with_targets(held), (1, 0));
    drop(stream);
}

#[tokio::test]
async fn a_stream_that_breaks_off_twice_does_not_look_complete() {
    let first = Target::start(&[Behaviour::TruncatedEvents]).await;
    let second = Target::start(&[Behaviour::Reset]).await;
    let gateway = TestGateway::start_with_targets(&[&first, &second]).await;
    let reply = gateway.call("POST", "/resumed/1").await;
    assert_eq!((reply.events(), reply.complete), (vec![1], false));
    assert_eq!((first.count(), second.count()), (1, 1));
}

#[tokio::test]
async fn a_stream_that_is_not_resumable_is_sent_once() {
    let first = Target::start(&[Behaviour::TruncatedEvents]).await;
    let second = Target::start(&[Behaviour::TruncatedEvents]).await;
    let gateway = TestGateway::start_with_targets(&[&first, &second]).await;
    let reply = gateway.call("POST", "/stream/1").await;
    assert_eq!((reply.events(), reply.complete), (vec![1], false));
    assert_eq!(first.count() + second.count(), 1);
}

macro_rules! disconnects {
    ($($name:ident: $behaviour:expr, $path:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[$behaviour]).await;
            let gateway = TestGateway::start_with_targets(&[&target]).await;
            let headers = format!("Authorization: Bearer {KEY}\r\n");
            let stream = gateway.send("POST", $path, &headers).await;
            gateway.wait_until(|_| target.count() == 1).await;
            drop(stream);
            tokio::time::sleep(Duration::from_millis(400)).await;
            assert_eq!(target.received().disconnects, 1);
            assert_eq!(target.count(), 1);
        }
    )*};
}

disconnects! {
    a_stream_is_cancelled_when_its_client_disconnects: Behaviour::EndlessEvents, "/stream/1";
    a_call_is_cancelled_when_its_client_disconnects: Behaviour::Hang, "/read/1";
    an_unanswered_stream_is_cancelled_when_its_client_disconnects: Behaviour::Hang, "/resumed/1";
}

#[tokio::test]
async fn a_stream_ends_at_the_route_timeout_and_does_not_look_complete() {
    let target = Target::start(&[Behaviour::EndlessEvents]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    let sent = std::time::Instant::now();
    let reply = gateway.call("POST", "/stream/1").await;
    assert!(!reply.complete);
    assert!(reply.events().len() > 10);
    assert!(sent.elapsed() < ROUTE_TIMEOUT + Duration::from_millis(400));
}

macro_rules! stalls {
    ($($name:ident: $path:expr, $report:expr, $others:expr => $events:expr, $complete:expr, $sent:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let mut targets = vec![Target::reporting(Behaviour::EventAndHang, $report).await];
            for &behaviour in &$others {
                targets.push(Target::start(&[behaviour]).await);
            }
            let gateway = TestGateway::start_with_targets(&targets.iter().collect::<Vec<_>>()).await;
            let sent = std::time::Instant::now();
            let reply = gateway.call("POST", $path).await;
            assert_eq!((reply.events(), reply.complete), ($events.to_vec(), $complete), "{reply:?}");
            assert!(sent.elapsed() < ROUTE_TIMEOUT + Duration::from_millis(400));
            gateway.wait_until(|_| targets[0].received().disconnects == 1).await;
            assert_eq!(targets.iter().map(Target::count).sum::<usize>(), $sent);
        }
    )*};
}

stalls! {
    a_stalled_stream_is_resumed_at_another_target:
        "/resumed/1", Report::Empty, [Behaviour::ResumedEvents] => [1, 2, 3], true, 2;
    a_stalled_stream_that_its_target_goes_on_with_is_sent_once:
        "/resumed/1", Report::Received, [Behaviour::ResumedEvents] => [1], false, 1;
    a_stalled_stream_whose_target_cannot_be_reached_is_resumed:
        "/resumed/1", Report::Refused, [Behaviour::ResumedEvents] => [1, 2, 3], true, 2;
    a_stalled_stream_without_a_report_is_kept:
        "/resumed/1", Report::Unreadable, [Behaviour::ResumedEvents] => [1], false, 1;
    a_stalled_stream_that_is_not_resumable_is_kept:
        "/stream/1", Report::Empty, [Behaviour::ResumedEvents] => [1], false, 1;
    a_stalled_stream_without_another_target_is_kept: "/resumed/1", Report::Empty, [] => [1], false, 1;
}

#[tokio::test]
async fn a_stream_is_resumed_at_a_third_target_if_the_second_declines() {
    let cuts = Target::start(&[Behaviour::TruncatedEvents]).await;
    let one = Target::start(&[Behaviour::Declined, Behaviour::ResumedEvents]).await;
    let other = one.twin().await;
    let gateway = TestGateway::start_with_targets(&[&cuts, &one, &other]).await;
    let reply = gateway.call("POST", "/resumed/1").await;
    assert_eq!(
        (reply.events(), reply.complete),
        (vec![1, 2, 3], true),
        "{reply:?}"
    );
}

#[tokio::test]
async fn attempts_to_resume_count_towards_the_route_limit() {
    let behaviours = [
        Behaviour::TruncatedEvents,
        Behaviour::Reset,
        Behaviour::TruncatedEvents,
        Behaviour::ResumedEvents,
    ];
    let mut targets = vec![Target::start(&behaviours).await];
    for _ in 0..4 {
        targets.push(targets[0].twin().await);
    }
    let gateway = TestGateway::start_with_targets(&targets.iter().collect::<Vec<_>>()).await;
    let reply = gateway.call("POST", "/thrice/1").await;
    assert!(!reply.complete, "{reply:?}");
    assert_eq!(targets.iter().map(Target::count).sum::<usize>(), 3);
}
