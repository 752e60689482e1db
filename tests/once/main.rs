//! Property test: with lost, lossy and re-established connections, a non-idempotent request runs at
//! most once and its response is complete. The runs at the targets are counted for comparison.
//!
//! `BALSAMPITCH_CASES=20000 cargo test --release --test once` runs more cases.

mod nodes;
mod oracle;
mod step;
mod world;

use proptest::strategy::{Just, Strategy};
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use oracle::Verdict;
use step::{Faults, Step};
use world::World;

/// Default number of cases, overridden by `BALSAMPITCH_CASES`.
const CASES: u32 = 300;
/// Number of cases within which an injected fault must be detected.
const FAULT_CASES: u32 = 3_000;

pub fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x00ba_15a3),
        max_shrink_iters: 200,
        ..Config::default()
    }
}

pub fn cases() -> u32 {
    let text = std::env::var("BALSAMPITCH_CASES").ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(CASES)
}

/// Generates the steps only. There is no reference state, because the oracle judges the world
/// directly.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> proptest::strategy::BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> proptest::strategy::BoxedStrategy<Step> {
        step::steps().boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct Run;

impl StateMachineTest for Run {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(_: &()) -> World {
        World::new(Faults::default())
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        world.step(step);
        assert_eq!(world.verdict(), Verdict::Correct);
        world
    }

    fn teardown(mut world: World, _: ()) {
        world.settle();
        assert_eq!(world.verdict(), Verdict::Correct);
        assert_eq!(world.unfinished(), 0, "requests without an outcome");
    }
}

#[test]
fn requests_run_once_and_responses_are_complete() {
    let mut runner = TestRunner::new(config(cases()));
    let steps = Steps::sequential_strategy(1..80);
    let outcome = runner.run(&steps, |(state, steps, seen)| {
        Run::test_sequential(Config::default(), state, steps, seen);
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}

/// Whether the oracle detects this violation when the fault is injected.
fn detects(faults: Faults, violation: Verdict) -> bool {
    let mut runner = TestRunner::new(config(FAULT_CASES));
    let steps = proptest::collection::vec(step::steps(), 1..80);
    let outcome = runner.run(&steps, |steps| {
        let mut world = World::new(faults);
        steps.into_iter().for_each(|step| world.step(step));
        world.settle();
        if world.verdict() == violation {
            return Err(TestCaseError::fail("violation detected"));
        }
        Ok(())
    });
    matches!(outcome, Err(TestError::Fail(_, _)))
}

/// Defines one test per injected fault, with the violation that the oracle must detect.
macro_rules! faults {
    ($($name:ident: $fault:ident => $violation:ident)*) => {
        $(#[test]
        fn $name() {
            let faults = Faults { $fault: true, ..Faults::default() };
            assert!(detects(faults, Verdict::$violation));
        })*
    };
}

faults! {
    without_blocking_requests_run_twice: skip_blocking => RanTwice
    with_repeated_begins_requests_run_twice: ignore_begin => RanTwice
    without_boot_ids_requests_run_twice: ignore_boot => RanTwice

    without_boot_ids_not_run_is_false: ignore_boot => FalseNotRun
    without_blocking_not_run_is_false: skip_blocking => FalseNotRun
    without_chunk_numbers_responses_have_gaps: ignore_seq => CorruptResponse
    without_dispatch_ids_responses_are_mixed: ignore_dispatch => CorruptResponse
    without_lengths_truncated_responses_seem_complete: ignore_length => CorruptResponse
    without_earlier_dispatches_not_run_is_false: forget_dispatch => FalseNotRun
}
