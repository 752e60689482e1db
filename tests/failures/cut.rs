//! Answers that the target cuts short never pass as whole.

use serde_json::json;

use crate::common::http::{Call, CallError};
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{Told, echoed, order, order_stream, stream, streamed, tell};

async fn fleet() -> Fleet {
    let plan = FleetBuilder::entries(1).targets("orders", 1, 2);
    plan.targets("model", 1, 2).start().await
}

async fn fault(fleet: &Fleet, fault: serde_json::Value) {
    for host in &fleet.targets {
        let order = Call::post("/fault/target", fault.to_string());
        fleet.call_ok(host.address, order).await;
    }
}

macro_rules! cut {
    ($($name:ident: $after:expr, $call:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let fleet = fleet().await;
                fault(&fleet, json!({"mode": "cut", "after_chunks": $after})).await;
                let told = tell(&fleet, 0, $call).await;
                // An answer that breaks off at once may end before its head was written.
                assert!(matches!(told, Told::Nothing(CallError::Truncated(_) | CallError::NoResponse(_))), "{told:?}");
                assert_eq!(fleet.run_count("id").await, 1);
                fault(&fleet, json!({"mode": "ok"})).await;
                let next = tell(&fleet, 0, stream("next", 3, 5)).await;
                assert_eq!(next, streamed("next", 3));
            }
        )*
    };
}

cut! {
    a_stream_cut_after_chunks_is_cut: 3, stream("id", 10, 20);
    a_stream_cut_at_its_end_is_cut: 10, stream("id", 10, 20);
    a_streamed_order_that_is_cut_is_cut: 3, order_stream("id", 10, 20);
    an_answer_cut_at_its_end_is_cut: 100, order("id", 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_is_unknown() {
    let fleet = fleet().await;
    fault(&fleet, json!({"mode": "lose_answers"})).await;
    let told = tell(&fleet, 0, order("id", 5)).await;
    assert_eq!(told, Told::Unknown(502, "target_failed".to_owned()));
    assert_eq!(fleet.run_count("id").await, 1);
    fault(&fleet, json!({"mode": "ok"})).await;
    assert_eq!(tell(&fleet, 0, order("next", 5)).await, echoed("next"));
}
