use super::*;

const ENTRY: BootId = BootId(7);

fn id(seq: u64) -> DispatchId {
    DispatchId { boot: ENTRY, seq }
}

fn id_from(boot: u64, seq: u64) -> DispatchId {
    DispatchId {
        boot: BootId(boot),
        seq,
    }
}

/// Defines one test per case, which runs its block on a new table.
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
    dispatch_begins_once: |table| {
        assert!(table.begin(id(1)));
        assert!(!table.begin(id(1)));
        assert_eq!(table.query(id(1)), DispatchState::Running);
    }
    queried_before_begin_is_blocked: |table| {
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
    blocked_cannot_become_done: |table| {
        table.query(id(1));
        table.mark_done(id(1));
        assert_eq!(table.query(id(1)), DispatchState::NeverSeen);
    }
    nothing_begins_below_the_floor: |table| {
        table.query(id(9));
        table.raise_floor(ENTRY, 9);
        assert!(!table.begin(id(8)));
        assert_eq!(table.query(id(8)), DispatchState::Forgotten);
        assert_eq!(table.query(id(9)), DispatchState::NeverSeen);
    }
    running_dispatch_is_kept_below_the_floor: |table| {
        assert!(table.begin(id(1)));
        table.raise_floor(ENTRY, 5);
        assert_eq!(table.query(id(1)), DispatchState::Running);
        table.mark_done(id(1));
        assert_eq!(table.records(), 0);
        assert_eq!(table.query(id(1)), DispatchState::Forgotten);
    }
    records_per_instance_are_bounded: |table| {
        assert!(table.begin(id(1)));
        for seq in 2..10 * MAX_RECORDS as u64 {
            table.query(id(seq));
        }
        assert!(table.records() <= MAX_RECORDS + 1);
        assert_eq!(table.query(id(1)), DispatchState::Running);
        assert_eq!(table.query(id(2)), DispatchState::Forgotten);
        assert!(!table.begin(id(2)));
    }
    evicted_instance_is_reported_as_forgotten: |table| {
        assert!(table.begin(id(3)));
        table.mark_done(id(3));
        for boot in 0..MAX_BOOTS as u64 {
            assert!(table.begin(id_from(1_000 + boot, 1)));
        }
        assert_eq!(table.boots(), MAX_BOOTS);
        for boot in 0..MAX_BOOTS as u64 {
            table.mark_done(id_from(1_000 + boot, 1));
        }
        assert_eq!(table.query(id(2)), DispatchState::Forgotten);
        assert_eq!(table.query(id(3)), DispatchState::Forgotten);
        assert!(!table.begin(id(3)));
        assert!(table.begin(id(4)));
    }
    instance_without_a_kept_floor_is_reported_as_forgotten: |table| {
        assert!(table.begin(id(3)));
        table.mark_done(id(3));
        for boot in 0..(MAX_BOOTS + MAX_EVICTED + 1) as u64 {
            table.query(id_from(1_000 + boot, 1));
        }
        assert_eq!(table.query(id(3)), DispatchState::Forgotten);
        assert!(!table.begin(id(3)));
        assert!(table.begin(id(4)));
    }
    full_table_with_running_dispatches_begins_nothing: |table| {
        for boot in 0..MAX_BOOTS as u64 {
            assert!(table.begin(id_from(1_000 + boot, 1)));
        }
        assert!(!table.begin(id(1)));
        assert_eq!(table.query(id(1)), DispatchState::Forgotten);
        assert_eq!(table.query(id_from(1_000, 1)), DispatchState::Running);
    }
}
