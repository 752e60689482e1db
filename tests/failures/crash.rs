//! Requests that crash their targets, and targets that are down.

use std::time::Duration;

use crate::common::http::Call;
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{
    Outcome, finish, order, order_response, send, start, stream, stream_response,
};

/// Time for crashes that one entry has seen to reach the other entries.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

fn poison(service: &str, id: &str, key: &str) -> Call {
    Call::post(format!("/{service}/crash"), id.to_owned()).key(key)
}

fn quarantined() -> Outcome {
    Outcome::NotRun(503, "quarantined".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_two_targets_at_most() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 4, 2)
        .start()
        .await;
    // The retry budget is a share of earlier requests, so serve some before the crash.
    assert_others_served(&fleet, 1).await;
    let first = send(&fleet, 0, poison("model", "poison", "school-key")).await;
    assert_eq!(first, Outcome::Unknown(502, "quarantined".to_owned()));
    for key in ["school-key", "club-key", "school-key"] {
        let outcome = send(&fleet, 0, poison("model", "poison", key)).await;
        assert_eq!(outcome, quarantined());
    }
    assert_eq!(fleet.run_count("poison").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_order_crashes_two_targets_at_most() {
    let fleet = FleetBuilder::entries(1)
        .targets("orders", 4, 2)
        .start()
        .await;
    for _ in 0..2 {
        let outcome = send(&fleet, 0, poison("orders", "poison", "club-key")).await;
        assert_eq!(outcome, Outcome::Unknown(502, "target_failed".to_owned()));
    }
    for key in ["school-key", "club-key", "school-key"] {
        let outcome = send(&fleet, 0, poison("orders", "poison", key)).await;
        assert_eq!(outcome, quarantined());
    }
    assert_eq!(fleet.run_count("poison").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_applies_at_all_entries() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 4, 2)
        .start()
        .await;
    assert_others_served(&fleet, 2).await;
    send(&fleet, 0, poison("model", "poison", "school-key")).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    for entry in [0, 1] {
        let outcome = send(&fleet, entry, poison("model", "poison", "club-key")).await;
        assert_eq!(outcome, quarantined(), "{entry}");
    }
    assert_eq!(fleet.run_count("poison").await, 2);
}

/// Sends concurrent requests to the entries and asserts that all succeed.
async fn assert_others_served(fleet: &Fleet, entries: usize) {
    let calls: Vec<_> = (0..60)
        .map(|number| {
            let id = format!("other-{number}");
            let call = start(fleet, number % entries, stream(&id, 3, 10));
            (id, call)
        })
        .collect();
    for (id, call) in calls {
        assert_eq!(finish(call).await, stream_response(&id, 3), "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn other_requests_succeed_while_crashed_targets_restart() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 4, 2)
        .start()
        .await;
    let outcome = send(&fleet, 0, poison("model", "poison", "school-key")).await;
    assert!(!matches!(outcome, Outcome::Whole(_)), "{outcome:?}");
    assert_others_served(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_avoid_a_target_that_drops_connections() {
    let fleet = FleetBuilder::entries(2)
        .targets("orders", 3, 2)
        .start()
        .await;
    let away = Call::post("/fault/target", r#"{"mode":"away","ms":4000}"#);
    fleet.call_ok(fleet.targets[0].address, away).await;
    let calls: Vec<_> = (0..60)
        .map(|number| {
            let id = format!("order-{number}");
            let call = start(&fleet, number % 2, order(&id, 20));
            (id, call)
        })
        .collect();
    let mut unknown = 0;
    for (id, call) in calls {
        let outcome = finish(call).await;
        if outcome != order_response(&id) {
            // The target accepted the connection and closed it, so the order may have run.
            assert_eq!(outcome, Outcome::Unknown(502, "target_failed".to_owned()));
            unknown += 1;
        }
    }
    assert!(
        unknown <= 2,
        "{unknown} orders were sent to a target that is down"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_avoid_a_killed_target() {
    let mut fleet = FleetBuilder::entries(2)
        .targets("orders", 3, 2)
        .start()
        .await;
    fleet.targets[0].target.kill();
    let calls: Vec<_> = (0..60)
        .map(|number| {
            let id = format!("order-{number}");
            let call = start(&fleet, number % 2, order(&id, 20));
            (id, call)
        })
        .collect();
    for (id, call) in calls {
        assert_eq!(finish(call).await, order_response(&id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_crashes_its_target_is_run_once() {
    let fleet = FleetBuilder::entries(2)
        .targets("orders", 3, 2)
        .start()
        .await;
    let outcome = send(&fleet, 0, poison("orders", "crash", "club-key")).await;
    assert_eq!(outcome, Outcome::Unknown(502, "target_failed".to_owned()));
    assert_eq!(fleet.run_count("crash").await, 1);
    assert_eq!(
        send(&fleet, 0, order("next", 5)).await,
        order_response("next")
    );
}
