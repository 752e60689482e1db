use super::*;

const ENTRY: BootId = BootId(7);

fn id(seq: u64) -> DispatchId {
    DispatchId { boot: ENTRY, seq }
}

fn of(boot: u64, seq: u64) -> DispatchId {
    DispatchId {
        boot: BootId(boot),
        seq,
    }
}

/// Names each case: what is done to a new ledger, and what must hold at the end.
macro_rules! cases {
    ($($name:ident: |$ledger:ident| $body:block)*) => {
        $(#[test]
        fn $name() {
            let mut $ledger = Ledger::new();
            $body
        })*
    };
}

cases! {
    begins_once: |ledger| {
        assert!(ledger.begin(id(1)));
        assert!(!ledger.begin(id(1)));
        assert_eq!(ledger.ask(id(1)), DispatchState::Running);
    }
    asked_before_begun_is_barred_for_good: |ledger| {
        assert_eq!(ledger.ask(id(1)), DispatchState::NeverSeen);
        assert!(!ledger.begin(id(1)));
        assert_eq!(ledger.ask(id(1)), DispatchState::NeverSeen);
    }
    done_then_forgotten: |ledger| {
        assert!(ledger.begin(id(1)));
        ledger.done(id(1));
        assert_eq!(ledger.ask(id(1)), DispatchState::Done);
        ledger.forget(id(1));
        assert_eq!(ledger.ask(id(1)), DispatchState::Forgotten);
        assert!(!ledger.begin(id(1)));
    }
    a_bar_is_not_turned_into_done: |ledger| {
        ledger.ask(id(1));
        ledger.done(id(1));
        assert_eq!(ledger.ask(id(1)), DispatchState::NeverSeen);
    }
    below_the_floor_nothing_begins: |ledger| {
        ledger.ask(id(9));
        ledger.settle(ENTRY, 9);
        assert!(!ledger.begin(id(8)));
        assert_eq!(ledger.ask(id(8)), DispatchState::Forgotten);
        assert_eq!(ledger.ask(id(9)), DispatchState::NeverSeen);
    }
    what_runs_outlives_the_floor: |ledger| {
        assert!(ledger.begin(id(1)));
        ledger.settle(ENTRY, 5);
        assert_eq!(ledger.ask(id(1)), DispatchState::Running);
        ledger.done(id(1));
        assert_eq!(ledger.records(), 0);
        assert_eq!(ledger.ask(id(1)), DispatchState::Forgotten);
    }
    records_of_one_entry_are_bounded: |ledger| {
        assert!(ledger.begin(id(1)));
        for seq in 2..10 * MAX_RECORDS as u64 {
            ledger.ask(id(seq));
        }
        assert!(ledger.records() <= MAX_RECORDS + 1);
        assert_eq!(ledger.ask(id(1)), DispatchState::Running);
        assert_eq!(ledger.ask(id(2)), DispatchState::Forgotten);
        assert!(!ledger.begin(id(2)));
    }
    a_dropped_entry_run_is_forgotten_not_unseen: |ledger| {
        assert!(ledger.begin(id(3)));
        ledger.done(id(3));
        for boot in 0..MAX_BOOTS as u64 {
            assert!(ledger.begin(of(1_000 + boot, 1)));
        }
        assert_eq!(ledger.boots(), MAX_BOOTS);
        for boot in 0..MAX_BOOTS as u64 {
            ledger.done(of(1_000 + boot, 1));
        }
        assert_eq!(ledger.ask(id(2)), DispatchState::Forgotten);
        assert_eq!(ledger.ask(id(3)), DispatchState::Forgotten);
        assert!(!ledger.begin(id(3)));
        assert!(ledger.begin(id(4)));
    }
    a_run_dropped_twice_over_is_forgotten_not_unseen: |ledger| {
        assert!(ledger.begin(id(3)));
        ledger.done(id(3));
        for boot in 0..(MAX_BOOTS + MAX_DROPPED + 1) as u64 {
            ledger.ask(of(1_000 + boot, 1));
        }
        assert_eq!(ledger.ask(id(3)), DispatchState::Forgotten);
        assert!(!ledger.begin(id(3)));
        assert!(ledger.begin(id(4)));
    }
    a_full_ledger_of_running_work_begins_nothing: |ledger| {
        for boot in 0..MAX_BOOTS as u64 {
            assert!(ledger.begin(of(1_000 + boot, 1)));
        }
        assert!(!ledger.begin(id(1)));
        assert_eq!(ledger.ask(id(1)), DispatchState::Forgotten);
        assert_eq!(ledger.ask(of(1_000, 1)), DispatchState::Running);
    }
}
