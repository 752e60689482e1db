//! Repeats under an idempotency key, through both entries.

use crate::fleet::FleetBuilder;
use crate::outcome::{Told, begun, check_settled, echoed, keyed, order, start, tell, told};

const ENTRIES: usize = 2;

fn plan() -> FleetBuilder {
    FleetBuilder::entries(ENTRIES).targets("orders", 2, 4)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_after_its_entry_was_killed_is_not_run_again() {
    let mut fleet = plan().start().await;
    let call = start(&fleet, 0, keyed("orphan", 1_000));
    begun(&fleet, "orphan").await;
    fleet.entries[0].process.kill();
    assert!(matches!(told(call).await, Told::Nothing(_)));
    let elsewhere = Told::Unknown(409, "claimed_elsewhere".to_owned());
    for _ in 0..3 {
        assert_eq!(tell(&fleet, 1, keyed("orphan", 1_000)).await, elsewhere);
    }
    fleet.restart_entry(0).await;
    for entry in 0..ENTRIES {
        assert_eq!(tell(&fleet, entry, keyed("orphan", 1_000)).await, elsewhere);
    }
    check_settled(&fleet, "orphan", &elsewhere).await;
    assert_eq!(fleet.run_count("orphan").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_joins_the_running_order() {
    let fleet = plan().start().await;
    let first = start(&fleet, 0, keyed("joined", 1_000));
    begun(&fleet, "joined").await;
    let here = start(&fleet, 0, keyed("joined", 1_000));
    let there = start(&fleet, 1, keyed("joined", 1_000));
    for call in [first, here, there] {
        assert_eq!(told(call).await, echoed("joined"));
    }
    for entry in 0..ENTRIES {
        let late = tell(&fleet, entry, keyed("joined", 1_000)).await;
        assert_eq!(late, echoed("joined"));
    }
    assert_eq!(fleet.run_count("joined").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let fleet = plan().start().await;
    assert_eq!(tell(&fleet, 0, keyed("body", 5)).await, echoed("body"));
    let reused = Told::NotRun(422, "key_reused".to_owned());
    for entry in 0..ENTRIES {
        let other = order("other", 5).header("idempotency-key", "body");
        assert_eq!(tell(&fleet, entry, other).await, reused);
    }
    check_settled(&fleet, "other", &reused).await;
    assert_eq!(fleet.run_count("body").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_race_for_a_key_run_it_once() {
    const KEYS: usize = 40;
    let fleet = plan().start().await;
    let mut calls = Vec::new();
    for number in 0..KEYS {
        let id = format!("race-{number}");
        for entry in [0, 1, 0, 1] {
            calls.push((id.clone(), start(&fleet, entry, keyed(&id, 10))));
        }
    }
    for (id, call) in calls {
        assert_eq!(told(call).await, echoed(&id));
    }
    for number in 0..KEYS {
        assert_eq!(
            fleet.run_count(&format!("race-{number}")).await,
            1,
            "{number}"
        );
    }
}
