use super::{Failure, Tries};
use crate::gateway::config::Kind;
use crate::problem::{Execution, Reason};

fn tries(failures: &[Failure]) -> Tries {
    let mut tries = Tries::default();
    failures.iter().for_each(|&failure| tries.add(failure));
    tries
}

macro_rules! repeats {
    ($($name:ident: $failures:expr, $kind:ident, $attempts:expr => $may:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(tries(&$failures).may_repeat(Kind::$kind, $attempts), $may);
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
            let problem = tries(failures).problem(last);
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
    let problem = tries(&[Failure::Declined]).refuse(Reason::DeadlinePassed);
    assert_eq!(
        (problem.status, problem.execution),
        (503, Execution::NotRun)
    );
}
