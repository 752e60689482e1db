//! Turns of the gateways at a cold target.
//!
//! Time is divided into slots, as many a second as the target takes requests. The gateway that
//! rendezvous hashing gives a slot, among all gateways that are known, may send in it or in the few
//! that follow; then the turn is lost. So next to nothing adds up, and the gateways need no message
//! to agree: one that hears nobody still leaves the others their slots. A gateway that does not know
//! some of the others takes at most the slots that are theirs in addition.
//!
//! Slots are counted in wall-clock time. Clocks that differ by more than a slot make the turns of
//! the gateways random in relation to each other; the mean rate stays.
//!
//! Performs no I/O.

use std::collections::VecDeque;

use crate::gateway::prompts::mix;
use crate::units::Micros;

/// Time for which turns are planned ahead. Longer than a pause between two plans; a gateway that
/// does not get to plan for so long sends nothing to cold targets.
pub const HORIZON: Micros = Micros::from_ms(1_000);
/// Maximum number of slots a second. With a higher rate, several requests may be sent in a slot.
const MAX_SLOTS_PER_S: f64 = 50.0;
/// Number of slots after its own for which a gateway keeps a turn. In a second, a target gets at most
/// this number of requests and two more besides the rate; a limit on cold targets allows half the
/// rate and five. Without it, gateways with little demand would lose most of their turns.
const KEPT_SLOTS: u64 = 3;
/// Spreads the numbers of slots over all bits.
const SLOT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// What the turns of a gateway at a target depend on, besides the rate.
#[derive(Clone, Copy, Debug)]
pub struct TurnsInput<'a> {
    /// Wall-clock time, since the Unix epoch.
    pub wall: Micros,
    /// Key of this gateway.
    pub me: u64,
    /// Keys of all other known gateways.
    pub others: &'a [u64],
    /// Hash of the target's id.
    pub target: u64,
    /// Whether this gateway has had time to hear of the others. One that knows only its seeds would
    /// take the turns of all the rest.
    pub knows_fleet: bool,
}

/// A slot of this gateway.
#[derive(Clone, Copy, Debug)]
struct Turn {
    start: Micros,
    end: Micros,
    /// Number of requests that may still be sent in it.
    left: u32,
}

/// The next turns of one gateway at one target.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// Oldest first.
    upcoming: VecDeque<Turn>,
    /// Number of the first slot that is not planned yet.
    next: u64,
    slot: Micros,
}

impl Turns {
    /// Plans the turns of the time to come, for `rate` requests a second.
    pub fn plan(&mut self, now: Micros, rate: f64, input: &TurnsInput<'_>) {
        if !input.knows_fleet {
            self.upcoming.clear();
            return;
        }
        let permits = (rate / MAX_SLOTS_PER_S).ceil().max(1.0);
        let slot = Micros(((permits / rate * 1e6) as u64).max(1));
        let first = input.wall.0 / slot.0;
        let last = (input.wall + HORIZON).0 / slot.0;
        // The rate has changed, or the wall clock was set back.
        if self.slot != slot || self.next > last + 1 {
            *self = Turns::default();
            self.slot = slot;
        }
        self.upcoming.retain(|turn| turn.end > now);
        for number in self.next.max(first)..=last {
            if owns(number, input) {
                let local = |wall: u64| (now + Micros(wall)).saturating_sub(input.wall);
                self.upcoming.push_back(Turn {
                    start: local(number.saturating_mul(slot.0)),
                    end: local((number + 1 + KEPT_SLOTS).saturating_mul(slot.0)),
                    left: permits as u32,
                });
            }
        }
        self.next = last + 1;
    }

    /// Whether a request may be sent now.
    pub fn is_open(&self, now: Micros) -> bool {
        self.upcoming.iter().any(|turn| turn.is_open(now))
    }

    /// Takes the room for one request; returns `false` if there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        let Some(turn) = self.upcoming.iter_mut().find(|turn| turn.is_open(now)) else {
            return false;
        };
        turn.left -= 1;
        true
    }

    /// Time until the next turn; `None` if none is planned.
    pub fn time_to_next(&self, now: Micros) -> Option<Micros> {
        let next = self
            .upcoming
            .iter()
            .find(|turn| turn.left > 0 && now < turn.end);
        next.map(|turn| turn.start.saturating_sub(now))
    }
}

impl Turn {
    fn is_open(&self, now: Micros) -> bool {
        self.left > 0 && self.start <= now && now < self.end
    }
}

/// Whether a slot belongs to this gateway. The first gateway with a higher weight decides, so that
/// few of the others are looked at.
fn owns(number: u64, input: &TurnsInput<'_>) -> bool {
    let slot = mix(input.target ^ number.wrapping_mul(SLOT_FACTOR));
    let weight = mix(input.me ^ slot);
    input.others.iter().all(|other| mix(other ^ slot) < weight)
}
