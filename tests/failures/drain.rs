//! Graceful shutdowns under load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::common::http::{Call, CallError, Caller};
use crate::common::process::{Process, Signal};
use crate::fleet::{Fleet, FleetBuilder};
use crate::outcome::{SETTLE, Told, echoed, order, start, stream, streamed, told};

/// Time of load before a shutdown, and after it.
const LOAD: Duration = Duration::from_millis(1_500);
/// Time in which messages between an agent and an entry cross.
const CROSSING: Duration = Duration::from_millis(400);
/// Callers of one entry.
const CALLERS: usize = 12;
/// Chunks of a streamed answer.
const CHUNKS: u64 = 10;

/// One request of the load, and what was told.
struct Done {
    id: String,
    order: bool,
    told: Told,
}

impl Done {
    fn is_whole(&self) -> bool {
        let whole = match self.order {
            true => echoed(&self.id),
            false => streamed(&self.id, CHUNKS),
        };
        self.told == whole
    }
}

/// Callers of one entry that make one request after another until it is refused.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Done>>>,
}

impl Load {
    fn start(fleet: &Fleet, entry: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let to = fleet.entries[entry].callers;
        let callers = (0..CALLERS).map(|number| {
            let name = format!("load-{entry}-{number}");
            tokio::spawn(calls(fleet.caller.clone(), to, name, stop.clone()))
        });
        Load {
            callers: callers.collect(),
            stop,
        }
    }

    async fn finish(self) -> Vec<Done> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for caller in self.callers {
            all.extend(caller.await.expect("a caller does not panic"));
        }
        all
    }
}

async fn calls(caller: Caller, to: SocketAddr, name: String, stop: Arc<AtomicBool>) -> Vec<Done> {
    let mut all = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", all.len());
        let is_order = all.len().is_multiple_of(2);
        let call = match is_order {
            true => order(&id, 30),
            false => stream(&id, CHUNKS, 20),
        };
        let told = Told::from(caller.call(to, call).await);
        let served = matches!(told, Told::Whole(_));
        all.push(Done {
            id,
            order: is_order,
            told,
        });
        if !served {
            break;
        }
    }
    all
}

fn plan() -> FleetBuilder {
    let plan = FleetBuilder::entries(2).targets("orders", 3, 2);
    plan.targets("model", 3, 2)
}

async fn ends_well(process: &mut Process) {
    let status = process.wait().await;
    assert!(status.success(), "{status}: {}", process.output());
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_agents_cut_off_no_request() {
    let mut fleet = plan().start().await;
    let loads = [Load::start(&fleet, 0), Load::start(&fleet, 1)];
    for target in [0, 3, 1, 4] {
        tokio::time::sleep(LOAD / 4).await;
        let agent = &mut fleet.targets[target].agent;
        agent.signal(Signal::Term);
        ends_well(agent).await;
    }
    tokio::time::sleep(LOAD).await;
    for load in loads {
        for done in load.finish().await {
            assert!(done.is_whole(), "{}: {:?}", done.id, done.told);
            assert_eq!(fleet.run_count(&done.id).await, 1, "{}", done.id);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_entry_cuts_off_no_request() {
    let mut fleet = plan().start().await;
    let loads = [Load::start(&fleet, 0), Load::start(&fleet, 1)];
    tokio::time::sleep(LOAD).await;
    let entry = &mut fleet.entries[0].process;
    entry.signal(Signal::Term);
    ends_well(entry).await;
    tokio::time::sleep(LOAD).await;
    let [left, stayed] = loads;
    for done in stayed.finish().await {
        assert!(done.is_whole(), "{}: {:?}", done.id, done.told);
    }
    let left = left.finish().await;
    tokio::time::sleep(SETTLE).await;
    for done in left {
        let count = fleet.run_count(&done.id).await;
        done.told.check(&done.id, count);
        // A caller that came too late got no connection; nothing of its request was run.
        let refused = matches!(
            done.told,
            Told::NotRun(..) | Told::Nothing(CallError::NoResponse(_))
        );
        assert!(
            done.is_whole() || (refused && count == 0),
            "{}, run {count} times: {:?}",
            done.id,
            done.told
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_sent_to_an_agent_that_leaves_are_run_by_the_next() {
    let plan = FleetBuilder::entries(1).targets("orders", 1, 2).links();
    let mut fleet = plan.start().await;
    let link = fleet.entries[0].link.as_ref().expect("the plan has links");
    let link = link.admin;
    fleet.call_ok(link, Call::post("/block", "")).await;
    fleet.targets[0].agent.signal(Signal::Term);
    let ids = ["late-0", "late-1"];
    let calls = ids.map(|id| start(&fleet, 0, order(id, 5)));
    // The orders go to the slots that the agent has withdrawn, which the entry cannot know yet.
    tokio::time::sleep(CROSSING).await;
    fleet.call_ok(link, Call::post("/heal", "")).await;
    ends_well(&mut fleet.targets[0].agent).await;
    fleet.restart_agent(0).await;
    for (id, call) in ids.into_iter().zip(calls) {
        assert_eq!(told(call).await, echoed(id));
        assert_eq!(fleet.run_count(id).await, 1, "{id}");
    }
}
