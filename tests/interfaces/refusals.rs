//! The README's table of refusals agrees with the responses that callers get.

use std::collections::BTreeSet;

use balsampitch::attempt::{Attempt, Event, Outcome, RequestPolicy};
use balsampitch::ids::{AgentKey, BootId, DispatchId};
use balsampitch::problem::{Execution, Problem, Reason};
use balsampitch::units::Micros;
use balsampitch::wire::Finish;
use serde_json::json;

use crate::common::http::Call;
use crate::harness::TestEntry;

const README: &str = include_str!("../../README.md");
const DEADLINE: Micros = Micros::from_secs(60);

/// Status, reason and execution.
type Row = (u16, String, String);

/// The rows of the README's table, split so that each has one reason.
fn table() -> BTreeSet<Row> {
    let mut rows = BTreeSet::new();
    for line in README.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, status, reasons, execution, ..] = cells[..] else {
            continue;
        };
        let Ok(status) = status.parse::<u16>() else {
            continue;
        };
        for reason in reasons.split(',') {
            let trim = |cell: &str| cell.trim().trim_matches('`').to_owned();
            rows.insert((status, trim(reason), trim(execution)));
        }
    }
    rows
}

fn row(problem: Problem) -> Row {
    let text = |value| match serde_json::to_value::<serde_json::Value>(value) {
        Ok(serde_json::Value::String(text)) => text,
        other => unreachable!("reasons and executions serialize as strings: {other:?}"),
    };
    let (reason, execution) = (json!(problem.reason), json!(problem.execution));
    (problem.status, text(reason), text(execution))
}

fn assert_documented(row: &Row) {
    assert!(
        table().contains(row),
        "the README's table has no row {row:?}"
    );
}

macro_rules! responses {
    ($($name:ident: $call:expr => $status:literal, $reason:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let entry = TestEntry::start(1).await;
                let call = $call;
                let reply = entry.caller.call(entry.callers, call).await.expect("the entry answers");
                let body = reply.json();
                let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
                let row = (reply.status, text("reason"), text("execution"));
                assert_eq!(row, ($status, $reason.to_owned(), "not_run".to_owned()));
                assert_eq!(reply.headers["content-type"], "application/problem+json");
                assert_eq!(reply.headers["x-request-id"], text("request"));
                assert_documented(&row);
            }
        )+
    };
}

responses! {
    bad_key: Call::post("/model/run", "").key("none") => 401, "bad_key";
    no_service: Call::post("/nothing/run", "").key("club-key") => 404, "no_service";
    bad_request: Call::post("/model/run", "").key("club-key").header("idempotency-key", "") => 400, "bad_request";
    body_too_large: Call::post("/model/run", vec![0; 3_000_000]).key("club-key") => 413, "body_too_large";
    head_too_large: Call::post("/model/run", "").key("club-key").header("x-large", "x".repeat(50_000)) => 431, "bad_request";
}

const AGENT: AgentKey = AgentKey(1);
const BOOT: BootId = BootId(1);

fn id(seq: u64) -> DispatchId {
    DispatchId { boot: BOOT, seq }
}

fn sent(seq: u64) -> Event {
    Event::Dispatched {
        agent: AGENT,
        boot: BOOT,
        dispatch: id(seq),
    }
}

fn ended(seq: u64, finish: Finish) -> Event {
    Event::End {
        dispatch: id(seq),
        finish,
        chunks: 0,
        bytes: 0,
    }
}

/// The refusal of a request after these events, if any. [`Event::Tick`] is handled at the
/// deadline, all other events at time zero.
fn refusal_after(idempotent: bool, retries: u8, events: &[Event]) -> Option<Problem> {
    let policy = RequestPolicy::new(idempotent)
        .retries(retries)
        .deadline(Some(DEADLINE));
    let mut attempt = Attempt::new(policy);
    for &event in events {
        let now = match event {
            Event::Tick => DEADLINE,
            _ => Micros::ZERO,
        };
        attempt.handle(now, event);
    }
    match attempt.outcome() {
        Some(Outcome::Refused(problem)) => Some(problem),
        _ => None,
    }
}

macro_rules! failed_attempts {
    ($($name:ident: $idempotent:literal, $retries:literal, [$($event:expr),+] => $status:literal, $reason:ident, $execution:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let problem = refusal_after($idempotent, $retries, &[$($event),+]);
                let problem = problem.expect("the request is refused");
                let actual = (problem.status, problem.reason, problem.execution);
                assert_eq!(actual, ($status, Reason::$reason, Execution::$execution));
                assert_documented(&row(problem));
            }
        )+
    };
}

failed_attempts! {
    target_unreachable: false, 0, [sent(1), ended(1, Finish::Unreached)] => 503, NoCapacity, NotRun;
    deadline_passed_in_queue: false, 0, [Event::Tick] => 503, DeadlinePassed, NotRun;
    quarantined_in_queue: true, 0, [Event::GiveUp(Reason::Quarantined)] => 503, Quarantined, NotRun;
    claim_expired: false, 0, [Event::GiveUp(Reason::LogUnavailable)] => 503, LogUnavailable, NotRun;
    deadline_passed_at_target: false, 0, [sent(1), Event::Tick] => 504, DeadlinePassed, Unknown;
    target_crashed: false, 0, [sent(1), ended(1, Finish::Crashed)] => 502, TargetFailed, Unknown;
    crashed_then_quarantined: true, 1, [sent(1), ended(1, Finish::Crashed), Event::GiveUp(Reason::Quarantined)] => 502, Quarantined, Unknown;
    crashed_then_unreachable: true, 1, [sent(1), ended(1, Finish::Crashed), sent(2), ended(2, Finish::Unreached)] => 502, NoCapacity, Unknown;
    agent_restarted: false, 0, [sent(1), Event::Disconnected(AGENT), Event::Reconnected(AGENT, BootId(2))] => 504, OutcomeUnknown, Unknown;
}

#[test]
fn refusals_before_dispatch_are_not_run() {
    for (status, reason, execution) in table() {
        let not_dispatched = status < 500 || status == 503;
        let elsewhere = reason == "claimed_elsewhere";
        assert_eq!(
            execution == "not_run",
            not_dispatched && !elsewhere,
            "{status} {reason}"
        );
    }
}
