//! Retries with an idempotency key, through both entries.

use crate::fleet::FleetBuilder;
use crate::outcome::{
    Outcome, await_started, check_settled, finish, keyed_order, order, order_response, send, start,
};

const ENTRIES: usize = 2;

fn builder() -> FleetBuilder {
    FleetBuilder::entries(ENTRIES).targets("orders", 2, 4)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_its_entry_was_killed_is_not_run_again() {
    let mut fleet = builder().start().await;
    let call = start(&fleet, 0, keyed_order("orphan", 1_000));
    await_started(&fleet, "orphan").await;
    fleet.entries[0].process.kill();
    assert!(matches!(finish(call).await, Outcome::Failed(_)));
    let elsewhere = Outcome::Unknown(409, "claimed_elsewhere".to_owned());
    for _ in 0..3 {
        assert_eq!(
            send(&fleet, 1, keyed_order("orphan", 1_000)).await,
            elsewhere
        );
    }
    fleet.restart_entry(0).await;
    for entry in 0..ENTRIES {
        assert_eq!(
            send(&fleet, entry, keyed_order("orphan", 1_000)).await,
            elsewhere
        );
    }
    check_settled(&fleet, "orphan", &elsewhere).await;
    assert_eq!(fleet.run_count("orphan").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_joins_the_running_order() {
    let fleet = builder().start().await;
    let first = start(&fleet, 0, keyed_order("joined", 1_000));
    await_started(&fleet, "joined").await;
    let here = start(&fleet, 0, keyed_order("joined", 1_000));
    let there = start(&fleet, 1, keyed_order("joined", 1_000));
    for call in [first, here, there] {
        assert_eq!(finish(call).await, order_response("joined"));
    }
    for entry in 0..ENTRIES {
        let late = send(&fleet, entry, keyed_order("joined", 1_000)).await;
        assert_eq!(late, order_response("joined"));
    }
    assert_eq!(fleet.run_count("joined").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_with_another_body_is_rejected() {
    let fleet = builder().start().await;
    assert_eq!(
        send(&fleet, 0, keyed_order("body", 5)).await,
        order_response("body")
    );
    let reused = Outcome::NotRun(422, "key_reused".to_owned());
    for entry in 0..ENTRIES {
        let other = order("other", 5).header("idempotency-key", "body");
        assert_eq!(send(&fleet, entry, other).await, reused);
    }
    check_settled(&fleet, "other", &reused).await;
    assert_eq!(fleet.run_count("body").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    const KEYS: usize = 40;
    let fleet = builder().start().await;
    let mut calls = Vec::new();
    for number in 0..KEYS {
        let id = format!("race-{number}");
        for entry in [0, 1, 0, 1] {
            calls.push((id.clone(), start(&fleet, entry, keyed_order(&id, 10))));
        }
    }
    for (id, call) in calls {
        assert_eq!(finish(call).await, order_response(&id));
    }
    for number in 0..KEYS {
        assert_eq!(
            fleet.run_count(&format!("race-{number}")).await,
            1,
            "{number}"
        );
    }
}
