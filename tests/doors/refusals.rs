//! The README's table of refusals says what callers get.

use std::collections::BTreeSet;

use balsampitch::attempt::{Attempt, Event, Outcome, RequestPolicy};
use balsampitch::ids::{AgentKey, BootId, DispatchId};
use balsampitch::problem::{Execution, Problem, Reason};
use balsampitch::units::Micros;
use balsampitch::wire::Finish;
use serde_json::json;

use crate::common::http::Call;
use crate::world::World;

const README: &str = include_str!("../../README.md");
const DEADLINE: Micros = Micros::from_secs(60);

/// Status, reason, execution.
type Row = (u16, String, String);

/// The rows of the table, one for each reason.
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
            let plain = |cell: &str| cell.trim().trim_matches('`').to_owned();
            rows.insert((status, plain(reason), plain(execution)));
        }
    }
    rows
}

fn row(problem: Problem) -> Row {
    let word = |value| match serde_json::to_value::<serde_json::Value>(value) {
        Ok(serde_json::Value::String(word)) => word,
        other => unreachable!("reasons and executions are words: {other:?}"),
    };
    let (reason, execution) = (json!(problem.reason), json!(problem.execution));
    (problem.status, word(reason), word(execution))
}

fn assert_listed(row: &Row) {
    assert!(table().contains(row), "the README lacks {row:?}");
}

macro_rules! answers {
    ($($name:ident: $call:expr => $status:literal, $reason:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let world = World::start(1).await;
                let call = $call;
                let reply = world.caller.call(world.callers, call).await.expect("an answer");
                let body = reply.json();
                let word = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
                let row = (reply.status, word("reason"), word("execution"));
                assert_eq!(row, ($status, $reason.to_owned(), "not_run".to_owned()));
                assert_eq!(reply.headers["content-type"], "application/problem+json");
                assert_eq!(reply.headers["x-request-id"], word("request"));
                assert_listed(&row);
            }
        )+
    };
}

answers! {
    bad_key: Call::post("/model/run", "").key("none") => 401, "bad_key";
    no_service: Call::post("/nothing/run", "").key("club-key") => 404, "no_service";
    bad_request: Call::post("/model/run", "").key("club-key").header("idempotency-key", "") => 400, "bad_request";
    large_body: Call::post("/model/run", vec![0; 3_000_000]).key("club-key") => 413, "body_too_large";
    large_head: Call::post("/model/run", "").key("club-key").header("x-large", "x".repeat(50_000)) => 431, "bad_request";
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

/// What a request without further tries is refused with after these events, the last of them when
/// its deadline has passed.
fn refused(idempotent: bool, retries: u8, events: &[Event]) -> Option<Problem> {
    let plan = RequestPolicy::new(idempotent)
        .retries(retries)
        .deadline(Some(DEADLINE));
    let mut attempt = Attempt::new(plan);
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

macro_rules! attempts {
    ($($name:ident: $idempotent:literal, $retries:literal, [$($event:expr),+] => $status:literal, $reason:ident, $execution:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let problem = refused($idempotent, $retries, &[$($event),+]);
                let problem = problem.expect("it is refused");
                let seen = (problem.status, problem.reason, problem.execution);
                assert_eq!(seen, ($status, Reason::$reason, Execution::$execution));
                assert_listed(&row(problem));
            }
        )+
    };
}

attempts! {
    no_target: false, 0, [sent(1), ended(1, Finish::Unreached)] => 503, NoCapacity, NotRun;
    too_late_in_the_queue: false, 0, [Event::Tick] => 503, DeadlinePassed, NotRun;
    crashing_in_the_queue: true, 0, [Event::GiveUp(Reason::Quarantined)] => 503, Quarantined, NotRun;
    claim_too_old: false, 0, [Event::GiveUp(Reason::LogUnavailable)] => 503, LogUnavailable, NotRun;
    too_late_at_the_target: false, 0, [sent(1), Event::Tick] => 504, DeadlinePassed, Unknown;
    crashed: false, 0, [sent(1), ended(1, Finish::Crashed)] => 502, TargetFailed, Unknown;
    crashed_then_crashing: true, 1, [sent(1), ended(1, Finish::Crashed), Event::GiveUp(Reason::Quarantined)] => 502, Quarantined, Unknown;
    crashed_then_no_target: true, 1, [sent(1), ended(1, Finish::Crashed), sent(2), ended(2, Finish::Unreached)] => 502, NoCapacity, Unknown;
    lost: false, 0, [sent(1), Event::Disconnected(AGENT), Event::Reconnected(AGENT, BootId(2))] => 504, OutcomeUnknown, Unknown;
}

#[test]
fn a_refusal_before_any_try_is_not_run() {
    for (status, reason, execution) in table() {
        let before = status < 500 || status == 503;
        let elsewhere = reason == "claimed_elsewhere";
        assert_eq!(
            execution == "not_run",
            before && !elsewhere,
            "{status} {reason}"
        );
    }
}
