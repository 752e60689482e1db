use super::{Change, Entry, Targets};

fn entry(port: u16) -> Entry {
    Entry {
        service: "model".into(),
        addr: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        started_at: Some(1),
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
            let held = key.and_then(|key| targets.get(key)).map(|target| target.entry.clone());
            assert_eq!(held, Some(next));
        }
    )*};
}

changes! {
    the_same_entry: |_| {} => Change::Same;
    it_leaves: |entry| entry.draining = true => Change::Left;
    more_slots: |entry| entry.slots = 9 => Change::Changed;
    it_starts_anew_under_its_id: |entry| entry.started_at = Some(2) => Change::New;
    it_has_another_address: |entry| entry.addr.set_port(2) => Change::New;
}

#[test]
fn a_target_that_starts_anew_is_believed_to_keep_nothing_and_old_keys_miss_it() {
    let mut targets = with_one();
    let old = targets.of_service("model")[0];
    targets.get_mut(old).expect("it is there").load.active = 3;
    let mut anew = entry(1);
    anew.started_at = Some(2);
    targets.put("one", anew);
    assert!(targets.get(old).is_none());
    let new = targets.of_service("model")[0];
    assert_eq!(targets.get(new).map(|target| target.load.active), Some(0));
}

#[test]
fn a_target_that_is_gone_leaves_no_trace() {
    let mut targets = with_one();
    assert_eq!(targets.remove("one"), Change::Left);
    assert_eq!(targets.remove("one"), Change::Same);
    assert!(targets.of_service("model").is_empty());
    assert!(targets.is_empty());
}
