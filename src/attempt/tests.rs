use super::*;

const AGENT: AgentKey = AgentKey(3);
const BOOT: BootId = BootId(30);
const T0: Micros = Micros::ZERO;

fn id(seq: u64) -> DispatchId {
    DispatchId {
        boot: BootId(1),
        seq,
    }
}

fn sent(seq: u64) -> Event {
    Event::Dispatched {
        agent: AGENT,
        boot: BOOT,
        dispatch: id(seq),
    }
}

fn chunk(dispatch: u64, seq: u64) -> Event {
    Event::Chunk {
        dispatch: id(dispatch),
        seq,
        len: 10,
    }
}

fn end(dispatch: u64, finish: Finish, chunks: u64) -> Event {
    Event::End {
        dispatch: id(dispatch),
        finish,
        chunks,
        bytes: chunks * 10,
    }
}

fn run(idempotent: bool, events: &[Event]) -> (Attempt, Vec<Action>) {
    let plan = RequestPolicy::new(idempotent).deadline(Some(Micros::from_secs(60)));
    let mut attempt = Attempt::new(plan);
    let mut last = Vec::new();
    for &event in events {
        last = attempt.handle(T0, event).to_vec();
    }
    (attempt, last)
}

const UNREACHED: Problem = Problem::not_run(503, Reason::NoCapacity);
const FAILED: Problem = Problem::unknown(502, Reason::TargetFailed);
const LOST: Problem = Problem::unknown(504, Reason::OutcomeUnknown);

/// Names each case: whether idempotent, the events, and the actions of the last event.
macro_rules! cases {
    ($($name:ident: $idempotent:expr, [$($event:expr),*] => [$($action:expr),*])*) => {
        $(#[test]
        fn $name() {
            let (_, last) = run($idempotent, &[$($event),*]);
            assert_eq!(last, vec![$($action),*]);
        })*
    };
}

cases! {
    head_is_delivered: false, [sent(1), Event::Head(id(1))] => [Action::Deliver]
    chunks_are_delivered_in_order: false,
        [sent(1), Event::Head(id(1)), chunk(1, 1), chunk(1, 2)] => [Action::Deliver]
    a_double_is_dropped: false,
        [sent(1), Event::Head(id(1)), chunk(1, 1), chunk(1, 1)] => []
    a_gap_breaks_the_answer_off: false,
        [sent(1), Event::Head(id(1)), chunk(1, 2)] => [Action::Cancel(id(1)), Action::Abort]
    a_chunk_before_the_head_fails: false,
        [sent(1), chunk(1, 1)] => [Action::Cancel(id(1)), Action::Refuse(FAILED)]
    a_whole_answer_completes: false,
        [sent(1), Event::Head(id(1)), chunk(1, 1), end(1, Finish::Whole, 1)]
        => [Action::Settle(id(1)), Action::Complete]
    a_short_answer_is_cut: false,
        [sent(1), Event::Head(id(1)), chunk(1, 1), end(1, Finish::Whole, 2)]
        => [Action::Settle(id(1)), Action::Abort]
    an_end_without_a_head_fails: false, [sent(1), end(1, Finish::Whole, 0)]
        => [Action::Settle(id(1)), Action::Refuse(FAILED)]
    declined_goes_back: false, [sent(1), Event::Declined(id(1))]
        => [Action::Close(id(1)), Action::Requeue]
    unreached_goes_back: false, [sent(1), end(1, Finish::Unreached, 0)]
        => [Action::Settle(id(1)), Action::Requeue]
    unreached_too_often_was_not_run: false,
        [sent(1), end(1, Finish::Unreached, 0), sent(2), end(2, Finish::Unreached, 0),
         sent(3), end(3, Finish::Unreached, 0)]
        => [Action::Settle(id(3)), Action::Refuse(UNREACHED)]
    crashed_non_idempotent_is_unknown: false, [sent(1), end(1, Finish::Crashed, 0)]
        => [Action::Settle(id(1)), Action::Crash, Action::Refuse(FAILED)]
    crashed_idempotent_goes_back: true, [sent(1), end(1, Finish::Crashed, 0)]
        => [Action::Settle(id(1)), Action::Crash, Action::Requeue]
    not_run_is_not_said_after_a_crash: true,
        [sent(1), end(1, Finish::Crashed, 0), Event::GiveUp(Reason::Quarantined)]
        => [Action::Refuse(Problem::unknown(502, Reason::Quarantined))]
    given_up_while_waiting_was_not_run: false, [Event::GiveUp(Reason::Draining)]
        => [Action::Refuse(Problem::not_run(503, Reason::Draining))]
    cut_after_the_head_is_cut: true,
        [sent(1), Event::Head(id(1)), end(1, Finish::Cut, 0)]
        => [Action::Settle(id(1)), Action::Crash, Action::Abort]
    the_same_run_is_asked: false, [sent(1), Event::Head(id(1)), Event::Disconnected(AGENT),
         Event::Reconnected(AGENT, BOOT)] => [Action::Ask { dispatch: id(1), next: 1 }]
    a_new_connection_asks_without_a_loss: false, [sent(1), Event::Reconnected(AGENT, BOOT)]
        => [Action::Ask { dispatch: id(1), next: 0 }]
    frames_before_the_state_are_dropped: false,
        [sent(1), Event::Reconnected(AGENT, BOOT), Event::Head(id(1))] => []
    frames_after_the_state_are_delivered: false,
        [sent(1), Event::Reconnected(AGENT, BOOT), Event::State(id(1), DispatchState::Running),
         Event::Head(id(1))] => [Action::Deliver]
    never_seen_goes_back: false,
        [sent(1), Event::Reconnected(AGENT, BOOT), Event::State(id(1), DispatchState::NeverSeen)]
        => [Action::Close(id(1)), Action::Requeue]
    never_seen_after_a_head_is_cut: true,
        [sent(1), Event::Head(id(1)), Event::Reconnected(AGENT, BOOT),
         Event::State(id(1), DispatchState::NeverSeen)] => [Action::Close(id(1)), Action::Abort]
    forgotten_is_unknown: false,
        [sent(1), Event::Reconnected(AGENT, BOOT), Event::State(id(1), DispatchState::Forgotten)]
        => [Action::Settle(id(1)), Action::Refuse(LOST)]
    another_run_is_unknown: false, [sent(1), Event::Disconnected(AGENT), Event::Reconnected(AGENT, BootId(31))]
        => [Action::Close(id(1)), Action::Refuse(LOST)]
    another_run_lets_idempotent_go_back: true, [sent(1), Event::Reconnected(AGENT, BootId(31))]
        => [Action::Close(id(1)), Action::Requeue]
    another_agent_changes_nothing: false, [sent(1), Event::Reconnected(AgentKey(4), BootId(31))] => []
    a_late_answer_is_dropped: true,
        [sent(1), Event::Reconnected(AGENT, BootId(31)), sent(2), Event::Head(id(1))] => []
    a_late_end_is_dropped: true,
        [sent(1), Event::Reconnected(AGENT, BootId(31)), sent(2), end(1, Finish::Whole, 0)] => []
    gone_cancels_idempotent: true, [sent(1), Event::CallerGone] => [Action::Cancel(id(1))]
    gone_lets_non_idempotent_run: false, [sent(1), Event::CallerGone] => []
    gone_is_not_sent_again: false, [sent(1), Event::CallerGone, Event::Declined(id(1))]
        => [Action::Close(id(1))]
    a_dispatch_after_the_end_is_cancelled: false, [Event::CallerGone, sent(1)]
        => [Action::Cancel(id(1))]
}

#[test]
fn an_absent_agent_is_given_up_after_the_wait() {
    let (mut attempt, _) = run(false, &[sent(1), Event::Disconnected(AGENT)]);
    assert_eq!(attempt.next_timer(), Some(DEFAULT_AGENT_TIMEOUT));
    assert!(
        attempt
            .handle(DEFAULT_AGENT_TIMEOUT - Micros(1), Event::Tick)
            .is_empty()
    );
    let actions = attempt.handle(DEFAULT_AGENT_TIMEOUT, Event::Tick);
    assert_eq!(
        actions.to_vec(),
        [Action::Close(id(1)), Action::Refuse(LOST)]
    );
}

#[test]
fn a_silent_state_is_given_up_after_the_wait() {
    let (mut attempt, _) = run(
        true,
        &[
            sent(1),
            Event::Disconnected(AGENT),
            Event::Reconnected(AGENT, BOOT),
        ],
    );
    let actions = attempt.handle(DEFAULT_AGENT_TIMEOUT, Event::Tick);
    assert_eq!(actions.to_vec(), [Action::Cancel(id(1)), Action::Requeue]);
}

#[test]
fn the_deadline_is_true_to_what_was_begun() {
    let at = Micros::from_secs(60);
    for (events, execution) in [
        (&[][..], Execution::NotRun),
        (&[sent(1)][..], Execution::Unknown),
        (&[sent(1), Event::Declined(id(1))][..], Execution::NotRun),
    ] {
        let (mut attempt, _) = run(false, events);
        attempt.handle(at, Event::Tick);
        let Some(Outcome::Refused(problem)) = attempt.outcome() else {
            panic!("not refused: {:?}", attempt.outcome());
        };
        assert_eq!(problem.execution, execution);
    }
}

#[test]
fn declines_are_bounded() {
    let mut attempt = Attempt::new(RequestPolicy::new(false));
    for seq in 0..1_000 {
        attempt.handle(T0, sent(seq));
        attempt.handle(T0, Event::Declined(id(seq)));
    }
    assert_eq!(attempt.outcome(), Some(Outcome::Refused(UNREACHED)));
}
