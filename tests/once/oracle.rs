//! What callers were told, held against what the targets ran.

use std::collections::HashMap;

use balsampitch::attempt::Outcome;

/// One piece of an answer: the request, which of its runs, and the piece's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    pub request: usize,
    pub run: u32,
    pub seq: u64,
}

/// Number of pieces in each answer, the head included.
pub const fn pieces(request: usize) -> u64 {
    2 + request as u64 % 3
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Right,
    /// Non-idempotent work ran more than once.
    RanTwice,
    /// A refusal said `not_run` of work that ran.
    Untrue,
    /// An answer has gaps, doubles or foreign pieces, or passed as whole and is not.
    Mixed,
}

/// One caller, as it sees its answer.
#[derive(Debug)]
pub struct Caller {
    pub idempotent: bool,
    pub got: Vec<Piece>,
    pub outcome: Option<Outcome>,
}

/// Runs at the targets by request.
pub type Runs = HashMap<usize, u32>;

pub fn judge(callers: &[Caller], runs: &Runs) -> Verdict {
    let each = callers.iter().enumerate();
    let mut wrongs = each.map(|(request, caller)| {
        judge_one(request, caller, runs.get(&request).copied().unwrap_or(0))
    });
    wrongs
        .find(|v| *v != Verdict::Right)
        .unwrap_or(Verdict::Right)
}

fn judge_one(request: usize, caller: &Caller, runs: u32) -> Verdict {
    if !caller.idempotent && runs > 1 {
        return Verdict::RanTwice;
    }
    if caller.outcome.is_some_and(Outcome::not_run) && runs > 0 {
        return Verdict::Untrue;
    }
    let first = caller.got.first().map_or(0, |p| p.run);
    let expected = (0..).map(|seq| Piece {
        request,
        run: first,
        seq,
    });
    let ordered = caller
        .got
        .iter()
        .copied()
        .zip(expected)
        .all(|(a, b)| a == b);
    let whole = caller.got.len() as u64 == pieces(request);
    if ordered && (whole || caller.outcome != Some(Outcome::Whole)) {
        Verdict::Right
    } else {
        Verdict::Mixed
    }
}
