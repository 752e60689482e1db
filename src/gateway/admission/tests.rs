use std::time::Duration;

use super::{AdmissionContext, admit, with_retry_after};
use crate::gateway::fair_share::ShareStatus;
use crate::gateway::selection::Choice;
use crate::gateway::targets::Targets;
use crate::problem::{Execution, Problem, Reason};
use crate::units::Micros;

const OBJECTIVE: Micros = Micros::from_ms(600);

/// A request whose first event is expected after `expected` milliseconds, `wait` of them caused by
/// other requests.
fn context(expected: u64, wait: u64) -> AdmissionContext {
    let mut targets = Targets::default();
    let entry = crate::gateway::targets::Entry {
        service: "model".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        version: Some("v1".into()),
        started_at: None,
        cold: None,
    };
    targets.put("one", entry);
    AdmissionContext {
        choice: Some(Choice {
            transfer: None,
            reservation: None,
            target: targets.of_service("model")[0],
            expected: Micros::from_ms(expected),
            wait: Micros::from_ms(wait),
            prefill_tokens: 0,
        }),
        room_interval: None,
        pause: None,
        elapsed: Micros::ZERO,
        remaining: Micros::from_secs(8),
        latency_objective: OBJECTIVE,
        is_engine: true,
        share: ShareStatus::BelowShare,
        backlog: Micros::ZERO,
    }
}

macro_rules! decisions {
    ($($name:ident: $context:expr => $refusal:expr;)*) => {$(
        #[test]
        fn $name() {
            let decision = admit(&$context, 0.5);
            assert_eq!(decision.map_err(|problem| problem.status).err(), $refusal);
            if let Err(problem) = decision {
                assert_eq!(problem.execution, Execution::NotRun);
                assert!(problem.retry_after > Some(Duration::ZERO));
            }
        }
    )*};
}

decisions! {
    in_time: context(300, 100) => None;
    late_because_of_others: context(900, 700) => Some(503);
    late_because_of_its_own_size: context(900, 50) => None;
    a_request_without_an_engine_that_waits: AdmissionContext { is_engine: false, ..context(900, 700) } => None;
    no_time_is_left: AdmissionContext { remaining: Micros::from_ms(200), ..context(300, 0) } => Some(503);
    no_target: AdmissionContext { choice: None, ..context(0, 0) } => Some(503);
    share_reached_without_queueing: AdmissionContext { share: ShareStatus::ReachedShare, ..context(300, 10) } => None;
    share_reached_with_queueing: AdmissionContext { share: ShareStatus::ReachedShare, ..context(300, 200) } => Some(429);
    share_reached_while_all_engines_are_busy: AdmissionContext { share: ShareStatus::ReachedShare, backlog: OBJECTIVE, ..context(100, 0) } => Some(429);
    below_share_while_all_engines_are_busy: AdmissionContext { backlog: OBJECTIVE, ..context(100, 0) } => None;
}

#[test]
fn retry_after_is_when_capacity_is_expected_plus_jitter() {
    let wait = |random| match admit(&context(1_600, 1_500), random) {
        Err(problem) => problem
            .retry_after
            .expect("the refusal has a `Retry-After`"),
        Ok(_) => panic!("a late request was admitted"),
    };
    assert!(wait(0.0) >= Duration::from_millis(1_000));
    assert!(wait(1.0) > wait(0.0));
    assert!(wait(1.0) <= Duration::from_millis(1_600));
}

#[test]
fn only_requests_that_were_not_run_get_retry_after() {
    let unknown = with_retry_after(Problem::unknown(502, Reason::TargetFailed), None, 0.0);
    assert_eq!(unknown.retry_after, None);
    let not_run = with_retry_after(Problem::not_run(503, Reason::NoCapacity), None, 0.0);
    assert!(not_run.retry_after.is_some());
}

/// `Retry-After` of a request that finds no target.
macro_rules! waits_without_target {
    ($($name:ident: $interval:expr => $wait_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let interval: Option<u64> = $interval;
            let context = AdmissionContext {
                choice: None,
                room_interval: interval.map(Micros::from_ms),
                ..context(0, 0)
            };
            let refused = admit(&context, 0.0).expect_err("there is no target");
            assert_eq!(refused.retry_after, Some(Duration::from_millis($wait_ms)));
        }
    )*};
}

waits_without_target! {
    there_is_none_at_all: None => 200;
    room_is_expected_soon: Some(30) => 100;
    room_is_expected_later: Some(700) => 700;
    room_is_expected_much_later: Some(60_000) => 2_000;
}

/// `Retry-After` of a refusal while all targets have asked for a pause, if this is its jitter. Guards
/// against callers that come back long before the first target takes requests, or all at once.
macro_rules! waits_for_pause {
    ($($name:ident: $pause_ms:expr, $random:expr => $wait_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let pause = Some(Micros::from_ms($pause_ms));
            let context = AdmissionContext {
                choice: None,
                pause,
                ..context(0, 0)
            };
            let refused = admit(&context, $random).expect_err("there is no target");
            assert_eq!(refused.execution, Execution::NotRun);
            let given_up = Problem::not_run(503, Reason::NoCapacity);
            let given_up = with_retry_after(given_up, pause, $random);
            for problem in [refused, given_up] {
                assert_eq!(problem.retry_after, Some(Duration::from_millis($wait_ms)));
            }
        }
    )*};
}

waits_for_pause! {
    a_pause_that_has_almost_ended: 3, 0.0 => 100;
    a_pause: 4_000, 0.0 => 4_000;
    a_pause_with_jitter: 4_000, 1.0 => 6_000;
    the_longest_pause_with_jitter: 3_600_000, 1.0 => 3_610_000;
}
