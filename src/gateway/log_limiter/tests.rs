use super::{BURST, LINES_PER_S, LogLimiter};
use crate::units::Micros;

/// Lines that go out, and lines told as left out, when `rate` a second are wanted for `seconds`.
fn run(rate: u64, seconds: u64) -> (u64, u64) {
    let mut limiter = LogLimiter::default();
    let (mut out, mut told) = (0, 0);
    for line in 0..rate * seconds {
        let now = Micros::from_secs(60) + Micros(line * 1_000_000 / rate);
        if let Some(left) = limiter.try_log(now) {
            out += 1;
            told += left;
        }
    }
    (out, told)
}

#[test]
fn all_lines_go_out_while_there_are_few() {
    assert_eq!(run(LINES_PER_S / 2, 60), (LINES_PER_S / 2 * 60, 0));
}

#[test]
fn volume_is_bounded_at_ten_times_the_load_and_what_is_left_out_is_told() {
    let (out, told) = run(LINES_PER_S * 10, 60);
    assert!(out <= BURST + LINES_PER_S * 60 + 2, "{out}");
    let wanted = LINES_PER_S * 10 * 60;
    assert!(
        out + told <= wanted && wanted - out - told <= 10,
        "{out} {told}"
    );
}

#[test]
fn a_process_that_has_just_started_has_its_whole_burst() {
    let mut limiter = LogLimiter::default();
    let out = (0..2 * BURST)
        .filter_map(|_| limiter.try_log(Micros::ZERO))
        .count() as u64;
    assert!((BURST..=BURST + 1).contains(&out), "{out}");
}
