use super::{MissingEntries, OUTAGE_GRACE};
use crate::units::Micros;

const OUTAGE_END: Micros = Micros::from_secs(100);

/// Whether an entry that goes missing this long after an outage is kept.
macro_rules! missing {
    ($($name:ident: $after:expr => $kept:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut missing = MissingEntries::default();
            missing.outage_ended(OUTAGE_END);
            assert_eq!(missing.in_grace_period(OUTAGE_END + $after), $kept);
        }
    )*};
}

missing! {
    right_after_an_outage: Micros::ZERO => true;
    a_second_after_an_outage: Micros::from_secs(1) => true;
    long_after_an_outage: Micros::from_secs(3) => false;
}

#[test]
fn without_an_outage_a_missing_entry_is_not_kept() {
    assert!(!MissingEntries::default().in_grace_period(OUTAGE_END));
}

#[test]
fn a_missing_entry_expires_at_the_end_of_the_grace_period() {
    let mut missing = MissingEntries::default();
    missing.outage_ended(OUTAGE_END);
    missing.add("one");
    missing.add("two");
    missing.forget("two");
    assert!(
        missing
            .take_expired(OUTAGE_END + Micros::from_secs(1))
            .is_empty()
    );
    let expired = missing.take_expired(OUTAGE_END + OUTAGE_GRACE);
    assert_eq!(
        expired.iter().map(AsRef::as_ref).collect::<Vec<&str>>(),
        ["one"]
    );
    assert!(missing.take_expired(OUTAGE_END + OUTAGE_GRACE).is_empty());
}
