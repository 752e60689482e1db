//! Agents that are killed around an order.

use crate::common::process::Signal;
use crate::fleet::FleetBuilder;
use crate::outcome::{Told, begun, check_settled, echoed, order, start, tell, told};

fn unknown() -> Told {
    Told::Unknown(504, "outcome_unknown".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_during_an_order_leaves_it_unknown() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("orders", 2, 1)
        .start()
        .await;
    let call = start(&fleet, 0, order("killed", 500));
    let target = begun(&fleet, "killed").await;
    fleet.targets[target].agent.kill();
    assert_eq!(told(call).await, unknown());
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
    begun(&fleet, "restarted").await;
    fleet.restart_agent(0).await;
    assert_eq!(told(call).await, unknown());
    assert_eq!(tell(&fleet, 0, order("next", 5)).await, echoed("next"));
    check_settled(&fleet, "restarted", &unknown()).await;
    assert_eq!(fleet.run_count("restarted").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_waits_is_served_by_another_agent() {
    let mut fleet = FleetBuilder::entries(1)
        .targets("orders", 2, 1)
        .start()
        .await;
    let first = start(&fleet, 0, order("first", 1_500));
    let target = begun(&fleet, "first").await;
    let second = start(&fleet, 0, order("second", 1_500));
    begun(&fleet, "second").await;
    let third = start(&fleet, 0, order("third", 5));
    fleet.targets[target].agent.kill();
    assert_eq!(told(third).await, echoed("third"));
    assert_eq!(told(second).await, echoed("second"));
    let first = told(first).await;
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
    // The order must wait in the connection of a paused agent. It waits in the entry's queue
    // instead when the agent was paused before its offer had come.
    let mut tried = 0;
    let (id, call) = loop {
        let id = format!("unread-{tried}");
        fleet.targets[0].agent.signal(Signal::Stop);
        let before = fleet.event_count(0, "dispatches").await;
        let call = start(&fleet, 0, order(&id, 5));
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        if fleet.event_count(0, "dispatches").await > before {
            break (id, call);
        }
        fleet.targets[0].agent.signal(Signal::Cont);
        assert_eq!(told(call).await, echoed(&id));
        tried += 1;
        assert!(tried < 10, "no offer comes before the agent is paused");
    };
    fleet.restart_agent(0).await;
    let told = told(call).await;
    assert!(
        matches!(told, Told::NotRun(..) | Told::Unknown(..)),
        "{told:?}"
    );
    check_settled(&fleet, &id, &told).await;
    assert_eq!(fleet.run_count(&id).await, 0);
}
