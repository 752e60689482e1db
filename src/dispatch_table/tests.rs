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

/// Names each case: what is done to a new table, and what must hold at the end.
macro_rules! cases {
    ($($name:ident: |$table:ident| $body:block)*) => {
        $(#[test]
        fn $name() {
            let mut $table = DispatchTable::new();
            $body
        })*
    };
}

cases! {
    begins_once: |table| {
        assert!(table.begin(id(1)));
        assert!(!table.begin(id(1)));
        assert_eq!(table.query(id(1)), DispatchState::Running);
    }
    asked_before_begun_is_barred_for_good: |table| {
        assert_eq!(table.query(id(1)), DispatchState::NeverSeen);
        assert!(!table.begin(id(1)));
        assert_eq!(table.query(id(1)), DispatchState::NeverSeen);
    }
    done_then_forgotten: |table| {
        assert!(table.begin(id(1)));
        table.mark_done(id(1));
        assert_eq!(table.query(id(1)), DispatchState::Done);
        table.mark_forgotten(id(1));
        assert_eq!(table.query(id(1)), DispatchState::Forgotten);
        assert!(!table.begin(id(1)));
    }
    a_bar_is_not_turned_into_done: |table| {
        table.query(id(1));
        table.mark_done(id(1));
        assert_eq!(table.query(id(1)), DispatchState::NeverSeen);
    }
    below_the_floor_nothing_begins: |table| {
        table.query(id(9));
        table.raise_floor(ENTRY, 9);
        assert!(!table.begin(id(8)));
        assert_eq!(table.query(id(8)), DispatchState::Forgotten);
        assert_eq!(table.query(id(9)), DispatchState::NeverSeen);
    }
    what_runs_outlives_the_floor: |table| {
        assert!(table.begin(id(1)));
        table.raise_floor(ENTRY, 5);
        assert_eq!(table.query(id(1)), DispatchState::Running);
        table.mark_done(id(1));
        assert_eq!(table.records(), 0);
        assert_eq!(table.query(id(1)), DispatchState::Forgotten);
    }
    records_of_one_entry_are_bounded: |table| {
        assert!(table.begin(id(1)));
        for seq in 2..10 * MAX_RECORDS as u64 {
            table.query(id(seq));
        }
        assert!(table.records() <= MAX_RECORDS + 1);
        assert_eq!(table.query(id(1)), DispatchState::Running);
        assert_eq!(table.query(id(2)), DispatchState::Forgotten);
        assert!(!table.begin(id(2)));
    }
    a_dropped_entry_run_is_forgotten_not_unseen: |table| {
        assert!(table.begin(id(3)));
        table.mark_done(id(3));
        for boot in 0..MAX_BOOTS as u64 {
            assert!(table.begin(of(1_000 + boot, 1)));
        }
        assert_eq!(table.boots(), MAX_BOOTS);
        for boot in 0..MAX_BOOTS as u64 {
            table.mark_done(of(1_000 + boot, 1));
        }
        assert_eq!(table.query(id(2)), DispatchState::Forgotten);
        assert_eq!(table.query(id(3)), DispatchState::Forgotten);
        assert!(!table.begin(id(3)));
        assert!(table.begin(id(4)));
    }
    a_run_dropped_twice_over_is_forgotten_not_unseen: |table| {
        assert!(table.begin(id(3)));
        table.mark_done(id(3));
        for boot in 0..(MAX_BOOTS + MAX_DROPPED + 1) as u64 {
            table.query(of(1_000 + boot, 1));
        }
        assert_eq!(table.query(id(3)), DispatchState::Forgotten);
        assert!(!table.begin(id(3)));
        assert!(table.begin(id(4)));
    }
    a_full_ledger_of_running_work_begins_nothing: |table| {
        for boot in 0..MAX_BOOTS as u64 {
            assert!(table.begin(of(1_000 + boot, 1)));
        }
        assert!(!table.begin(id(1)));
        assert_eq!(table.query(id(1)), DispatchState::Forgotten);
        assert_eq!(table.query(of(1_000, 1)), DispatchState::Running);
    }
}
