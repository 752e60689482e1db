use super::{COME_BACK, Missing};
use crate::units::Micros;

const BACK: Micros = Micros::from_secs(100);

/// An entry goes missing so long after an outage; whether it is waited for.
macro_rules! missing {
    ($($name:ident: $after:expr => $waits:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut missing = Missing::default();
            missing.outage_over(BACK);
            assert_eq!(missing.may_come_back(BACK + $after), $waits);
        }
    )*};
}

missing! {
    right_after_an_outage: Micros::ZERO => true;
    a_second_after_an_outage: Micros::from_secs(1) => true;
    long_after_an_outage: Micros::from_secs(3) => false;
}

#[test]
fn without_an_outage_a_missing_entry_is_gone() {
    assert!(!Missing::default().may_come_back(BACK));
}

#[test]
fn an_entry_that_does_not_come_back_is_gone_in_time() {
    let mut missing = Missing::default();
    missing.outage_over(BACK);
    missing.wait("one");
    missing.wait("two");
    missing.back("two");
    assert!(missing.due(BACK + Micros::from_secs(1)).is_empty());
    let due = missing.due(BACK + COME_BACK);
    assert_eq!(
        due.iter().map(AsRef::as_ref).collect::<Vec<&str>>(),
        ["one"]
    );
    assert!(missing.due(BACK + COME_BACK).is_empty());
}
