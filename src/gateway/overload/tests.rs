use super::{LAG_TARGET, MAX_SHED, Overload};
use crate::units::Micros;

/// Step of the simulation and least time between two samples, in milliseconds.
const SAMPLE_MS: f64 = 100.0;

/// A gateway whose processor has a queue of work, in milliseconds of its time.
#[derive(Default)]
struct Processor {
    overload: Overload,
    queued_ms: f64,
    served: f64,
    turned_away: f64,
    now_ms: f64,
    /// Time at which the next sample is due, and the time at which it is taken, which is later if
    /// work is queued before it.
    due_ms: f64,
    taken_ms: f64,
}

impl Processor {
    /// Plays a tenth of a second, in which requests that need `demand` times that time
    /// arrive. Turning a request away costs a tenth of serving it.
    fn play(&mut self, demand: f64) {
        let shed = self.overload.shed();
        self.queued_ms += SAMPLE_MS * demand * (1.0 - shed + 0.1 * shed);
        self.queued_ms = (self.queued_ms - SAMPLE_MS).max(0.0);
        self.served += demand * (1.0 - shed);
        self.turned_away += demand * shed;
        self.now_ms += SAMPLE_MS;
        if self.now_ms >= self.taken_ms {
            let lag_ms = self.taken_ms - self.due_ms;
            self.overload.record_lag(Micros((lag_ms * 1e3) as u64));
            self.due_ms = self.now_ms + SAMPLE_MS;
            self.taken_ms = self.due_ms + self.queued_ms;
        }
    }
}

#[test]
fn a_gateway_with_enough_time_turns_nobody_away() {
    let mut processor = Processor::default();
    for _ in 0..100 {
        processor.play(0.9);
    }
    assert_eq!(processor.turned_away, 0.0);
}

/// Three times as many requests as the gateway can serve, for ten seconds.
#[test]
fn a_gateway_that_gets_three_times_its_share_stays_responsive() {
    let mut processor = Processor::default();
    let mut worst_ms: f64 = 0.0;
    for sample in 0..100 {
        processor.play(3.0);
        if sample > 20 {
            worst_ms = worst_ms.max(processor.queued_ms);
        }
    }
    assert!(worst_ms < 500.0, "it is {worst_ms} ms behind");
    assert!(processor.served > 60.0, "it serves {}", processor.served);
}

#[test]
fn without_control_the_same_load_leaves_it_seconds_behind() {
    let mut processor = Processor::default();
    for _ in 0..100 {
        processor.overload = Overload::default();
        processor.play(3.0);
    }
    assert!(processor.queued_ms > 5_000.0);
}

#[test]
fn it_takes_all_requests_again_after_the_load() {
    let mut processor = Processor::default();
    for _ in 0..50 {
        processor.play(3.0);
    }
    for _ in 0..100 {
        processor.play(0.2);
    }
    assert_eq!(processor.overload.shed(), 0.0);
    assert!(!processor.overload.is_behind());
}

#[test]
fn some_requests_are_always_taken() {
    let mut overload = Overload::default();
    for _ in 0..100 {
        overload.record_lag(Micros::from_secs(9));
    }
    assert_eq!(overload.shed(), MAX_SHED);
    assert!(!overload.sheds(MAX_SHED, true));
    assert!(overload.sheds(0.5, true));
}

#[test]
fn a_gateway_far_behind_takes_nothing_unless_it_is_alone() {
    let mut overload = Overload::default();
    overload.record_lag(Micros::from_ms(400));
    assert!(overload.sheds(0.999, false));
    assert!(!overload.sheds(0.999, true));
}

/// The same clients come back as soon as the gateway is ready again.
#[test]
fn a_gateway_that_relapses_rests_longer() {
    let mut processor = Processor::default();
    let mut rests = Vec::new();
    for _ in 0..3 {
        assert!(rests_within(&mut processor, 5.0, 50));
        let mut rest = 0;
        while processor.overload.is_resting() {
            processor.play(0.1);
            rest += 1;
        }
        rests.push(rest);
    }
    assert!(rests[1] > rests[0] && rests[2] > rests[1], "{rests:?}");
}

#[test]
fn the_target_itself_is_no_overload() {
    let mut overload = Overload::default();
    overload.record_lag(LAG_TARGET);
    assert!(!overload.sheds(0.0, false));
}

/// Plays a load until the gateway rests or `samples` have passed.
fn rests_within(processor: &mut Processor, demand: f64, samples: usize) -> bool {
    (0..samples).any(|_| {
        processor.play(demand);
        processor.overload.is_resting()
    })
}

#[test]
fn a_gateway_rests_while_turning_away_is_not_enough_and_returns_afterwards() {
    let mut processor = Processor::default();
    assert!(rests_within(&mut processor, 5.0, 50));
    // The load balancer has moved the clients.
    for _ in 0..150 {
        processor.play(0.1);
    }
    assert!(!processor.overload.is_resting());
}

#[test]
fn a_short_burst_is_no_reason_to_rest() {
    let mut processor = Processor::default();
    assert!(!rests_within(&mut processor, 2.0, 2));
    assert!(!rests_within(&mut processor, 0.1, 100));
}

/// A host with a tenth of a core: the connections that it accepts leave it most of its time.
#[test]
fn connections_are_accepted_slowly_only_while_there_is_too_much_to_turn_away() {
    let mut overload = Overload::default();
    assert_eq!(overload.accept_pause(0.1), None);
    for _ in 0..20 {
        overload.record_lag(Micros::from_ms(500));
    }
    let pause = overload.accept_pause(0.1).expect("it is overloaded");
    let busy = super::REFUSAL_COST.as_secs_f64() / pause.as_secs_f64();
    assert!(
        busy <= 0.1 * super::REFUSAL_SHARE + 1e-6,
        "{busy} of a core"
    );
    for _ in 0..20 {
        overload.record_lag(Micros::ZERO);
    }
    assert_eq!(overload.accept_pause(0.1), None);
}
