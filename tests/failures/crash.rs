//! Requests that crash their targets.

use std::time::Duration;

use crate::common::http::Call;
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{Told, echoed, order, start, stream, streamed, tell, told};

/// Time for one entry to learn of crashes at another.
const EXCHANGE: Duration = Duration::from_secs(3);

fn poison(service: &str, id: &str, key: &str) -> Call {
    Call::post(format!("/{service}/crash"), id.to_owned()).key(key)
}

fn quarantined() -> Told {
    Told::NotRun(503, "quarantined".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_two_targets_at_most() {
    let fleet = FleetBuilder::entries(1)
        .targets("model", 4, 2)
        .start()
        .await;
    // Retries are a share of the requests served before.
    others_go_on(&fleet, 1).await;
    let first = tell(&fleet, 0, poison("model", "poison", "school-key")).await;
    assert_eq!(first, Told::Unknown(502, "quarantined".to_owned()));
    for key in ["school-key", "club-key", "school-key"] {
        let told = tell(&fleet, 0, poison("model", "poison", key)).await;
        assert_eq!(told, quarantined());
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
        let told = tell(&fleet, 0, poison("orders", "poison", "club-key")).await;
        assert_eq!(told, Told::Unknown(502, "target_failed".to_owned()));
    }
    for key in ["school-key", "club-key", "school-key"] {
        let told = tell(&fleet, 0, poison("orders", "poison", key)).await;
        assert_eq!(told, quarantined());
    }
    assert_eq!(fleet.run_count("poison").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_two_targets_of_the_fleet_at_most() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 4, 2)
        .start()
        .await;
    others_go_on(&fleet, 2).await;
    tell(&fleet, 0, poison("model", "poison", "school-key")).await;
    tokio::time::sleep(EXCHANGE).await;
    for entry in [0, 1] {
        let told = tell(&fleet, entry, poison("model", "poison", "club-key")).await;
        assert_eq!(told, quarantined(), "{entry}");
    }
    assert_eq!(fleet.run_count("poison").await, 2);
}

/// Makes many requests at the entries at once.
async fn others_go_on(fleet: &Fleet, entries: usize) {
    let calls: Vec<_> = (0..60)
        .map(|number| {
            let id = format!("other-{number}");
            let call = start(fleet, number % entries, stream(&id, 3, 10));
            (id, call)
        })
        .collect();
    for (id, call) in calls {
        assert_eq!(told(call).await, streamed(&id, 3), "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn other_requests_go_on_while_crashed_targets_are_away() {
    let fleet = FleetBuilder::entries(2)
        .targets("model", 4, 2)
        .start()
        .await;
    let told = tell(&fleet, 0, poison("model", "poison", "school-key")).await;
    assert!(!matches!(told, Told::Whole(_)), "{told:?}");
    others_go_on(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_go_on_while_a_target_is_away() {
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
    let mut open = 0;
    for (id, call) in calls {
        let told = told(call).await;
        if told != echoed(&id) {
            // The target took the connection and dropped it: whether it had begun, nobody knows.
            assert_eq!(told, Told::Unknown(502, "target_failed".to_owned()));
            open += 1;
        }
    }
    assert!(open <= 2, "{open} orders went to a target that is away");
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_go_on_while_a_target_is_gone() {
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
        assert_eq!(told(call).await, echoed(&id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_crashes_its_target_is_run_once() {
    let fleet = FleetBuilder::entries(2)
        .targets("orders", 3, 2)
        .start()
        .await;
    let told = tell(&fleet, 0, poison("orders", "crash", "club-key")).await;
    assert_eq!(told, Told::Unknown(502, "target_failed".to_owned()));
    assert_eq!(fleet.run_count("crash").await, 1);
    assert_eq!(tell(&fleet, 0, order("next", 5)).await, echoed("next"));
}
