//! Overload control of the gateway's own processor.
//!
//! Load pattern: the load balancer spreads clients unevenly, so that a small gateway can get many
//! times the mean while the others are idle. A gateway that falls behind reads requests seconds
//! after they arrived and notices late that a client has left, for all its clients. It therefore
//! turns away part of the new requests as soon as it falls behind, which costs it little; their
//! retries reach other gateways. If that is not enough, it reports that it is not ready, so that the
//! load balancer sends new connections elsewhere, until it has recovered. Meanwhile it accepts no
//! more connections than it has time to turn away beside the requests that it has taken.
//!
//! Performs no I/O.

use std::time::Duration;

use crate::units::Micros;

/// Time between two samples of the lag.
pub const SAMPLE_INTERVAL: Micros = Micros::from_ms(100);
/// Lag up to which a gateway takes all requests.
const LAG_TARGET: Micros = Micros::from_ms(40);
/// Lag beyond which a gateway looks again before it acts on what it has read.
const NOTICEABLE_LAG: Micros = Micros::from_ms(20);
/// Lag beyond which a gateway takes nothing new: it would be late for whatever it takes.
const MAX_LAG: Micros = Micros::from_ms(250);
/// Increase of the shed fraction in one sample interval at twice the target.
const STEP_UP: f64 = 0.08;
/// Largest increase in one sample interval, as a multiple of [`STEP_UP`].
const MAX_STEPS: f64 = 4.0;
/// Factor of the shed fraction for each sample below the target.
const DECAY: f64 = 0.85;
/// Shed fraction that counts as none.
const LEAST_SHED: f64 = 0.01;
/// Maximum of the shed fraction. Some requests are taken to see whether the gateway has recovered.
const MAX_SHED: f64 = 0.97;
/// Shed fraction that is too much to go on with.
const SATURATED_SHED: f64 = 0.6;
/// Shed fraction at which a gateway has recovered.
const RECOVERED_SHED: f64 = 0.05;
/// How long there has to be too much to shed before a gateway rests.
const SATURATED_TIME: Micros = Micros::from_ms(800);
/// How long a gateway rests at least: the load balancer takes some seconds to move clients.
const MIN_REST: Micros = Micros::from_secs(5);
/// Maximum number of times that the rest doubles.
const MAX_DOUBLINGS: u32 = 2;
/// Time after a rest in which another one is longer, because the same clients have come back.
const RELAPSE_TIME: Micros = Micros::from_secs(10);
/// Processor time for accepting a connection and turning its request away.
const REFUSAL_COST: Duration = Duration::from_micros(60);
/// Least processor time that is assumed, in cores.
const MIN_CORES: f64 = 0.01;
/// Fraction of the processor time that may be spent on this.
const REFUSAL_SHARE: f64 = 0.3;
/// `Retry-After` of a shed request, before jitter: another gateway may take it at once.
const RETRY_AFTER: Duration = Duration::from_millis(60);
/// Maximum jitter added to `Retry-After`.
const RETRY_JITTER: Duration = Duration::from_millis(120);

/// How far a gateway is behind, and what part of the new requests it turns away.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    lag: Micros,
    shed: f64,
    /// Time for which there has been too much to shed.
    saturated: Micros,
    rest: Rest,
}

/// Whether a gateway rests, and how often it has relapsed.
#[derive(Clone, Copy, Debug, Default)]
struct Rest {
    active: bool,
    /// Remaining time of the present rest; after it, of the time in which another one is longer.
    remaining: Micros,
    relapses: u32,
}

impl Overload {
    /// Records how late a periodic task ran, one [`SAMPLE_INTERVAL`] after the last one.
    pub fn record_lag(&mut self, lag: Micros) {
        self.lag = lag;
        let elapsed = SAMPLE_INTERVAL + lag;
        if lag > LAG_TARGET {
            let intervals = elapsed.0 as f64 / SAMPLE_INTERVAL.0 as f64;
            let excess = lag.saturating_sub(LAG_TARGET).0 as f64 / LAG_TARGET.0 as f64;
            let step = STEP_UP * excess.min(MAX_STEPS) * intervals;
            self.shed = (self.shed + step).min(MAX_SHED);
        } else {
            self.shed *= DECAY;
            if self.shed < LEAST_SHED {
                self.shed = 0.0;
            }
        }
        self.saturated = match self.shed >= SATURATED_SHED {
            true => self.saturated + elapsed,
            false => Micros::ZERO,
        };
        let saturated = self.saturated >= SATURATED_TIME;
        let recovered = self.shed <= RECOVERED_SHED;
        self.rest.update(elapsed, saturated, recovered);
    }

    /// Whether to turn away a new request; `random` is from 0 to 1, and `alone` says that no other
    /// gateway can take it.
    pub fn sheds(&self, random: f64, alone: bool) -> bool {
        let is_too_far_behind = self.lag > MAX_LAG && !alone;
        is_too_far_behind || random < self.shed
    }

    /// Whether clients may have left, or targets changed, since the last look.
    pub fn is_behind(&self) -> bool {
        self.lag > NOTICEABLE_LAG
    }

    /// How long to wait before the next connection is accepted, on a host with this many cores;
    /// `None` unless there is too much to turn away.
    pub fn accept_pause(&self, cores: f64) -> Option<Duration> {
        let saturated = self.shed >= SATURATED_SHED;
        saturated.then(|| REFUSAL_COST.div_f64(REFUSAL_SHARE * cores.max(MIN_CORES)))
    }

    /// Whether new connections should go to other gateways.
    pub fn is_resting(&self) -> bool {
        self.rest.active
    }

    /// How late the periodic task ran last.
    pub fn lag(&self) -> Micros {
        self.lag
    }

    /// Fraction of the new requests that are turned away.
    pub fn shed(&self) -> f64 {
        self.shed
    }
}

impl Rest {
    fn update(&mut self, elapsed: Micros, saturated: bool, recovered: bool) {
        self.remaining = self.remaining.saturating_sub(elapsed);
        let over = self.remaining == Micros::ZERO;
        if self.active && over && recovered {
            self.active = false;
            self.remaining = RELAPSE_TIME;
        } else if !self.active && saturated {
            self.relapses = match over {
                true => 0,
                false => (self.relapses + 1).min(MAX_DOUBLINGS),
            };
            self.active = true;
            self.remaining = Micros(MIN_REST.0 << self.relapses);
        }
    }
}

/// Returns the `Retry-After` of a request that is turned away; `random` is from 0 to 1.
pub fn retry_after(random: f64) -> Duration {
    RETRY_AFTER + RETRY_JITTER.mul_f64(random)
}

#[cfg(test)]
mod tests;
