use super::ReservationContext;
use crate::units::Micros;

const BUSY: ReservationContext = ReservationContext {
    max_ttl: Some(Micros::from_secs(2)),
    tightest_objective: Micros::from_ms(600),
    backlog: Micros::from_ms(70),
};

/// Guards against long prompts that pass short ones, and against a round trip that gains nothing:
/// whether a prompt reserves that takes this many milliseconds to prefill.
macro_rules! prompts {
    ($($name:ident: $prefill_ms:expr, $context:expr => $reserves:expr;)*) => {$(
        #[test]
        fn $name() {
            let ttl = $context.ttl(Micros::from_ms($prefill_ms));
            assert_eq!(ttl.is_some(), $reserves);
        }
    )*};
}

prompts! {
    a_short_prompt_at_busy_targets: 25, BUSY => true;
    a_prompt_that_takes_a_tenth_of_the_objective: 60, BUSY => true;
    a_longer_prompt: 61, BUSY => false;
    a_short_prompt_at_idle_targets: 25, ReservationContext { backlog: Micros::from_ms(3), ..BUSY } => false;
    targets_without_reservations: 25, ReservationContext { max_ttl: None, ..BUSY } => false;
    a_service_without_objective: 25, ReservationContext { tightest_objective: Micros::ZERO, ..BUSY } => false;
}

#[test]
fn room_is_not_reserved_for_longer_than_the_target_allows() {
    let context = ReservationContext {
        max_ttl: Some(Micros::from_ms(50)),
        ..BUSY
    };
    assert_eq!(context.ttl(Micros::ZERO), Some(Micros::from_ms(50)));
}
