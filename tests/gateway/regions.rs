//! Routes and client accounts that are restricted to some regions. Target `t0` is in the first of
//! [`REGIONS`] and in the gateway's zone, `t1` is in the second one.

use balsampitch::gateway::cold_limit::ColdRule;
use balsampitch::gateway::config::Service;
use balsampitch::gateway::regions::RegionRule;
use balsampitch::units::Micros;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::common::await_until;
use crate::gateway_process::GatewayProcess;
use crate::harness::{KEY, REGIONS, ROUTE_TIMEOUT, Reply, TestGateway, restricted};
use crate::store::Store;
use crate::target::{Behaviour, HEALTH_PATH, Target};

fn only(region: &str) -> RegionRule {
    [region].into_iter().collect()
}

/// A gateway before two targets, with restrictions of its routes and its client account.
async fn gateway(first: Behaviour, rules: [RegionRule; 2]) -> (TestGateway, [Target; 2]) {
    let targets = [
        Target::start(&[first]).await,
        Target::start(&[Behaviour::Complete]).await,
    ];
    let gateway = TestGateway::start_with_targets(&[&targets[0], &targets[1]]).await;
    let config = restricted(2, &[KEY], Service::default(), &rules);
    gateway.directory.put_config(config);
    gateway
        .wait_until(|state| state.config().version == 2)
        .await;
    (gateway, targets)
}

/// Requires an answer that says that there is no target, and when to come back.
fn assert_refused(reply: &Reply) {
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.body.contains("no_capacity"), "{reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
}

/// Guards against a first attempt, a retry or a resumed stream outside of the allowed regions, when
/// the only target there works, fails, or breaks off. The flag says whether the answer is whole.
macro_rules! stays_in_its_regions {
    ($($name:ident: $path:expr, $behaviour:expr, $rules:expr => $whole:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (gateway, targets) = gateway($behaviour, $rules).await;
            let reply = gateway.call("GET", $path).await;
            assert_eq!(reply.status == 200 && reply.complete, $whole, "{reply:?}");
            assert_eq!(targets.each_ref().map(Target::count), [1, 0]);
        }
    )*};
}

stays_in_its_regions! {
    a_first_attempt: "/read/1", Behaviour::Complete, [only(REGIONS[0]), RegionRule::Empty] => true;
    a_retry_after_a_failure: "/read/1", Behaviour::Failed, [only(REGIONS[0]), RegionRule::Empty] => false;
    a_retry_after_a_refusal: "/order/1", Behaviour::Declined, [RegionRule::Empty, only(REGIONS[0])] => false;
    a_resumed_stream: "/resumed/1", Behaviour::TruncatedEvents, [RegionRule::Empty, only(REGIONS[0])] => false;
}

/// Guards against a request that waits, or that is sent elsewhere, when no target is left in the
/// allowed regions.
#[tokio::test]
async fn when_all_targets_of_the_regions_are_evacuated_or_gone_requests_are_refused_at_once() {
    let rules = [only(REGIONS[1]), RegionRule::Unrestricted];
    let (gateway, targets) = gateway(Behaviour::Complete, rules).await;
    assert_eq!(gateway.call("GET", "/read/1").await.status, 200);
    gateway.directory.set_evacuated("b", true);
    gateway
        .wait_until(|state| state.evacuations().len() == 1)
        .await;
    assert_refused(&gateway.call("GET", "/read/1").await);
    gateway.directory.set_evacuated("b", false);
    gateway
        .wait_until(|state| state.evacuations().is_empty())
        .await;
    assert_eq!(gateway.call("GET", "/read/1").await.status, 200);
    gateway.directory.remove_target("t1");
    gateway
        .wait_until(|state| state.with_targets(|targets| targets.len()) == 1)
        .await;
    assert_refused(&gateway.call("GET", "/read/1").await);
    assert_eq!(targets.each_ref().map(Target::count), [0, 2]);
}

/// Guards against a request that is sent by a configuration that is no longer in force: its target is
/// asked first how long it is cold, and in that time the route is restricted to the other region.
#[tokio::test]
async fn a_restriction_that_comes_between_choice_and_sending_holds() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has ports");
    let gateway = TestGateway::start().await.list_targets(&[]).await;
    let service = Service {
        cold: Some(ColdRule {
            span: Micros::from_secs(1),
            rate: 5.0,
            asks: true,
        }),
        health_path: HEALTH_PATH.parse().ok(),
        ..Service::default()
    };
    let config =
        |version, rule| restricted(version, &[KEY], service.clone(), &[rule, RegionRule::Empty]);
    gateway
        .state
        .apply_config(config(2, RegionRule::Unrestricted));
    let addr = listener.local_addr().expect("it is bound");
    gateway.directory.put_target("t0", addr, false);
    gateway
        .wait_until(|state| state.with_targets(|targets| targets.len()) == 1)
        .await;
    let target = async {
        let (mut stream, _) = listener.accept().await.expect("the gateway connects");
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut received).await.expect("it asks");
        }
        assert!(received.starts_with(b"GET /health "), "{received:?}");
        gateway.state.apply_config(config(3, only(REGIONS[1])));
        let answer = b"HTTP/1.1 200 OK\r\nCold-Remaining: 0\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("it is read");
        stream
    };
    let (reply, stream) = tokio::join!(gateway.call("POST", "/order/1"), target);
    assert_refused(&reply);
    let nothing = stream.try_read(&mut [0; 1]);
    assert!(nothing.is_err(), "the target received {nothing:?} bytes");
}

/// Whether requests are served while `allowedRegions` of all routes has this value, and what is
/// logged of it once. Guards against an odd value that lifts a restriction or stops the gateway.
macro_rules! values {
    ($($name:ident: $value:tt => $status:expr, $line:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let value: Value = json!($value);
            let store = Store::start(10).await;
            store.put_restricted_config(1, 1 << 20, ROUTE_TIMEOUT, &value);
            let target = Target::start(&[Behaviour::Complete]).await;
            store.put_target("t0", target.addr);
            let zones = json!({"zones": {"b": "visayas", "c": null}, "region": "luzon"});
            let mut process = GatewayProcess::start_with(Some(store.addr), &zones);
            process.ready().await;
            assert_eq!(process.call("/idempotent/1", b"hi").await.status, $status);
            assert_eq!(target.count(), usize::from($status == 200));
            let line: &str = $line;
            await_until(line, || async { process.process.output().contains(line) }).await;
            let lines = process.process.output().matches("allowed regions").count();
            assert_eq!(lines, usize::from(!line.is_empty()));
            assert!(process.process.try_wait().is_none());
        }
    )*};
}

values! {
    the_region_of_the_target: ["visayas", "luzon"] => 200, "";
    null_restricts_nothing: null => 200, "";
    an_empty_list_restricts_nothing: [] => 200, "restricts nothing";
    a_region_without_a_zone: ["Luzon"] => 503, "no zone is known in the allowed regions";
    a_text_allows_nothing: "luzon" => 503, "could not decode allowed regions";
    a_list_with_a_number_allows_nothing: ["luzon", 7] => 503, "could not decode allowed regions";
    an_object_allows_nothing: {"luzon": true} => 503, "could not decode allowed regions";
}
