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

fn dispatched(seq: u64) -> Event {
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
    let policy = RequestPolicy::new(idempotent).deadline(Some(Micros::from_secs(60)));
    let mut attempt = Attempt::new(policy);
    let mut last_actions = Vec::new();
    for &event in events {
        last_actions = attempt.handle(T0, event).to_vec();
    }
    (attempt, last_actions)
}

const NO_CAPACITY: Problem = Problem::not_run(503, Reason::NoCapacity);
const TARGET_FAILED: Problem = Problem::unknown(502, Reason::TargetFailed);
const OUTCOME_UNKNOWN: Problem = Problem::unknown(504, Reason::OutcomeUnknown);

/// Defines one test per case: idempotence, the events, and the actions returned for the last event.
macro_rules! cases {
    ($($name:ident: $idempotent:expr, [$($event:expr),*] => [$($action:expr),*])*) => {
        $(#[test]
        fn $name() {
            let (_, last_actions) = run($idempotent, &[$($event),*]);
            assert_eq!(last_actions, vec![$($action),*]);
        })*
    };
}

cases! {
    head_is_delivered: false, [dispatched(1), Event::Head(id(1))] => [Action::Deliver]
    chunks_are_delivered_in_order: false,
        [dispatched(1), Event::Head(id(1)), chunk(1, 1), chunk(1, 2)] => [Action::Deliver]
    duplicate_chunk_is_ignored: false,
        [dispatched(1), Event::Head(id(1)), chunk(1, 1), chunk(1, 1)] => []
    missing_chunk_aborts_response: false,
        [dispatched(1), Event::Head(id(1)), chunk(1, 2)] => [Action::Cancel(id(1)), Action::Abort]
    chunk_before_head_is_refused: false,
        [dispatched(1), chunk(1, 1)] => [Action::Cancel(id(1)), Action::Refuse(TARGET_FAILED)]
    complete_response_finishes: false,
        [dispatched(1), Event::Head(id(1)), chunk(1, 1), end(1, Finish::Whole, 1)]
        => [Action::Settle(id(1)), Action::Complete]
    truncated_response_is_aborted: false,
        [dispatched(1), Event::Head(id(1)), chunk(1, 1), end(1, Finish::Whole, 2)]
        => [Action::Settle(id(1)), Action::Abort]
    end_without_head_is_refused: false, [dispatched(1), end(1, Finish::Whole, 0)]
        => [Action::Settle(id(1)), Action::Refuse(TARGET_FAILED)]
    declined_is_requeued: false, [dispatched(1), Event::Declined(id(1))]
        => [Action::Close(id(1)), Action::Requeue]
    unreachable_target_is_requeued: false, [dispatched(1), end(1, Finish::Unreached, 0)]
        => [Action::Settle(id(1)), Action::Requeue]
    unreachable_beyond_retry_limit_is_refused_as_not_run: false,
        [dispatched(1), end(1, Finish::Unreached, 0), dispatched(2), end(2, Finish::Unreached, 0),
         dispatched(3), end(3, Finish::Unreached, 0)]
        => [Action::Settle(id(3)), Action::Refuse(NO_CAPACITY)]
    crash_of_non_idempotent_is_refused_as_unknown: false, [dispatched(1), end(1, Finish::Crashed, 0)]
        => [Action::Settle(id(1)), Action::RecordCrash, Action::Refuse(TARGET_FAILED)]
    crash_of_idempotent_is_requeued: true, [dispatched(1), end(1, Finish::Crashed, 0)]
        => [Action::Settle(id(1)), Action::RecordCrash, Action::Requeue]
    refusal_after_crash_is_unknown: true,
        [dispatched(1), end(1, Finish::Crashed, 0), Event::GiveUp(Reason::Quarantined)]
        => [Action::Refuse(Problem::unknown(502, Reason::Quarantined))]
    refusal_while_waiting_is_not_run: false, [Event::GiveUp(Reason::Draining)]
        => [Action::Refuse(Problem::not_run(503, Reason::Draining))]
    cut_after_head_aborts_response: true,
        [dispatched(1), Event::Head(id(1)), end(1, Finish::Cut, 0)]
        => [Action::Settle(id(1)), Action::RecordCrash, Action::Abort]
    reconnected_agent_is_queried: false, [dispatched(1), Event::Head(id(1)), Event::Disconnected(AGENT),
         Event::Reconnected(AGENT, BOOT)] => [Action::Query { dispatch: id(1), next: 1 }]
    reconnection_without_disconnect_event_queries: false, [dispatched(1), Event::Reconnected(AGENT, BOOT)]
        => [Action::Query { dispatch: id(1), next: 0 }]
    frames_before_state_report_are_ignored: false,
        [dispatched(1), Event::Reconnected(AGENT, BOOT), Event::Head(id(1))] => []
    frames_after_state_report_are_delivered: false,
        [dispatched(1), Event::Reconnected(AGENT, BOOT), Event::State(id(1), DispatchState::Running),
         Event::Head(id(1))] => [Action::Deliver]
    never_seen_is_requeued: false,
        [dispatched(1), Event::Reconnected(AGENT, BOOT), Event::State(id(1), DispatchState::NeverSeen)]
        => [Action::Close(id(1)), Action::Requeue]
    never_seen_after_head_aborts_response: true,
        [dispatched(1), Event::Head(id(1)), Event::Reconnected(AGENT, BOOT),
         Event::State(id(1), DispatchState::NeverSeen)] => [Action::Close(id(1)), Action::Abort]
    forgotten_is_refused_as_unknown: false,
        [dispatched(1), Event::Reconnected(AGENT, BOOT), Event::State(id(1), DispatchState::Forgotten)]
        => [Action::Settle(id(1)), Action::Refuse(OUTCOME_UNKNOWN)]
    restarted_agent_is_refused_as_unknown: false, [dispatched(1), Event::Disconnected(AGENT), Event::Reconnected(AGENT, BootId(31))]
        => [Action::Close(id(1)), Action::Refuse(OUTCOME_UNKNOWN)]
    restarted_agent_requeues_idempotent: true, [dispatched(1), Event::Reconnected(AGENT, BootId(31))]
        => [Action::Close(id(1)), Action::Requeue]
    event_of_another_agent_is_ignored: false, [dispatched(1), Event::Reconnected(AgentKey(4), BootId(31))] => []
    head_of_an_earlier_dispatch_is_ignored: true,
        [dispatched(1), Event::Reconnected(AGENT, BootId(31)), dispatched(2), Event::Head(id(1))] => []
    end_of_an_earlier_dispatch_is_ignored: true,
        [dispatched(1), Event::Reconnected(AGENT, BootId(31)), dispatched(2), end(1, Finish::Whole, 0)] => []
    caller_gone_cancels_idempotent: true, [dispatched(1), Event::CallerGone] => [Action::Cancel(id(1))]
    caller_gone_keeps_non_idempotent_running: false, [dispatched(1), Event::CallerGone] => []
    declined_after_caller_gone_is_not_requeued: false, [dispatched(1), Event::CallerGone, Event::Declined(id(1))]
        => [Action::Close(id(1))]
    dispatch_after_end_is_cancelled: false, [Event::CallerGone, dispatched(1)]
        => [Action::Cancel(id(1))]
}

#[test]
fn disconnected_agent_times_out() {
    let (mut attempt, _) = run(false, &[dispatched(1), Event::Disconnected(AGENT)]);
    assert_eq!(attempt.next_timer(), Some(DEFAULT_AGENT_TIMEOUT));
    assert!(
        attempt
            .handle(DEFAULT_AGENT_TIMEOUT - Micros(1), Event::Tick)
            .is_empty()
    );
    let actions = attempt.handle(DEFAULT_AGENT_TIMEOUT, Event::Tick);
    assert_eq!(
        actions.to_vec(),
        [Action::Close(id(1)), Action::Refuse(OUTCOME_UNKNOWN)]
    );
}

#[test]
fn missing_state_report_times_out() {
    let (mut attempt, _) = run(
        true,
        &[
            dispatched(1),
            Event::Disconnected(AGENT),
            Event::Reconnected(AGENT, BOOT),
        ],
    );
    let actions = attempt.handle(DEFAULT_AGENT_TIMEOUT, Event::Tick);
    assert_eq!(actions.to_vec(), [Action::Cancel(id(1)), Action::Requeue]);
}

#[test]
fn deadline_refusal_reports_whether_a_dispatch_was_sent() {
    let at = Micros::from_secs(60);
    for (events, execution) in [
        (&[][..], Execution::NotRun),
        (&[dispatched(1)][..], Execution::Unknown),
        (
            &[dispatched(1), Event::Declined(id(1))][..],
            Execution::NotRun,
        ),
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
        attempt.handle(T0, dispatched(seq));
        attempt.handle(T0, Event::Declined(id(seq)));
    }
    assert_eq!(attempt.outcome(), Some(Outcome::Refused(NO_CAPACITY)));
}
