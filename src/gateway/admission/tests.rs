use std::time::Duration;

use super::{AdmissionContext, admit, with_retry_after};
use crate::gateway::fair_share::ShareStatus;
use crate::gateway::selection::Choice;
use crate::gateway::targets::Targets;
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;

const AIM: Micros = Micros::from_ms(600);

/// A request whose first event is expected after `expected`, of which `wait` is for others.
fn offer(expected: u64, wait: u64) -> AdmissionContext {
    let mut targets = Targets::default();
    let entry = crate::gateway::targets::Entry {
        service: "model".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        started_at: None,
    };
    targets.put("one", entry);
    AdmissionContext {
        choice: Some(Choice {
            target: targets.of_service("model")[0],
            expected: Micros::from_ms(expected),
            wait: Micros::from_ms(wait),
            prefill_tokens: 0,
        }),
        elapsed: Micros::ZERO,
        remaining: Micros::from_secs(8),
        latency_objective: AIM,
        is_engine: true,
        share: ShareStatus::Owed,
        backlog: Micros::ZERO,
    }
}

macro_rules! verdicts {
    ($($name:ident: $offer:expr => $goes:expr;)*) => {$(
        #[test]
        fn $name() {
            let verdict = admit(&$offer, 0.5);
            assert_eq!(verdict.is_ok(), $goes);
            if let Err(problem) = verdict {
                assert_eq!((problem.status, problem.execution), (503, Execution::NotRun));
                assert!(problem.retry_after > Some(Duration::ZERO));
            }
        }
    )*};
}

verdicts! {
    in_time: offer(300, 100) => true;
    late_for_others: offer(900, 700) => false;
    late_by_its_own_size: offer(900, 50) => true;
    a_plain_call_that_waits: AdmissionContext { is_engine: false, ..offer(900, 700) } => true;
    no_time_is_left: AdmissionContext { remaining: Micros::from_ms(200), ..offer(300, 0) } => false;
    no_target: AdmissionContext { choice: None, ..offer(0, 0) } => false;
    sated_while_nothing_waits: AdmissionContext { share: ShareStatus::Sated, ..offer(300, 10) } => true;
    sated_and_it_would_wait: AdmissionContext { share: ShareStatus::Sated, ..offer(300, 200) } => false;
    sated_while_all_engines_are_busy: AdmissionContext { share: ShareStatus::Sated, backlog: AIM, ..offer(100, 0) } => false;
    not_sated_while_all_engines_are_busy: AdmissionContext { backlog: AIM, ..offer(100, 0) } => true;
}

#[test]
fn a_refusal_says_when_room_is_expected_and_spreads_callers() {
    let wait = |random| match admit(&offer(1_600, 1_500), random) {
        Err(problem) => problem.retry_after.expect("it says when"),
        Ok(_) => panic!("it is late"),
    };
    assert!(wait(0.0) >= Duration::from_millis(1_000));
    assert!(wait(1.0) > wait(0.0));
    assert!(wait(1.0) <= Duration::from_millis(1_600));
}

#[test]
fn only_what_was_not_run_is_asked_to_come_back() {
    let unknown = with_retry_after(Problem::unknown(502, Reason::TargetFailed), 0.0);
    assert_eq!(unknown.retry_after, None);
    let not_run = with_retry_after(Problem::not_run(503, Reason::NoCapacity), 0.0);
    assert!(not_run.retry_after.is_some());
}
