//! Targets of several versions of their software serve side by side. What two versions write does not
//! fit together, so a stream goes on only at the version that began it.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::harness::{
    FakeDirectory, KEY, ROUTE_TIMEOUT, Reply, TestGateway, WAIT_LIMIT, free_address_pair,
};
use crate::target::{Behaviour, Target};

/// Time within which gateways tell each other which version has begun a stream.
const TELL_TIME: Duration = Duration::from_millis(300);
/// Time within which a request is refused that cannot be served.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);
/// Id of the request that brings a stream's first event.
const ORIGIN: &str = "origin-1";

async fn wait_for_targets(gateway: &TestGateway, count: usize) {
    gateway
        .wait_until(|state| state.with_targets(|targets| targets.len()) == count)
        .await;
}

/// Publishes a version of the first target's software and of the second one's.
async fn gateway_before(targets: [(&Target, Option<&str>); 2]) -> TestGateway {
    let gateway = TestGateway::start().await.list_targets(&[]).await;
    for (index, (target, version)) in targets.into_iter().enumerate() {
        let id = format!("t{index}");
        gateway.directory.put_version(&id, target.addr, version);
    }
    wait_for_targets(&gateway, targets.len()).await;
    gateway
}

/// Which events a client gets of a stream that breaks off after the first one at a target of a version,
/// beside a target of another one.
macro_rules! broken_streams {
    ($($name:ident: $version:expr, $other:expr => $events:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let cuts = Target::start(&[Behaviour::TruncatedEvents]).await;
            let other = Target::start(&[Behaviour::ResumedEvents]).await;
            let gateway = gateway_before([(&cuts, $version), (&other, $other)]).await;
            let events: &[u32] = &$events;
            let reply = gateway.call("POST", "/resumed/1").await;
            assert_eq!(reply.events(), events);
            assert_eq!(reply.complete, events.len() == 3);
            assert_eq!(other.count(), usize::from(events.len() == 3));
        }
    )*};
}

broken_streams! {
    a_broken_stream_goes_on_at_its_version: Some("v1"), Some("v1") => [1, 2, 3];
    a_broken_stream_does_not_go_on_at_another_version: Some("v1"), Some("v2") => [1];
    a_broken_stream_does_not_go_on_at_an_unknown_version: Some("v1"), None => [1];
    a_broken_stream_of_an_unknown_version_does_not_go_on: None, None => [1];
}

/// A stream without any event may begin anew at another version.
#[tokio::test]
async fn a_stream_without_events_begins_at_another_version() {
    let resets = Target::start(&[Behaviour::Reset]).await;
    let other = Target::start(&[Behaviour::Events]).await;
    let gateway = gateway_before([(&resets, Some("v1")), (&other, Some("v2"))]).await;
    let reply = gateway.call("POST", "/resumed/1").await;
    assert_eq!((reply.events(), reply.complete), (vec![1, 2, 3], true));
}

/// The second target restarts with another version while the first one serves the stream.
#[tokio::test]
async fn a_target_that_changed_its_version_does_not_go_on_with_a_stream() {
    let first = Target::start(&[Behaviour::CrashOnPoisonAmidStreams]).await;
    let other = Target::start(&[Behaviour::ResumedEvents]).await;
    let gateway = gateway_before([(&first, Some("v1")), (&other, Some("v1"))]).await;
    let mut stream = begin(&gateway).await;
    gateway.directory.put_version("t1", other.addr, Some("v2"));
    gateway
        .wait_until(|state| {
            state.with_targets(|targets| {
                let other = targets.by_id("t1");
                other.is_some_and(|other| other.entry.version.as_deref() == Some("v2"))
            })
        })
        .await;
    gateway.call("POST", "/order/poison").await;
    let mut data = Vec::new();
    let _ = timeout(WAIT_LIMIT, stream.read_to_end(&mut data)).await;
    assert_eq!(other.count(), 0);
}

/// Begins a stream with the id [`ORIGIN`] and reads its first event.
async fn begin(gateway: &TestGateway) -> TcpStream {
    let mut stream = gateway.open_with_id(ORIGIN, "/resumed/1").await;
    let mut data = Vec::new();
    let first = async {
        while Reply::new(&data, false).events().is_empty() {
            assert_ne!(stream.read_buf(&mut data).await.expect("it answers"), 0);
        }
    };
    timeout(WAIT_LIMIT, first).await.expect("the stream begins");
    stream
}

/// Takes a stream up again after its first event.
async fn take_up(gateway: &TestGateway, origin: &str) -> Reply {
    let headers = format!("Last-Event-Id: 1\r\n{origin}");
    gateway
        .call_with_id("again-1", "/resumed/1", &headers)
        .await
}

/// The header that names the request which brought a stream's first event.
fn origin() -> String {
    format!("Resumes: {ORIGIN}\r\n")
}

/// Two gateways before targets of two versions. The first gateway has begun a stream at the old one
/// and is gone; both gateways would prefer the new one.
struct Rollout {
    old: Target,
    new: Target,
    /// The gateway that is left.
    gateway: TestGateway,
}

impl Rollout {
    async fn start() -> Rollout {
        let [one, two] = free_address_pair();
        let old = Target::start(&[Behaviour::EventAndHang, Behaviour::ResumedEvents]).await;
        let new = Target::start(&[Behaviour::ResumedEvents]).await;
        let directory = FakeDirectory::default();
        let first = TestGateway::start_reading(&directory, one, &[two]).await;
        let first = first.list_targets(&[]).await;
        directory.put_version("t1", old.addr, Some("v1"));
        let gateway = TestGateway::start_reading(&directory.another_link(), two, &[one]).await;
        wait_for_targets(&first, 1).await;
        wait_for_targets(&gateway, 1).await;
        let stream = begin(&first).await;
        directory.put_version("t0", new.addr, Some("v2"));
        wait_for_targets(&first, 2).await;
        wait_for_targets(&gateway, 2).await;
        sleep(TELL_TIME).await;
        first.task.abort();
        drop(stream);
        Rollout { old, new, gateway }
    }
}

#[tokio::test]
async fn a_client_goes_on_at_its_version_through_another_gateway() {
    let rollout = Rollout::start().await;
    let reply = take_up(&rollout.gateway, &origin()).await;
    assert_eq!((reply.events(), reply.complete), (vec![2, 3], true));
    assert_eq!((rollout.old.count(), rollout.new.count()), (2, 0));
}

#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused() {
    let rollout = Rollout::start().await;
    let gateway = &rollout.gateway;
    gateway.directory.put_target("t1", rollout.old.addr, true);
    let drains = |state: &balsampitch::gateway::state::GatewayState| {
        state.with_targets(|targets| targets.iter().any(|target| target.entry.draining))
    };
    gateway.wait_until(drains).await;
    let reply = take_up(gateway, &origin()).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!((rollout.old.count(), rollout.new.count()), (1, 0));
}

/// How a stream is refused that nobody knows, beside two versions.
macro_rules! unknown_streams {
    ($($name:ident: $origin:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let one = Target::start(&[Behaviour::ResumedEvents]).await;
            let other = Target::start(&[Behaviour::ResumedEvents]).await;
            let gateway = gateway_before([(&one, Some("v1")), (&other, Some("v2"))]).await;
            let sent = Instant::now();
            let reply = take_up(&gateway, $origin).await;
            assert!(sent.elapsed() < REFUSAL_LIMIT);
            assert_eq!(reply.status, 503, "{reply:?}");
            assert!(reply.header("retry-after").is_some());
            assert_eq!(one.count() + other.count(), 0);
        }
    )*};
}

unknown_streams! {
    a_stream_that_no_gateway_has_begun_is_refused: "Resumes: unknown-1\r\n";
    a_stream_without_the_id_of_its_beginning_is_refused: "";
}

/// A gateway need not have begun a stream to know its version if there has been no other for long.
#[tokio::test]
async fn a_stream_that_nobody_knows_goes_on_where_one_version_has_served_for_long() {
    let target = Target::start(&[Behaviour::ResumedEvents]).await;
    let gateway = TestGateway::start_with_targets(&[&target]).await;
    sleep(ROUTE_TIMEOUT + Duration::from_millis(2_500)).await;
    let reply = take_up(&gateway, "Resumes: unknown-1\r\n").await;
    assert_eq!((reply.events(), reply.complete), (vec![2, 3], true));
}

/// A gateway that has just started does not know which versions served before.
#[tokio::test]
async fn a_gateway_that_has_just_started_asks_the_others() {
    let [one, two] = free_address_pair();
    let target = Target::start(&[Behaviour::ResumedEvents]).await;
    let directory = FakeDirectory::default();
    let old = TestGateway::start_reading(&directory, one, &[two]).await;
    let old = old.list_targets(&[&target]).await;
    sleep(ROUTE_TIMEOUT + Duration::from_millis(2_500)).await;
    let new = TestGateway::start_reading(&directory.another_link(), two, &[one]).await;
    wait_for_targets(&new, 1).await;
    sleep(TELL_TIME).await;
    let reply = take_up(&new, "Resumes: unknown-1\r\n").await;
    assert_eq!((reply.events(), reply.complete), (vec![2, 3], true));
    drop(old);
}

/// A new request is not bound to a version, whatever its client names.
#[tokio::test]
async fn a_new_stream_begins_at_any_version() {
    let one = Target::start(&[Behaviour::Events]).await;
    let other = Target::start(&[Behaviour::Events]).await;
    let gateway = gateway_before([(&one, Some("v1")), (&other, Some("v2"))]).await;
    let headers = format!("Authorization: Bearer {KEY}\r\n");
    let reply = gateway.call_with("POST", "/resumed/1", &headers).await;
    assert_eq!((reply.events(), reply.complete), (vec![1, 2, 3], true));
}
