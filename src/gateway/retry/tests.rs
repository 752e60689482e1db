use super::{AttemptCounts, Failure};
use crate::gateway::config::RouteClass;
use crate::problem::{Execution, Reason};
use crate::units::Micros;

fn counts(failures: &[Failure]) -> AttemptCounts {
    let mut counts = AttemptCounts::default();
    failures.iter().for_each(|&failure| counts.record(failure));
    counts
}

macro_rules! retries {
    ($($name:ident: $failures:expr, $class:ident, $attempts:expr => $may:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(counts(&$failures).may_retry(RouteClass::$class, $attempts), $may);
        }
    )*};
}

retries! {
    a_once_request_that_may_have_run_is_not_retried: [Failure::Broken], Once, 3 => false;
    a_once_request_that_timed_out_is_not_retried: [Failure::Silent], Once, 3 => false;
    a_once_request_that_failed_is_not_retried: [Failure::Failed], Once, 3 => false;
    a_once_request_that_was_declined_is_retried: [Failure::Declined], Once, 1 => true;
    a_once_request_that_was_not_sent_is_retried: [Failure::Unreached], Once, 1 => true;
    a_once_request_at_a_moved_address_is_retried: [Failure::Moved], Once, 1 => true;
    a_stream_that_may_have_run_is_not_retried: [Failure::Broken], Stream, 2 => false;
    a_resumable_stream_is_retried: [Failure::Broken], ResumableStream, 2 => true;
    an_idempotent_request_that_failed_is_retried: [Failure::Failed], Idempotent, 2 => true;
    attempts_that_ran_are_limited: [Failure::Failed, Failure::Failed], Idempotent, 2 => false;
    declines_are_limited: [Failure::Declined; 3], Idempotent, 9 => false;
    cold_targets_do_not_count_as_declines: [Failure::Cold; 7], Once, 1 => true;
    cold_targets_are_limited: [Failure::Cold; 8], Once, 1 => false;
    a_once_request_declined_after_it_may_have_run_is_not_retried: [Failure::Broken, Failure::Declined], Once, 9 => false;
}

macro_rules! answers {
    ($($name:ident: $failures:expr => $status:expr, $execution:ident;)*) => {$(
        #[test]
        fn $name() {
            let failures: &[Failure] = &$failures;
            let last = *failures.last().expect("a case has a failure");
            let problem = counts(failures).problem(last);
            assert_eq!((problem.status, problem.execution), ($status, Execution::$execution));
        }
    )*};
}

answers! {
    declined_is_not_run: [Failure::Declined] => 503, NotRun;
    cold_is_not_run: [Failure::Cold] => 503, NotRun;
    unreached_is_not_run: [Failure::Unreached] => 503, NotRun;
    broken_is_unknown: [Failure::Broken] => 502, Unknown;
    silent_is_unknown: [Failure::Silent] => 504, Unknown;
    declined_after_broken_is_unknown: [Failure::Broken, Failure::Declined] => 502, Unknown;
}

#[test]
fn a_deadline_that_passes_before_any_run_is_reported_as_not_run() {
    let problem = counts(&[Failure::Declined]).refusal(Reason::DeadlinePassed);
    assert_eq!(
        (problem.status, problem.execution),
        (503, Execution::NotRun)
    );
}

macro_rules! timeouts {
    ($($name:ident: $failures:expr, $class:ident, $attempts:expr, $expected:expr => $ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let (expected, objective) = (Micros::from_ms($expected), Micros::from_ms(150));
            let timeout = counts(&$failures).response_timeout(RouteClass::$class, $attempts, expected, objective);
            assert_eq!(timeout, Option::<u64>::map($ms, Micros::from_ms));
        }
    )*};
}

timeouts! {
    an_idempotent_request_waits_for_twice_its_objective: [], Idempotent, 2, 30 => Some(300);
    an_idempotent_request_that_is_expected_late_waits_longer: [], Idempotent, 2, 100 => Some(400);
    the_last_attempt_waits_until_the_deadline: [Failure::Silent], Idempotent, 2, 30 => None;
    a_once_request_waits_until_the_deadline: [], Once, 9, 30 => None;
    a_stream_that_cannot_be_resumed_waits_until_the_deadline: [], Stream, 9, 30 => None;
}
