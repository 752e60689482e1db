use super::{AttemptCounts, Failure};
use crate::gateway::config::RouteClass;
use crate::problem::{Execution, Reason};
use crate::units::Micros;

fn counts(failures: &[Failure]) -> AttemptCounts {
    let mut counts = AttemptCounts::default();
    failures.iter().for_each(|&failure| counts.record(failure));
    counts
}

macro_rules! repeats {
    ($($name:ident: $failures:expr, $kind:ident, $attempts:expr => $may:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(counts(&$failures).may_retry(RouteClass::$kind, $attempts), $may);
        }
    )*};
}

repeats! {
    an_order_that_may_have_run_is_not_repeated: [Failure::Broken], Once, 3 => false;
    an_order_that_is_silent_is_not_repeated: [Failure::Silent], Once, 3 => false;
    an_order_that_failed_is_not_repeated: [Failure::Failed], Once, 3 => false;
    an_order_that_was_declined_is_repeated: [Failure::Declined], Once, 1 => true;
    an_order_that_was_not_sent_is_repeated: [Failure::Unreached], Once, 1 => true;
    an_order_at_a_moved_address_is_repeated: [Failure::Moved], Once, 1 => true;
    a_stream_that_may_have_run_is_not_repeated: [Failure::Broken], Stream, 2 => false;
    a_resumable_stream_is_repeated: [Failure::Broken], ResumableStream, 2 => true;
    a_read_that_failed_is_repeated: [Failure::Failed], Idempotent, 2 => true;
    attempts_that_ran_are_bounded: [Failure::Failed, Failure::Failed], Idempotent, 2 => false;
    declines_are_bounded: [Failure::Declined; 3], Idempotent, 9 => false;
    a_decline_after_a_run_leaves_it_unknown: [Failure::Broken, Failure::Declined], Once, 9 => false;
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
    unreached_is_not_run: [Failure::Unreached] => 503, NotRun;
    broken_is_unknown: [Failure::Broken] => 502, Unknown;
    silent_is_unknown: [Failure::Silent] => 504, Unknown;
    declined_after_broken_is_unknown: [Failure::Broken, Failure::Declined] => 502, Unknown;
}

#[test]
fn a_deadline_that_passes_before_any_run_is_a_true_refusal() {
    let problem = counts(&[Failure::Declined]).refusal(Reason::DeadlinePassed);
    assert_eq!(
        (problem.status, problem.execution),
        (503, Execution::NotRun)
    );
}

macro_rules! silences {
    ($($name:ident: $failures:expr, $kind:ident, $attempts:expr, $expected:expr => $ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let (expected, aim) = (Micros::from_ms($expected), Micros::from_ms(150));
            let silence = counts(&$failures).response_timeout(RouteClass::$kind, $attempts, expected, aim);
            assert_eq!(silence, Option::<u64>::map($ms, Micros::from_ms));
        }
    )*};
}

silences! {
    a_read_waits_for_twice_its_aim: [], Idempotent, 2, 30 => Some(300);
    a_read_that_is_expected_late_waits_longer: [], Idempotent, 2, 100 => Some(400);
    the_last_try_of_a_read_waits_to_the_end: [Failure::Silent], Idempotent, 2, 30 => None;
    an_order_waits_to_the_end: [], Once, 9, 30 => None;
    a_stream_that_cannot_be_resumed_waits_to_the_end: [], Stream, 9, 30 => None;
}
