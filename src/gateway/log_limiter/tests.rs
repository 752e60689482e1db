use super::{BURST, LINES_PER_S, LogLimiter};
use crate::units::Micros;

/// Requests `rate` lines per second for `seconds`; returns how many were logged and how many were
/// reported as suppressed.
fn run(rate: u64, seconds: u64) -> (u64, u64) {
    let mut limiter = LogLimiter::default();
    let (mut logged, mut suppressed) = (0, 0);
    for line in 0..rate * seconds {
        let now = Micros::from_secs(60) + Micros(line * 1_000_000 / rate);
        if let Some(count) = limiter.try_log(now) {
            logged += 1;
            suppressed += count;
        }
    }
    (logged, suppressed)
}

#[test]
fn all_lines_are_logged_below_the_limit() {
    assert_eq!(run(LINES_PER_S / 2, 60), (LINES_PER_S / 2 * 60, 0));
}

#[test]
fn at_ten_times_the_limit_lines_are_limited_and_suppressed_ones_counted() {
    let (logged, suppressed) = run(LINES_PER_S * 10, 60);
    assert!(logged <= BURST + LINES_PER_S * 60 + 2, "{logged}");
    let wanted = LINES_PER_S * 10 * 60;
    assert!(
        logged + suppressed <= wanted && wanted - logged - suppressed <= 10,
        "{logged} {suppressed}"
    );
}

#[test]
fn a_new_process_has_its_whole_burst() {
    let mut limiter = LogLimiter::default();
    let logged = (0..2 * BURST)
        .filter_map(|_| limiter.try_log(Micros::ZERO))
        .count() as u64;
    assert!((BURST..=BURST + 1).contains(&logged), "{logged}");
}
