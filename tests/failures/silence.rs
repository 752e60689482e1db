//! Connections between agents and entries that go silent, close, or cannot be made.

use std::time::Duration;

use crate::common::http::Call;
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{
    Told, begun, check_settled, echoed, order, order_stream, start, stream, streamed, tell, told,
};

/// Part of a stream that has passed before the fault.
const PART: Duration = Duration::from_millis(500);
/// Longer than a silence takes to be found, shorter than a dispatch is waited for.
const OUTAGE: Duration = Duration::from_secs(4);

async fn fleet() -> Fleet {
    let plan = FleetBuilder::entries(1).targets("orders", 2, 2);
    plan.targets("model", 2, 2).links().start().await
}

async fn order_link(fleet: &Fleet, what: &'static str) {
    let link = fleet.entries[0].link.as_ref().expect("the plan has links");
    fleet.call_ok(link.admin, Call::post(what, "")).await;
}

macro_rules! during_an_answer {
    ($($name:ident: $fault:expr, $call:expr => $answer:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let fleet = fleet().await;
                let call = start(&fleet, 0, $call);
                begun(&fleet, "id").await;
                tokio::time::sleep(PART).await;
                order_link(&fleet, $fault).await;
                if $fault == "/block" {
                    tokio::time::sleep(OUTAGE).await;
                    order_link(&fleet, "/heal").await;
                }
                assert_eq!(told(call).await, $answer);
                assert_eq!(fleet.run_count("id").await, 1);
            }
        )*
    };
}

during_an_answer! {
    a_stream_outlasts_a_silent_connection:
        "/silence", stream("id", 40, 50) => streamed("id", 40);
    a_stream_outlasts_silence_towards_its_entry:
        "/silence/up", stream("id", 40, 50) => streamed("id", 40);
    a_stream_outlasts_silence_towards_its_agent:
        "/silence/down", stream("id", 40, 50) => streamed("id", 40);
    an_order_outlasts_silence_towards_its_entry:
        "/silence/up", order("id", 1_000) => echoed("id");
    an_order_outlasts_silence_towards_its_agent:
        "/silence/down", order("id", 1_000) => echoed("id");
    an_order_outlasts_silence_after_its_run:
        "/silence/down", order("id", 550) => echoed("id");
    a_stream_outlasts_a_closed_connection:
        "/cut", stream("id", 40, 50) => streamed("id", 40);
    a_stream_outlasts_a_blocked_link:
        "/block", stream("id", 40, 50) => streamed("id", 40);
    a_streamed_order_outlasts_a_silent_connection:
        "/silence", order_stream("id", 40, 50) => streamed("id", 40);
    an_order_outlasts_a_silent_connection:
        "/silence", order("id", 1_000) => echoed("id");
    an_order_outlasts_a_closed_connection:
        "/cut", order("id", 1_000) => echoed("id");
    an_order_outlasts_a_blocked_link:
        "/block", order("id", 1_000) => echoed("id");
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_into_a_silent_connection_run_once() {
    sent_into("/silence").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_while_no_answer_comes_run_once() {
    sent_into("/silence/up").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_while_they_reach_no_agent_run_once() {
    sent_into("/silence/down").await;
}

/// Sends orders right after a fault of the link.
async fn sent_into(fault: &'static str) {
    let fleet = fleet().await;
    order_link(&fleet, fault).await;
    let ids: Vec<String> = (0..6).map(|number| format!("lost-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .map(|id| start(&fleet, 0, order(id, 50)))
        .collect();
    for (id, call) in ids.iter().zip(calls) {
        assert_eq!(told(call).await, echoed(id));
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_around_many_silences_run_once() {
    let fleet = fleet().await;
    let mut calls = Vec::new();
    for number in 0..40 {
        let id = format!("around-{number}");
        calls.push((id.clone(), start(&fleet, 0, order(&id, number % 7 * 20))));
        tokio::time::sleep(Duration::from_millis(40)).await;
        if number % 10 == 5 {
            order_link(&fleet, "/silence").await;
        }
    }
    for (id, call) in calls {
        assert_eq!(told(call).await, echoed(&id));
        assert_eq!(fleet.run_count(&id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_behind_a_link_that_stays_blocked_is_unknown() {
    let fleet = fleet().await;
    let call = start(&fleet, 0, order("behind", 300));
    begun(&fleet, "behind").await;
    order_link(&fleet, "/block").await;
    let told = told(call).await;
    assert_eq!(told, Told::Unknown(504, "outcome_unknown".to_owned()));
    order_link(&fleet, "/heal").await;
    check_settled(&fleet, "behind", &told).await;
    assert_eq!(fleet.run_count("behind").await, 1);
    assert_eq!(tell(&fleet, 0, order("after", 5)).await, echoed("after"));
}
