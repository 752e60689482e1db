//! Responses that the target truncates must not reach the caller as complete responses.

use serde_json::json;

use crate::common::http::{Call, CallError};
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{Outcome, order, order_response, order_stream, send, stream, stream_response};

async fn fleet() -> Fleet {
    let builder = FleetBuilder::entries(1).targets("orders", 1, 2);
    builder.targets("model", 1, 2).start().await
}

async fn inject_fault(fleet: &Fleet, fault: serde_json::Value) {
    for host in &fleet.targets {
        let request = Call::post("/fault/target", fault.to_string());
        fleet.call_ok(host.address, request).await;
    }
}

macro_rules! truncations {
    ($($name:ident: $after:expr, $call:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let fleet = fleet().await;
                inject_fault(&fleet, json!({"mode": "cut", "after_chunks": $after})).await;
                let outcome = send(&fleet, 0, $call).await;
                // After an early truncation the connection may close before the head is sent.
                assert!(matches!(outcome, Outcome::Failed(CallError::Truncated(_) | CallError::NoResponse(_))), "{outcome:?}");
                assert_eq!(fleet.run_count("id").await, 1);
                inject_fault(&fleet, json!({"mode": "ok"})).await;
                let next = send(&fleet, 0, stream("next", 3, 5)).await;
                assert_eq!(next, stream_response("next", 3));
            }
        )*
    };
}

truncations! {
    a_stream_truncated_after_chunks_fails: 3, stream("id", 10, 20);
    a_stream_truncated_at_its_end_fails: 10, stream("id", 10, 20);
    a_truncated_streamed_order_fails: 3, order_stream("id", 10, 20);
    a_response_truncated_at_its_end_fails: 100, order("id", 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_response_is_lost_has_an_unknown_outcome() {
    let fleet = fleet().await;
    inject_fault(&fleet, json!({"mode": "lose_answers"})).await;
    let outcome = send(&fleet, 0, order("id", 5)).await;
    assert_eq!(outcome, Outcome::Unknown(502, "target_failed".to_owned()));
    assert_eq!(fleet.run_count("id").await, 1);
    inject_fault(&fleet, json!({"mode": "ok"})).await;
    assert_eq!(
        send(&fleet, 0, order("next", 5)).await,
        order_response("next")
    );
}
