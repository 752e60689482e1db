//! Connections between agents and entries that stop passing data, close, or are blocked.

use std::time::Duration;

use crate::common::http::Call;
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{
    Outcome, await_started, check_settled, finish, order, order_response, order_stream, send,
    start, stream, stream_response,
};

/// Time for which a response is streamed before the fault.
const STREAM_TIME: Duration = Duration::from_millis(500);
/// Longer than the receive timeout of a connection, shorter than the agent timeout of a dispatch.
const BLOCK_TIME: Duration = Duration::from_secs(4);

async fn fleet() -> Fleet {
    let builder = FleetBuilder::entries(1).targets("orders", 2, 2);
    builder.targets("model", 2, 2).links().start().await
}

async fn inject_link_fault(fleet: &Fleet, path: &'static str) {
    let link = fleet.entries[0].link.as_ref().expect("the fleet has links");
    fleet.call_ok(link.admin, Call::post(path, "")).await;
}

macro_rules! faults_during_a_response {
    ($($name:ident: $fault:expr, $call:expr => $response:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let fleet = fleet().await;
                let call = start(&fleet, 0, $call);
                await_started(&fleet, "id").await;
                tokio::time::sleep(STREAM_TIME).await;
                inject_link_fault(&fleet, $fault).await;
                if $fault == "/block" {
                    tokio::time::sleep(BLOCK_TIME).await;
                    inject_link_fault(&fleet, "/heal").await;
                }
                assert_eq!(finish(call).await, $response);
                assert_eq!(fleet.run_count("id").await, 1);
            }
        )*
    };
}

faults_during_a_response! {
    a_stream_survives_a_silent_connection:
        "/silence", stream("id", 40, 50) => stream_response("id", 40);
    a_stream_survives_silence_towards_its_entry:
        "/silence/up", stream("id", 40, 50) => stream_response("id", 40);
    a_stream_survives_silence_towards_its_agent:
        "/silence/down", stream("id", 40, 50) => stream_response("id", 40);
    an_order_survives_silence_towards_its_entry:
        "/silence/up", order("id", 1_000) => order_response("id");
    an_order_survives_silence_towards_its_agent:
        "/silence/down", order("id", 1_000) => order_response("id");
    an_order_survives_silence_after_it_has_run:
        "/silence/down", order("id", 550) => order_response("id");
    a_stream_survives_a_closed_connection:
        "/cut", stream("id", 40, 50) => stream_response("id", 40);
    a_stream_survives_a_blocked_link:
        "/block", stream("id", 40, 50) => stream_response("id", 40);
    a_streamed_order_survives_a_silent_connection:
        "/silence", order_stream("id", 40, 50) => stream_response("id", 40);
    an_order_survives_a_silent_connection:
        "/silence", order("id", 1_000) => order_response("id");
    an_order_survives_a_closed_connection:
        "/cut", order("id", 1_000) => order_response("id");
    an_order_survives_a_blocked_link:
        "/block", order("id", 1_000) => order_response("id");
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_into_a_silent_connection_run_once() {
    orders_run_once_after("/silence").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_into_silence_towards_the_entry_run_once() {
    orders_run_once_after("/silence/up").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_into_silence_towards_the_agent_run_once() {
    orders_run_once_after("/silence/down").await;
}

/// Sends orders immediately after a link fault, and asserts that each runs once.
async fn orders_run_once_after(fault: &'static str) {
    let fleet = fleet().await;
    inject_link_fault(&fleet, fault).await;
    let ids: Vec<String> = (0..6).map(|number| format!("lost-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .map(|id| start(&fleet, 0, order(id, 50)))
        .collect();
    for (id, call) in ids.iter().zip(calls) {
        assert_eq!(finish(call).await, order_response(id));
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_run_once_across_repeated_silences() {
    let fleet = fleet().await;
    let mut calls = Vec::new();
    for number in 0..40 {
        let id = format!("around-{number}");
        calls.push((id.clone(), start(&fleet, 0, order(&id, number % 7 * 20))));
        tokio::time::sleep(Duration::from_millis(40)).await;
        if number % 10 == 5 {
            inject_link_fault(&fleet, "/silence").await;
        }
    }
    for (id, call) in calls {
        assert_eq!(finish(call).await, order_response(&id));
        assert_eq!(fleet.run_count(&id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_on_a_permanently_blocked_link_is_unknown() {
    let fleet = fleet().await;
    let call = start(&fleet, 0, order("behind", 300));
    await_started(&fleet, "behind").await;
    inject_link_fault(&fleet, "/block").await;
    let outcome = finish(call).await;
    assert_eq!(outcome, Outcome::Unknown(504, "outcome_unknown".to_owned()));
    inject_link_fault(&fleet, "/heal").await;
    check_settled(&fleet, "behind", &outcome).await;
    assert_eq!(fleet.run_count("behind").await, 1);
    assert_eq!(
        send(&fleet, 0, order("after", 5)).await,
        order_response("after")
    );
}
