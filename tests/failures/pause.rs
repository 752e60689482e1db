//! Processes that are paused and continue, alone and together with a second fault.

use std::time::Duration;

use crate::common::http::Call;
use crate::common::process::{Process, Signal};
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{
    Outcome, await_started, check_settled, finish, keyed_order, order, order_response,
    order_stream, send, start, stream_response,
};

/// Longer than the receive timeout of a connection, shorter than the agent timeout of a dispatch.
const PAUSE: Duration = Duration::from_secs(4);

async fn fleet() -> Fleet {
    let builder = FleetBuilder::entries(2).targets("orders", 2, 2);
    builder.links().start().await
}

async fn pause(process: &Process) {
    process.signal(Signal::Stop);
    tokio::time::sleep(PAUSE).await;
    process.signal(Signal::Cont);
}

fn unknown() -> Outcome {
    Outcome::Unknown(504, "outcome_unknown".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_survives_a_pause_of_its_agent() {
    let fleet = fleet().await;
    let calls = [
        start(&fleet, 0, order("plain", 1_000)),
        start(&fleet, 0, order_stream("streamed", 30, 50)),
    ];
    await_started(&fleet, "plain").await;
    await_started(&fleet, "streamed").await;
    let (first, second) = (&fleet.targets[0].agent, &fleet.targets[1].agent);
    tokio::join!(pause(first), pause(second));
    let [plain, chunks] = calls;
    assert_eq!(finish(plain).await, order_response("plain"));
    assert_eq!(finish(chunks).await, stream_response("streamed", 30));
    assert_eq!(fleet.run_count("plain").await, 1);
    assert_eq!(fleet.run_count("streamed").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_survives_a_pause_of_its_entry() {
    let fleet = fleet().await;
    let plain = start(&fleet, 0, order("plain", 1_000));
    let chunks = start(&fleet, 0, order_stream("streamed", 30, 50));
    let first = start(&fleet, 0, keyed_order("keyed", 1_000));
    for id in ["plain", "streamed", "keyed"] {
        await_started(&fleet, id).await;
    }
    let entry = &fleet.entries[0].process;
    entry.signal(Signal::Stop);
    let retry = start(&fleet, 1, keyed_order("keyed", 1_000));
    tokio::time::sleep(PAUSE).await;
    entry.signal(Signal::Cont);
    assert_eq!(finish(plain).await, order_response("plain"));
    assert_eq!(finish(chunks).await, stream_response("streamed", 30));
    assert_eq!(finish(first).await, order_response("keyed"));
    assert_eq!(finish(retry).await, order_response("keyed"));
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
        assert_eq!(finish(call).await, order_response(id));
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_paused_beyond_the_timeout_leaves_its_order_unknown() {
    let fleet = FleetBuilder::entries(1)
        .targets("orders", 1, 1)
        .start()
        .await;
    let call = start(&fleet, 0, order("long", 500));
    await_started(&fleet, "long").await;
    let agent = &fleet.targets[0].agent;
    agent.signal(Signal::Stop);
    let outcome = finish(call).await;
    agent.signal(Signal::Cont);
    assert_eq!(outcome, unknown());
    assert_eq!(
        send(&fleet, 0, order("next", 5)).await,
        order_response("next")
    );
    check_settled(&fleet, "long", &outcome).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_survives_a_paused_agent_with_a_silent_connection() {
    let fleet = fleet().await;
    let call = start(&fleet, 0, order_stream("both", 40, 50));
    let target = await_started(&fleet, "both").await;
    let agent = &fleet.targets[target].agent;
    agent.signal(Signal::Stop);
    let link = fleet.entries[0].link.as_ref().expect("the fleet has links");
    fleet.call_ok(link.admin, Call::post("/silence", "")).await;
    tokio::time::sleep(PAUSE).await;
    agent.signal(Signal::Cont);
    assert_eq!(finish(call).await, stream_response("both", 40));
    assert_eq!(fleet.run_count("both").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_once_when_its_entry_is_killed_during_an_agent_pause() {
    let mut fleet = fleet().await;
    let call = start(&fleet, 0, keyed_order("both", 500));
    let target = await_started(&fleet, "both").await;
    fleet.targets[target].agent.signal(Signal::Stop);
    fleet.entries[0].process.kill();
    assert!(matches!(finish(call).await, Outcome::Failed(_)));
    fleet.targets[target].agent.signal(Signal::Cont);
    let retry = send(&fleet, 1, keyed_order("both", 500)).await;
    assert_eq!(retry, Outcome::Unknown(409, "claimed_elsewhere".to_owned()));
    check_settled(&fleet, "both", &retry).await;
    assert_eq!(fleet.run_count("both").await, 1);
}
