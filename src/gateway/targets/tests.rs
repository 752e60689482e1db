use super::{Change, Entry, Targets};

fn entry(port: u16) -> Entry {
    Entry {
        service: "model".into(),
        addr: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        version: Some("v1".into()),
        started_at: Some(1),
        cold: None,
    }
}

fn with_one() -> Targets {
    let mut targets = Targets::default();
    assert_eq!(targets.put("one", entry(1)), Change::New);
    targets
}

macro_rules! changes {
    ($($name:ident: $change:expr => $done:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut targets = with_one();
            let mut next = entry(1);
            let change: fn(&mut Entry) = $change;
            change(&mut next);
            assert_eq!(targets.put("one", next.clone()), $done);
            let key = targets.of_service("model").first().copied();
            let found = key.and_then(|key| targets.get(key)).map(|target| target.entry.clone());
            assert_eq!(found, Some(next));
        }
    )*};
}

changes! {
    the_same_entry: |_| {} => Change::Same;
    it_drains: |entry| entry.draining = true => Change::Left;
    more_slots: |entry| entry.slots = 9 => Change::Changed;
    it_restarts_under_its_id: |entry| entry.started_at = Some(2) => Change::New;
    it_has_another_address: |entry| entry.addr.set_port(2) => Change::New;
}

#[test]
fn a_restarted_target_has_no_load_and_old_keys_do_not_find_it() {
    let mut targets = with_one();
    let old = targets.of_service("model")[0];
    targets.get_mut(old).expect("it is there").load.active = 3;
    let mut restarted = entry(1);
    restarted.started_at = Some(2);
    targets.put("one", restarted);
    assert!(targets.get(old).is_none());
    let new = targets.of_service("model")[0];
    assert_eq!(targets.get(new).map(|target| target.load.active), Some(0));
}

#[test]
fn a_removed_target_is_in_no_index() {
    let mut targets = with_one();
    assert_eq!(targets.remove("one"), Change::Left);
    assert_eq!(targets.remove("one"), Change::Same);
    assert!(targets.of_service("model").is_empty());
    assert!(targets.is_empty());
}
