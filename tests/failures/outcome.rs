//! Requests of the tests, their outcomes, and how often the targets ran them.

use std::time::Duration;

use tokio::task::JoinHandle;

use crate::common::await_until;
use crate::common::http::{Call, CallError, Reply};
use crate::fleet::Fleet;

/// Time after which no request that was sent before a fault can still reach a target.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete successful response.
    Whole(String),
    /// An error which states that the request was not run: status and reason.
    NotRun(u16, String),
    /// An error which states that the request may have run: status and reason.
    Unknown(u16, String),
    /// No response, or a truncated one.
    Failed(CallError),
}

impl From<Result<Reply, CallError>> for Outcome {
    fn from(result: Result<Reply, CallError>) -> Self {
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return Outcome::Failed(error),
        };
        let content_type = reply.headers.get("content-type");
        if content_type.is_none_or(|content_type| content_type != "application/problem+json") {
            assert_eq!(reply.status, 200, "{}", reply.text());
            return Outcome::Whole(reply.text());
        }
        let problem = reply.json();
        let reason = problem["reason"].as_str().unwrap_or_default().to_owned();
        match problem["execution"].as_str() {
            Some("not_run") => Outcome::NotRun(reply.status, reason),
            Some("unknown") => Outcome::Unknown(reply.status, reason),
            _ => panic!("a problem document without a valid execution: {problem}"),
        }
    }
}

impl Outcome {
    /// Asserts that the outcome of a non-idempotent request agrees with its number of runs.
    pub fn check(&self, id: &str, count: u64) {
        let is_consistent = match self {
            Outcome::Whole(_) => count == 1,
            Outcome::NotRun(..) => count == 0,
            Outcome::Unknown(..) | Outcome::Failed(_) => count <= 1,
        };
        assert!(
            is_consistent,
            "{id} was run {count} times, its caller got {self:?}"
        );
    }
}

/// A non-idempotent request whose body is its id.
pub fn order(id: &str, ms: u64) -> Call {
    Call::post(format!("/orders/run?ms={ms}"), id.to_owned()).key("club-key")
}

/// An [`order`] whose idempotency key is its id.
pub fn keyed_order(id: &str, ms: u64) -> Call {
    order(id, ms).header("idempotency-key", id)
}

/// An idempotent request with a streamed response.
pub fn stream(id: &str, chunks: u64, ms: u64) -> Call {
    let path = format!("/model/stream?chunks={chunks}&ms={ms}");
    Call::post(path, id.to_owned()).key("school-key")
}

/// A non-idempotent request with a streamed response.
pub fn order_stream(id: &str, chunks: u64, ms: u64) -> Call {
    let path = format!("/orders/stream?chunks={chunks}&ms={ms}");
    Call::post(path, id.to_owned()).key("club-key")
}

/// The complete response to [`stream`] and [`order_stream`].
pub fn stream_response(id: &str, chunks: u64) -> Outcome {
    let chunk = |number| format!("{id} {number}\n");
    Outcome::Whole((1..=chunks).map(chunk).collect())
}

/// The complete response to [`order`] and [`keyed_order`].
pub fn order_response(id: &str) -> Outcome {
    Outcome::Whole(id.to_owned())
}

/// Sends a request from a separate task.
pub fn start(fleet: &Fleet, entry: usize, call: Call) -> JoinHandle<Outcome> {
    let (caller, to) = (fleet.caller.clone(), fleet.entries[entry].callers);
    tokio::spawn(async move { caller.call(to, call).await.into() })
}

/// Waits for the outcome of a request that [`start`] has sent.
pub async fn finish(call: JoinHandle<Outcome>) -> Outcome {
    call.await.expect("a caller does not panic")
}

/// Sends a request and waits for its outcome.
pub async fn send(fleet: &Fleet, entry: usize, call: Call) -> Outcome {
    finish(start(fleet, entry, call)).await
}

/// Waits until a target has started the request, and returns the index of the target.
pub async fn await_started(fleet: &Fleet, id: &str) -> usize {
    await_until(id, || async { fleet.run_count(id).await > 0 }).await;
    for target in 0..fleet.targets.len() {
        if run_count_at(fleet, target, id).await > 0 {
            return target;
        }
    }
    panic!("no target has counted {id}");
}

/// Number of times that one target ran a request.
pub async fn run_count_at(fleet: &Fleet, target: usize, id: &str) -> u64 {
    fetch_number(fleet, target, &format!("/count?id={id}"), |reply| {
        reply.text().parse().ok()
    })
    .await
}

/// Number of requests that one target has run.
pub async fn total_runs_at(fleet: &Fleet, target: usize) -> u64 {
    fetch_number(fleet, target, "/state", |reply| {
        reply.json()["total"].as_u64()
    })
    .await
}

async fn fetch_number(
    fleet: &Fleet,
    target: usize,
    path: &str,
    read: impl Fn(&Reply) -> Option<u64>,
) -> u64 {
    let reply = fleet
        .get_retrying(fleet.targets[target].address, path)
        .await;
    read(&reply).expect("a count is a number")
}

/// Waits for [`SETTLE_TIME`], then checks the outcome of a non-idempotent request.
pub async fn check_settled(fleet: &Fleet, id: &str, outcome: &Outcome) {
    tokio::time::sleep(SETTLE_TIME).await;
    outcome.check(id, fleet.run_count(id).await);
}
