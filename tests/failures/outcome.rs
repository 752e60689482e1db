//! What a caller was told of a request, and whether the targets' counts agree.

use std::time::Duration;

use tokio::task::JoinHandle;

use crate::common::await_until;
use crate::common::http::{Call, CallError, Reply};
use crate::fleet::Fleet;

/// After this, nothing that was begun before a fault can still reach a target.
pub const SETTLE: Duration = Duration::from_secs(3);

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The answer, whole.
    Whole(String),
    /// A refusal that says so: status and reason.
    NotRun(u16, String),
    /// A refusal that leaves it open: status and reason.
    Unknown(u16, String),
    /// The answer broke off, or nothing came.
    Nothing(CallError),
}

impl From<Result<Reply, CallError>> for Told {
    fn from(result: Result<Reply, CallError>) -> Self {
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return Told::Nothing(error),
        };
        let kind = reply.headers.get("content-type");
        if kind.is_none_or(|kind| kind != "application/problem+json") {
            assert_eq!(reply.status, 200, "{}", reply.text());
            return Told::Whole(reply.text());
        }
        let problem = reply.json();
        let reason = problem["reason"].as_str().unwrap_or_default().to_owned();
        match problem["execution"].as_str() {
            Some("not_run") => Told::NotRun(reply.status, reason),
            Some("unknown") => Told::Unknown(reply.status, reason),
            _ => panic!("a refusal says whether the request was run: {problem}"),
        }
    }
}

impl Told {
    /// Checks a request that must not run twice against how often it was run.
    pub fn check(&self, id: &str, count: u64) {
        let true_of = match self {
            Told::Whole(_) => count == 1,
            Told::NotRun(..) => count == 0,
            Told::Unknown(..) | Told::Nothing(_) => count <= 1,
        };
        assert!(
            true_of,
            "{id} was run {count} times, its caller was told {self:?}"
        );
    }
}

/// A request that must not run twice; its id is its body.
pub fn order(id: &str, ms: u64) -> Call {
    Call::post(format!("/orders/run?ms={ms}"), id.to_owned()).key("club-key")
}

/// The same under an idempotency key that is its id.
pub fn keyed(id: &str, ms: u64) -> Call {
    order(id, ms).header("idempotency-key", id)
}

/// A streamed request that may be repeated.
pub fn stream(id: &str, chunks: u64, ms: u64) -> Call {
    let path = format!("/model/stream?chunks={chunks}&ms={ms}");
    Call::post(path, id.to_owned()).key("school-key")
}

/// A streamed request that must not run twice.
pub fn order_stream(id: &str, chunks: u64, ms: u64) -> Call {
    let path = format!("/orders/stream?chunks={chunks}&ms={ms}");
    Call::post(path, id.to_owned()).key("club-key")
}

/// The whole answer to a streamed request.
pub fn streamed(id: &str, chunks: u64) -> Told {
    let chunk = |number| format!("{id} {number}\n");
    Told::Whole((1..=chunks).map(chunk).collect())
}

/// The whole answer to an order.
pub fn echoed(id: &str) -> Told {
    Told::Whole(id.to_owned())
}

/// Makes a call in a task of its own.
pub fn start(fleet: &Fleet, entry: usize, call: Call) -> JoinHandle<Told> {
    let (caller, to) = (fleet.caller.clone(), fleet.entries[entry].callers);
    tokio::spawn(async move { caller.call(to, call).await.into() })
}

/// What the caller was told in the end.
pub async fn told(call: JoinHandle<Told>) -> Told {
    call.await.expect("a caller does not panic")
}

/// Makes a call and waits for what is told.
pub async fn tell(fleet: &Fleet, entry: usize, call: Call) -> Told {
    told(start(fleet, entry, call)).await
}

/// Waits until a request has begun at a target, and says at which.
pub async fn begun(fleet: &Fleet, id: &str) -> usize {
    await_until(id, || async { fleet.run_count(id).await > 0 }).await;
    for target in 0..fleet.targets.len() {
        if count_at(fleet, target, id).await > 0 {
            return target;
        }
    }
    panic!("{id} was begun");
}

/// How often one target ran a request.
pub async fn count_at(fleet: &Fleet, target: usize, id: &str) -> u64 {
    number(fleet, target, &format!("/count?id={id}"), |reply| {
        reply.text().parse().ok()
    })
    .await
}

/// How many requests one target has run.
pub async fn total_at(fleet: &Fleet, target: usize) -> u64 {
    number(fleet, target, "/state", |reply| {
        reply.json()["total"].as_u64()
    })
    .await
}

async fn number(
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

/// Waits until nothing is under way any more, then checks an order.
pub async fn check_settled(fleet: &Fleet, id: &str, told: &Told) {
    tokio::time::sleep(SETTLE).await;
    told.check(id, fleet.run_count(id).await);
}
