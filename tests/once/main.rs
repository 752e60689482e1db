//! Requests over cut, lossy and renewed connections, against a count of runs at the target.
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

/// Cases of one run, unless `BALSAMPITCH_CASES` says otherwise.
const CASES: u32 = 300;
/// Cases within which an injected fault must be found.
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

/// The steps alone are generated: the oracle looks at what the world did.
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
        assert_eq!(world.verdict(), Verdict::Right);
        world
    }

    fn teardown(mut world: World, _: ()) {
        world.settle();
        assert_eq!(world.verdict(), Verdict::Right);
        assert_eq!(world.unanswered(), 0, "callers without an answer");
    }
}

#[test]
fn requests_run_once_and_answers_are_whole() {
    let mut runner = TestRunner::new(config(cases()));
    let steps = Steps::sequential_strategy(1..80);
    let outcome = runner.run(&steps, |(state, steps, seen)| {
        Run::test_sequential(Config::default(), state, steps, seen);
        Ok(())
    });
    outcome.unwrap_or_else(|failure| panic!("{failure}"));
}

/// Whether the oracle finds this wrong when the fault is put in.
fn found(faults: Faults, wrong: Verdict) -> bool {
    let mut runner = TestRunner::new(config(FAULT_CASES));
    let steps = proptest::collection::vec(step::steps(), 1..80);
    let outcome = runner.run(&steps, |steps| {
        let mut world = World::new(faults);
        steps.into_iter().for_each(|step| world.step(step));
        world.settle();
        if world.verdict() == wrong {
            return Err(TestCaseError::fail("found"));
        }
        Ok(())
    });
    matches!(outcome, Err(TestError::Fail(_, _)))
}

/// Names each fault and the wrong that the oracle must find.
macro_rules! faults {
    ($($name:ident: $fault:ident => $wrong:ident)*) => {
        $(#[test]
        fn $name() {
            let faults = Faults { $fault: true, ..Faults::default() };
            assert!(found(faults, Verdict::$wrong));
        })*
    };
}

faults! {
    without_barring_work_runs_twice: unbarred => RanTwice
    with_repeated_begins_work_runs_twice: rebegun => RanTwice
    without_boot_ids_work_runs_twice: bootless => RanTwice

    without_boot_ids_refusals_lie: bootless => Untrue
    without_barring_refusals_lie: unbarred => Untrue
    without_numbers_answers_have_gaps: renumbered => Mixed
    without_dispatch_ids_answers_are_mixed: misaddressed => Mixed
    without_lengths_cut_answers_pass_as_whole: unmeasured => Mixed
    without_care_for_earlier_runs_refusals_lie: forgetful => Untrue
}
