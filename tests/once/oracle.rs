//! Oracle: compares the responses that callers received with the runs at the targets.

use std::collections::HashMap;

use balsampitch::attempt::Outcome;

/// A frame of a response: the request, the run that produced it, and the frame's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseFrame {
    pub request: usize,
    pub run: u32,
    pub seq: u64,
}

/// Number of frames in the response to a request, including the head.
pub const fn frame_count(request: usize) -> u64 {
    2 + request as u64 % 3
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Correct,
    /// A non-idempotent request ran more than once.
    RanTwice,
    /// A request that ran was refused as `not_run`.
    FalseNotRun,
    /// A response has missing, duplicate or foreign frames, or was reported complete when it is not.
    CorruptResponse,
}

/// A caller and the response that it received.
#[derive(Debug)]
pub struct Caller {
    pub idempotent: bool,
    pub received: Vec<ResponseFrame>,
    pub outcome: Option<Outcome>,
}

/// Number of runs at the targets by request number.
pub type Runs = HashMap<usize, u32>;

pub fn judge(callers: &[Caller], runs: &Runs) -> Verdict {
    let each = callers.iter().enumerate();
    let mut verdicts = each.map(|(request, caller)| {
        judge_request(request, caller, runs.get(&request).copied().unwrap_or(0))
    });
    verdicts
        .find(|v| *v != Verdict::Correct)
        .unwrap_or(Verdict::Correct)
}

fn judge_request(request: usize, caller: &Caller, runs: u32) -> Verdict {
    if !caller.idempotent && runs > 1 {
        return Verdict::RanTwice;
    }
    if caller.outcome.is_some_and(Outcome::not_run) && runs > 0 {
        return Verdict::FalseNotRun;
    }
    let first = caller.received.first().map_or(0, |p| p.run);
    let expected = (0..).map(|seq| ResponseFrame {
        request,
        run: first,
        seq,
    });
    let ordered = caller
        .received
        .iter()
        .copied()
        .zip(expected)
        .all(|(a, b)| a == b);
    let is_complete = caller.received.len() as u64 == frame_count(request);
    if ordered && (is_complete || caller.outcome != Some(Outcome::Whole)) {
        Verdict::Correct
    } else {
        Verdict::CorruptResponse
    }
}
