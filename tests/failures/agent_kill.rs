//! Agents that are killed before and during an order.

use crate::common::process::Signal;
use crate::fleet::FleetBuilder;
use crate::outcome::{
    Outcome, await_started, check_settled, finish, order, order_response, send, start,
};

fn unknown() -> Outcome {
    Outcome::Unknown(504, "outcome_unknown".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_during_an_order_leaves_it_unknown() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("orders", 2, 1)
        .start()
        .await;
    let call = start(&fleet, 0, order("killed", 500));
    let target = await_started(&fleet, "killed").await;
    fleet.targets[target].agent.kill();
    assert_eq!(finish(call).await, unknown());
    check_settled(&fleet, "killed", &unknown()).await;
    assert_eq!(fleet.run_count("killed").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_restarted_during_an_order_leaves_it_unknown() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("orders", 1, 1)
        .start()
        .await;
    let call = start(&fleet, 0, order("restarted", 500));
    await_started(&fleet, "restarted").await;
    fleet.restart_agent(0).await;
    assert_eq!(finish(call).await, unknown());
    assert_eq!(
        send(&fleet, 0, order("next", 5)).await,
        order_response("next")
    );
    check_settled(&fleet, "restarted", &unknown()).await;
    assert_eq!(fleet.run_count("restarted").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_queued_order_is_served_by_another_agent() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("orders", 2, 1)
        .start()
        .await;
    let first = start(&fleet, 0, order("first", 1_500));
    let target = await_started(&fleet, "first").await;
    let second = start(&fleet, 0, order("second", 1_500));
    await_started(&fleet, "second").await;
    let third = start(&fleet, 0, order("third", 5));
    fleet.targets[target].agent.kill();
    assert_eq!(finish(third).await, order_response("third"));
    assert_eq!(finish(second).await, order_response("second"));
    let first = finish(first).await;
    assert_eq!(first, unknown());
    check_settled(&fleet, "first", &first).await;
    for id in ["first", "second", "third"] {
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_before_it_reads_an_order_never_runs_it() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("orders", 1, 1)
        .start()
        .await;
    // The order must be dispatched to a paused agent, so that it stays unread in the connection.
    // If the agent was paused before the entry got its slot offer, the order stays in the queue of
    // the entry instead, and the test tries again.
    let mut attempts = 0;
    let (id, call) = loop {
        let id = format!("unread-{attempts}");
        fleet.targets[0].agent.signal(Signal::Stop);
        let before = fleet.event_count(0, "dispatches").await;
        let call = start(&fleet, 0, order(&id, 5));
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        if fleet.event_count(0, "dispatches").await > before {
            break (id, call);
        }
        fleet.targets[0].agent.signal(Signal::Cont);
        assert_eq!(finish(call).await, order_response(&id));
        attempts += 1;
        assert!(
            attempts < 10,
            "the entry never had a slot offer when the agent was paused"
        );
    };
    fleet.restart_agent(0).await;
    let outcome = finish(call).await;
    assert!(
        matches!(outcome, Outcome::NotRun(..) | Outcome::Unknown(..)),
        "{outcome:?}"
    );
    check_settled(&fleet, &id, &outcome).await;
    assert_eq!(fleet.run_count(&id).await, 0);
}
