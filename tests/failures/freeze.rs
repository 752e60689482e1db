//! Processes that are paused and go on, alone and with a second fault.

use std::time::Duration;

use crate::common::http::Call;
use crate::common::process::{Process, Signal};
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{
    Told, begun, check_settled, echoed, keyed, order, order_stream, start, streamed, tell, told,
};

/// Longer than a silence takes to be found, shorter than a dispatch is waited for.
const PAUSE: Duration = Duration::from_secs(4);

async fn fleet() -> Fleet {
    let plan = FleetBuilder::entries(2).targets("orders", 2, 2);
    plan.links().start().await
}

async fn pause(process: &Process) {
    process.signal(Signal::Stop);
    tokio::time::sleep(PAUSE).await;
    process.signal(Signal::Cont);
}

fn unknown() -> Told {
    Told::Unknown(504, "outcome_unknown".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_outlasts_a_pause_of_its_agent() {
    let fleet = fleet().await;
    let calls = [
        start(&fleet, 0, order("plain", 1_000)),
        start(&fleet, 0, order_stream("streamed", 30, 50)),
    ];
    begun(&fleet, "plain").await;
    begun(&fleet, "streamed").await;
    let (first, second) = (&fleet.targets[0].agent, &fleet.targets[1].agent);
    tokio::join!(pause(first), pause(second));
    let [plain, chunks] = calls;
    assert_eq!(told(plain).await, echoed("plain"));
    assert_eq!(told(chunks).await, streamed("streamed", 30));
    assert_eq!(fleet.run_count("plain").await, 1);
    assert_eq!(fleet.run_count("streamed").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_outlasts_a_pause_of_its_entry() {
    let fleet = fleet().await;
    let plain = start(&fleet, 0, order("plain", 1_000));
    let chunks = start(&fleet, 0, order_stream("streamed", 30, 50));
    let first = start(&fleet, 0, keyed("keyed", 1_000));
    for id in ["plain", "streamed", "keyed"] {
        begun(&fleet, id).await;
    }
    let entry = &fleet.entries[0].process;
    entry.signal(Signal::Stop);
    let repeat = start(&fleet, 1, keyed("keyed", 1_000));
    tokio::time::sleep(PAUSE).await;
    entry.signal(Signal::Cont);
    assert_eq!(told(plain).await, echoed("plain"));
    assert_eq!(told(chunks).await, streamed("streamed", 30));
    assert_eq!(told(first).await, echoed("keyed"));
    assert_eq!(told(repeat).await, echoed("keyed"));
    for id in ["plain", "streamed", "keyed"] {
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_to_paused_agents_run_once() {
    let fleet = fleet().await;
    let (first, second) = (&fleet.targets[0].agent, &fleet.targets[1].agent);
    first.signal(Signal::Stop);
    second.signal(Signal::Stop);
    let ids: Vec<String> = (0..6).map(|number| format!("sent-{number}")).collect();
    let calls: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| start(&fleet, number % 2, order(id, 50)))
        .collect();
    tokio::join!(pause(first), pause(second));
    for (id, call) in ids.iter().zip(calls) {
        assert_eq!(told(call).await, echoed(id));
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_paused_for_too_long_leaves_its_order_unknown() {
    let fleet = FleetBuilder::entries(1)
        .targets("orders", 1, 1)
        .start()
        .await;
    let call = start(&fleet, 0, order("long", 500));
    begun(&fleet, "long").await;
    let agent = &fleet.targets[0].agent;
    agent.signal(Signal::Stop);
    let told = told(call).await;
    agent.signal(Signal::Cont);
    assert_eq!(told, unknown());
    assert_eq!(tell(&fleet, 0, order("next", 5)).await, echoed("next"));
    check_settled(&fleet, "long", &told).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_outlasts_a_paused_agent_behind_a_silent_connection() {
    let fleet = fleet().await;
    let call = start(&fleet, 0, order_stream("both", 40, 50));
    let target = begun(&fleet, "both").await;
    let agent = &fleet.targets[target].agent;
    agent.signal(Signal::Stop);
    let link = fleet.entries[0].link.as_ref().expect("the plan has links");
    fleet.call_ok(link.admin, Call::post("/silence", "")).await;
    tokio::time::sleep(PAUSE).await;
    agent.signal(Signal::Cont);
    assert_eq!(told(call).await, streamed("both", 40));
    assert_eq!(fleet.run_count("both").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_while_its_agent_is_paused_leaves_its_order_run_once() {
    let mut fleet = fleet().await;
    let call = start(&fleet, 0, keyed("both", 500));
    let target = begun(&fleet, "both").await;
    fleet.targets[target].agent.signal(Signal::Stop);
    fleet.entries[0].process.kill();
    assert!(matches!(told(call).await, Told::Nothing(_)));
    fleet.targets[target].agent.signal(Signal::Cont);
    let repeat = tell(&fleet, 1, keyed("both", 500)).await;
    assert_eq!(repeat, Told::Unknown(409, "claimed_elsewhere".to_owned()));
    check_settled(&fleet, "both", &repeat).await;
    assert_eq!(fleet.run_count("both").await, 1);
}
