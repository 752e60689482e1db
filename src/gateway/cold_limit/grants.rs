//! Time slots at a cold target, granted to the gateways one by one.
//!
//! Time is divided into slots, as many a second as the target takes requests. Rendezvous hashing grants
//! each slot to one of the known gateways. It may send in that slot or in the few that follow; then the
//! grant expires. So unused grants hardly accumulate, and the gateways agree without messages: one that
//! is cut off from the others still leaves them their slots. A gateway that does not know some of the
//! others takes at most the slots of those in addition.
//!
//! Slots are counted in wall-clock time. If clocks differ by more than a slot, the grants of the gateways
//! are random in relation to each other; the mean rate stays.
//!
//! Performs no I/O.

use std::collections::VecDeque;

use crate::gateway::prompts::mix;
use crate::units::Micros;

/// Time for which grants are planned ahead. Longer than the pause between two plans; a gateway that
/// does not plan again within it sends nothing to cold targets.
pub const HORIZON: Micros = Micros::from_ms(1_000);
/// Maximum number of slots a second. With a higher rate, several requests may be sent in a slot.
const MAX_SLOTS_PER_S: f64 = 50.0;
/// Number of slots after its own for which a grant holds. In a second, a target gets at most this number
/// of requests and two more besides the rate; a limit on cold targets allows half the rate and five.
/// Without it, gateways with little demand would lose most of their grants.
const EXTRA_SLOTS: u64 = 3;
/// Spreads the numbers of slots over all bits.
const SLOT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// What the grants of a gateway at a target depend on, besides the rate.
#[derive(Clone, Copy, Debug)]
pub struct GrantInput<'a> {
    /// Wall-clock time, since the Unix epoch.
    pub wall: Micros,
    /// Key of this gateway.
    pub me: u64,
    /// Keys of all other known gateways.
    pub others: &'a [u64],
    /// Hash of the target's id.
    pub target: u64,
    /// Whether this gateway has had time to hear of the others. One that knows only its seeds would
    /// take the slots of all the rest.
    pub knows_fleet: bool,
}

/// A slot granted to this gateway.
#[derive(Clone, Copy, Debug)]
struct Grant {
    start: Micros,
    end: Micros,
    /// Number of requests that may still be sent.
    left: u32,
}

/// The next grants of one gateway at one target.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    /// Oldest first.
    upcoming: VecDeque<Grant>,
    /// Number of the first slot that is not planned yet.
    next_slot: u64,
    /// Length of a slot.
    slot: Micros,
}

impl Grants {
    /// Plans the grants until [`HORIZON`], for `rate` requests a second.
    pub fn plan(&mut self, now: Micros, rate: f64, input: &GrantInput<'_>) {
        if !input.knows_fleet {
            self.upcoming.clear();
            return;
        }
        let permits = (rate / MAX_SLOTS_PER_S).ceil().max(1.0);
        let slot = Micros(((permits / rate * 1e6) as u64).max(1));
        let first = input.wall.0 / slot.0;
        let last = (input.wall + HORIZON).0 / slot.0;
        // The rate has changed, or the wall clock was set back.
        if self.slot != slot || self.next_slot > last + 1 {
            *self = Grants::default();
            self.slot = slot;
        }
        self.upcoming.retain(|grant| grant.end > now);
        for number in self.next_slot.max(first)..=last {
            if is_granted(number, input) {
                let local = |wall: u64| (now + Micros(wall)).saturating_sub(input.wall);
                self.upcoming.push_back(Grant {
                    start: local(number.saturating_mul(slot.0)),
                    end: local((number + 1 + EXTRA_SLOTS).saturating_mul(slot.0)),
                    left: permits as u32,
                });
            }
        }
        self.next_slot = last + 1;
    }

    /// Whether a request may be sent now.
    pub fn is_open(&self, now: Micros) -> bool {
        self.upcoming.iter().any(|grant| grant.is_open(now))
    }

    /// Takes the room for one request. Returns `false` if there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        let mut grants = self.upcoming.iter_mut();
        let Some(grant) = grants.find(|grant| grant.is_open(now)) else {
            return false;
        };
        grant.left -= 1;
        true
    }

    /// Time until the next grant; `None` if none is planned.
    pub fn time_to_next(&self, now: Micros) -> Option<Micros> {
        let next = self
            .upcoming
            .iter()
            .find(|grant| grant.left > 0 && now < grant.end);
        next.map(|grant| grant.start.saturating_sub(now))
    }
}

impl Grant {
    fn is_open(&self, now: Micros) -> bool {
        self.left > 0 && self.start <= now && now < self.end
    }
}

/// Whether a slot is granted to this gateway. The search ends at the first gateway with a higher weight,
/// so that few are looked at.
fn is_granted(number: u64, input: &GrantInput<'_>) -> bool {
    let slot = mix(input.target ^ number.wrapping_mul(SLOT_FACTOR));
    let weight = mix(input.me ^ slot);
    input.others.iter().all(|other| mix(other ^ slot) < weight)
}
