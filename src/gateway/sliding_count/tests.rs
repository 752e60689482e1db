use super::SlidingCount;
use crate::units::Micros;

macro_rules! sums {
    ($($name:ident: $events:expr, $now:expr => $sum:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut count = SlidingCount::<1_000>::default();
            let events: &[u64] = &$events;
            for &ms in events {
                count.add(Micros::from_ms(ms));
            }
            assert_eq!(count.sum(Micros::from_ms($now)), $sum);
        }
    )*};
}

sums! {
    nothing_has_happened: [], 500 => 0;
    all_events_are_in_the_window: [0, 10, 500, 999], 1_000 => 4;
    the_first_events_have_left: [0, 10, 500, 999], 1_100 => 2;
    all_events_have_left: [0, 10, 500, 999], 5_000 => 0;
}
