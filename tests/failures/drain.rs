//! Graceful shutdowns under load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::common::http::{Call, CallError, Caller};
use crate::common::process::{Process, Signal};
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{
    Outcome, SETTLE_TIME, finish, order, order_response, start, stream, stream_response,
};

/// Duration of the load before a shutdown, and after it.
const LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Time for the entry to dispatch the orders while the link is blocked.
const DELIVERY_TIME: Duration = Duration::from_millis(400);
/// Concurrent callers per entry.
const CALLERS: usize = 12;
/// Chunks of a streamed response.
const CHUNKS: u64 = 10;

/// One request of the load, and its outcome.
struct FinishedRequest {
    id: String,
    order: bool,
    outcome: Outcome,
}

impl FinishedRequest {
    fn is_whole(&self) -> bool {
        let whole = match self.order {
            true => order_response(&self.id),
            false => stream_response(&self.id, CHUNKS),
        };
        self.outcome == whole
    }
}

/// Callers of one entry. Each sends one request after another, until a request fails.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<FinishedRequest>>>,
}

impl Load {
    fn start(fleet: &Fleet, entry: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let to = fleet.entries[entry].callers;
        let callers = (0..CALLERS).map(|number| {
            let name = format!("load-{entry}-{number}");
            tokio::spawn(run_caller(fleet.caller.clone(), to, name, stop.clone()))
        });
        Load {
            callers: callers.collect(),
            stop,
        }
    }

    async fn finish(self) -> Vec<FinishedRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let mut finished = Vec::new();
        for caller in self.callers {
            finished.extend(caller.await.expect("a caller does not panic"));
        }
        finished
    }
}

async fn run_caller(
    caller: Caller,
    to: SocketAddr,
    name: String,
    stop: Arc<AtomicBool>,
) -> Vec<FinishedRequest> {
    let mut finished = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", finished.len());
        let is_order = finished.len().is_multiple_of(2);
        let call = match is_order {
            true => order(&id, 30),
            false => stream(&id, CHUNKS, 20),
        };
        let outcome = Outcome::from(caller.call(to, call).await);
        let is_served = matches!(outcome, Outcome::Whole(_));
        finished.push(FinishedRequest {
            id,
            order: is_order,
            outcome,
        });
        if !is_served {
            break;
        }
    }
    finished
}

fn builder() -> FleetBuilder {
    let builder = FleetBuilder::entries(2).targets("orders", 3, 2);
    builder.targets("model", 3, 2)
}

async fn assert_clean_exit(process: &mut Process) {
    let status = process.wait().await;
    assert!(status.success(), "{status}: {}", process.output());
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_agents_complete_all_requests() {
    let mut fleet = builder().start().await;
    let loads = [Load::start(&fleet, 0), Load::start(&fleet, 1)];
    for target in [0, 3, 1, 4] {
        tokio::time::sleep(LOAD_TIME / 4).await;
        let agent = &mut fleet.targets[target].agent;
        agent.signal(Signal::Term);
        assert_clean_exit(agent).await;
    }
    tokio::time::sleep(LOAD_TIME).await;
    for load in loads {
        for request in load.finish().await {
            assert!(request.is_whole(), "{}: {:?}", request.id, request.outcome);
            assert_eq!(fleet.run_count(&request.id).await, 1, "{}", request.id);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_completes_all_accepted_requests() {
    let mut fleet = builder().start().await;
    let loads = [Load::start(&fleet, 0), Load::start(&fleet, 1)];
    tokio::time::sleep(LOAD_TIME).await;
    let entry = &mut fleet.entries[0].process;
    entry.signal(Signal::Term);
    assert_clean_exit(entry).await;
    tokio::time::sleep(LOAD_TIME).await;
    let [drained, remaining] = loads;
    for request in remaining.finish().await {
        assert!(request.is_whole(), "{}: {:?}", request.id, request.outcome);
    }
    let drained = drained.finish().await;
    tokio::time::sleep(SETTLE_TIME).await;
    for request in drained {
        let count = fleet.run_count(&request.id).await;
        request.outcome.check(&request.id, count);
        // Requests after the shutdown are rejected or get no connection, and must not have run.
        let refused = matches!(
            request.outcome,
            Outcome::NotRun(..) | Outcome::Failed(CallError::NoResponse(_))
        );
        assert!(
            request.is_whole() || (refused && count == 0),
            "{}, run {count} times: {:?}",
            request.id,
            request.outcome
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_to_a_draining_agent_are_run_by_its_successor() {
    let builder = FleetBuilder::entries(1).targets("orders", 1, 2).links();
    let mut fleet = builder.start().await;
    let link = fleet.entries[0].link.as_ref().expect("the fleet has links");
    let link = link.admin;
    fleet.call_ok(link, Call::post("/block", "")).await;
    fleet.targets[0].agent.signal(Signal::Term);
    let ids = ["late-0", "late-1"];
    let calls = ids.map(|id| start(&fleet, 0, order(id, 5)));
    // The link is blocked, so the entry still dispatches to slots that the agent has withdrawn.
    tokio::time::sleep(DELIVERY_TIME).await;
    fleet.call_ok(link, Call::post("/heal", "")).await;
    assert_clean_exit(&mut fleet.targets[0].agent).await;
    fleet.restart_agent(0).await;
    for (id, call) in ids.into_iter().zip(calls) {
        assert_eq!(finish(call).await, order_response(id));
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}
