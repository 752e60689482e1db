//! The `/explain` page of a request.

use std::net::SocketAddr;

use serde::Serialize;

use super::{RequestRecord, Step};
use crate::attempt::Outcome;
use crate::problem::{Execution, Reason};
use crate::rules::Table;
use crate::telemetry;
use crate::units::Micros;
use crate::wire::{DispatchState, Finish};

/// The response to `/explain/REQUEST-ID`.
#[derive(Debug, Serialize)]
pub struct ExplainPage {
    request: String,
    account: String,
    service: String,
    idempotent: bool,
    /// Time since the request arrived.
    age_ms: u64,
    /// Time from arrival to the first dispatch or the outcome, or until now if there is neither
    /// yet.
    waited_ms: u64,
    charged_ms: Option<u64>,
    outcome: &'static str,
    execution: Option<Execution>,
    reason: Option<Reason>,
    steps: Vec<StepLine>,
}

/// A step in an [`ExplainPage`].
#[derive(Debug, Serialize)]
struct StepLine {
    /// Time since the request arrived.
    at_ms: u64,
    step: &'static str,
    host: Option<SocketAddr>,
    detail: String,
}

impl ExplainPage {
    /// Creates the page of a record at the time `now`, with names from the rules.
    pub fn new(record: &RequestRecord, rules: &Table, now: Micros) -> Self {
        let ended = record.steps.iter().find_map(|(_, step)| match step {
            Step::Ended(outcome) => Some(*outcome),
            _ => None,
        });
        let problem = match ended {
            Some(Outcome::Refused(problem)) => Some(problem),
            _ => None,
        };
        ExplainPage {
            request: record.id.to_string(),
            account: rules.account_at(record.account).name.clone(),
            service: rules.service_at(record.service).name.clone(),
            idempotent: record.idempotent,
            age_ms: (now - record.arrived).as_ms(),
            waited_ms: waited(record, now).as_ms(),
            charged_ms: charged(record).map(Micros::as_ms),
            outcome: ended.map_or("under way", |o| telemetry::Outcome::from(o).label()),
            execution: problem.map(|p| p.execution),
            reason: problem.map(|p| p.reason),
            steps: record.steps.iter().map(|s| line(record, s)).collect(),
        }
    }
}

fn waited(record: &RequestRecord, now: Micros) -> Micros {
    let ended = record
        .steps
        .iter()
        .find(|(_, step)| matches!(step, Step::Sent { .. } | Step::Ended(_)));
    ended.map_or(now, |(at, _)| *at) - record.arrived
}

fn charged(record: &RequestRecord) -> Option<Micros> {
    record.steps.iter().find_map(|(_, step)| match step {
        Step::Charged { spent } => Some(*spent),
        _ => None,
    })
}

fn line(record: &RequestRecord, (at, step): &(Micros, Step)) -> StepLine {
    let host = match step {
        Step::Sent { host } | Step::Hedged { host } => Some(*host),
        _ => None,
    };
    StepLine {
        at_ms: (*at - record.arrived).as_ms(),
        step: name(step),
        host,
        detail: detail(step),
    }
}

fn name(step: &Step) -> &'static str {
    match step {
        Step::Queued { .. } => "queued",
        Step::Sent { .. } => "sent",
        Step::Hedged { .. } => "hedged",
        Step::Declined => "declined",
        Step::Disconnected => "connection lost",
        Step::Reconnected => "agent back",
        Step::ResumeRequested { .. } => "asked",
        Step::AgentState(_) => "told",
        Step::Answered { .. } => "answered",
        Step::Finished { .. } => "finished",
        Step::Crashed => "crashed target",
        Step::Requeued => "returned",
        Step::Charged { .. } => "charged",
        Step::Ended(_) => "over",
    }
}

fn detail(step: &Step) -> String {
    match step {
        Step::Queued {
            waiting,
            level,
            least,
        } => queued(*waiting, *level, *least),
        Step::ResumeRequested { next } => format!("from chunk {next}"),
        Step::AgentState(state) => state_text(*state).to_owned(),
        Step::Answered { status } => format!("status {status}"),
        Step::Finished { finish, spent } => {
            format!(
                "{}, {} ms of slot time",
                finish_text(*finish),
                spent.as_ms()
            )
        }
        Step::Charged { spent } => format!("{} ms of slot time", spent.as_ms()),
        Step::Ended(outcome) => telemetry::Outcome::from(*outcome).label().to_owned(),
        _ => String::new(),
    }
}

fn queued(waiting: u32, level: Micros, least: Micros) -> String {
    let why = if level > least {
        "accounts with less service go first"
    } else {
        "no free slot"
    };
    let (level, least) = (level.as_ms(), least.as_ms());
    format!("{why}: {waiting} waiting, level {level} ms, least {least} ms")
}

fn state_text(state: DispatchState) -> &'static str {
    match state {
        DispatchState::Running => "running",
        DispatchState::Done => "done",
        DispatchState::NeverSeen => "never seen",
        DispatchState::Forgotten => "forgotten",
    }
}

fn finish_text(finish: Finish) -> &'static str {
    match finish {
        Finish::Whole => "whole",
        Finish::Cut => "cut",
        Finish::Unreached => "target not reached",
        Finish::Crashed => "connection broke before an answer",
        Finish::Cancelled => "cancelled",
    }
}
