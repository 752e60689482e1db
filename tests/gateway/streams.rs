//! Streams that break off, go on elsewhere, or lose their caller.

use std::time::Duration;

use balsampitch::gateway::targets::{Load, Targets};

use crate::target::{Say, Target, header};
use crate::world::{KEY, ROUTE_TIMEOUT, World};

#[tokio::test]
async fn a_stream_goes_on_at_another_target_after_its_last_whole_event() {
    let cuts = Target::start(&[Say::CutEvents]).await;
    let rest = Target::start(&[Say::Rest]).await;
    let world = World::before(&[&cuts, &rest]).await;
    let reply = world.call("POST", "/resumed/1").await;
    assert_eq!(reply.events(), [1, 2, 3], "{reply:?}");
    assert!(reply.whole, "{reply:?}");
    let after = |target: &Target| header(&target.seen().heads[0], "last-event-id");
    assert_eq!((after(&cuts), after(&rest)), (None, Some("1".to_owned())));
}

#[tokio::test]
async fn a_target_that_goes_on_with_a_stream_counts_as_having_read_its_prompt() {
    let cuts = Target::start(&[Say::CutEvents]).await;
    let rest = Target::start(&[Say::RestAndHang]).await;
    let world = World::before(&[&cuts, &rest]).await;
    let prompt = "Token-Count: 9000,80\r\nPrompt-Prefix: 2:9000\r\n";
    let headers = format!("Authorization: Bearer {KEY}\r\n{prompt}");
    let stream = world.send("POST", "/resumed/1", &headers).await;
    world.until(|_| rest.count() == 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let held = |targets: &mut Targets| -> (u32, u64) {
        let sum = |one: (u32, u64), load: &Load| (one.0 + load.active, one.1 + load.prefill_tokens);
        let loads = targets.iter().map(|target| &target.load);
        loads.fold((0, 0), sum)
    };
    assert_eq!(world.gateway.with_targets(held), (1, 0));
    drop(stream);
}

#[tokio::test]
async fn a_stream_that_breaks_off_twice_does_not_look_whole() {
    let first = Target::start(&[Say::CutEvents]).await;
    let second = Target::start(&[Say::Reset]).await;
    let world = World::before(&[&first, &second]).await;
    let reply = world.call("POST", "/resumed/1").await;
    assert_eq!((reply.events(), reply.whole), (vec![1], false));
    assert_eq!((first.count(), second.count()), (1, 1));
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_is_sent_once() {
    let first = Target::start(&[Say::CutEvents]).await;
    let second = Target::start(&[Say::CutEvents]).await;
    let world = World::before(&[&first, &second]).await;
    let reply = world.call("POST", "/stream/1").await;
    assert_eq!((reply.events(), reply.whole), (vec![1], false));
    assert_eq!(first.count() + second.count(), 1);
}

macro_rules! departures {
    ($($name:ident: $say:expr, $path:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[$say]).await;
            let world = World::before(&[&target]).await;
            let headers = format!("Authorization: Bearer {KEY}\r\n");
            let stream = world.send("POST", $path, &headers).await;
            world.until(|_| target.count() == 1).await;
            drop(stream);
            tokio::time::sleep(Duration::from_millis(400)).await;
            assert_eq!(target.seen().gone, 1);
            assert_eq!(target.count(), 1);
        }
    )*};
}

departures! {
    a_stream_ends_at_the_target_when_its_caller_leaves: Say::Endless, "/stream/1";
    a_call_ends_at_the_target_when_its_caller_leaves: Say::Hang, "/read/1";
    an_unanswered_stream_ends_when_its_caller_leaves: Say::Hang, "/resumed/1";
}

#[tokio::test]
async fn a_stream_ends_at_its_routes_timeout_and_does_not_look_whole() {
    let target = Target::start(&[Say::Endless]).await;
    let world = World::before(&[&target]).await;
    let sent = std::time::Instant::now();
    let reply = world.call("POST", "/stream/1").await;
    assert!(!reply.whole);
    assert!(reply.events().len() > 10);
    assert!(sent.elapsed() < ROUTE_TIMEOUT + Duration::from_millis(400));
}

macro_rules! silences {
    ($($name:ident: $path:expr, $others:expr => $events:expr, $whole:expr, $sent:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let mut targets = vec![Target::start(&[Say::EventAndHang]).await];
            for &say in &$others {
                targets.push(Target::start(&[say]).await);
            }
            let world = World::before(&targets.iter().collect::<Vec<_>>()).await;
            let sent = std::time::Instant::now();
            let reply = world.call("POST", $path).await;
            assert_eq!((reply.events(), reply.whole), ($events.to_vec(), $whole), "{reply:?}");
            assert!(sent.elapsed() < ROUTE_TIMEOUT + Duration::from_millis(400));
            world.until(|_| targets[0].seen().gone == 1).await;
            assert_eq!(targets.iter().map(Target::count).sum::<usize>(), $sent);
        }
    )*};
}

silences! {
    a_stream_that_falls_silent_goes_on_at_another_target:
        "/resumed/1", [Say::Rest] => [1, 2, 3], true, 2;
    one_that_may_not_be_resumed_is_waited_for: "/stream/1", [Say::Rest] => [1], false, 1;
    one_without_another_target_is_waited_for: "/resumed/1", [] => [1], false, 1;
}

#[tokio::test]
async fn a_stream_goes_on_at_a_third_target_when_the_second_declines() {
    let cuts = Target::start(&[Say::CutEvents]).await;
    let one = Target::start(&[Say::Declined, Say::Rest]).await;
    let other = one.twin().await;
    let world = World::before(&[&cuts, &one, &other]).await;
    let reply = world.call("POST", "/resumed/1").await;
    assert_eq!(
        (reply.events(), reply.whole),
        (vec![1, 2, 3], true),
        "{reply:?}"
    );
}

#[tokio::test]
async fn tries_to_go_on_count_among_those_that_the_route_allows() {
    let says = [Say::CutEvents, Say::Reset, Say::CutEvents, Say::Rest];
    let mut targets = vec![Target::start(&says).await];
    for _ in 0..4 {
        targets.push(targets[0].twin().await);
    }
    let world = World::before(&targets.iter().collect::<Vec<_>>()).await;
    let reply = world.call("POST", "/thrice/1").await;
    assert!(!reply.whole, "{reply:?}");
    assert_eq!(targets.iter().map(Target::count).sum::<usize>(), 3);
}
