//! Target selection.
//!
//! Model inference engines: many prompts share long prefixes, and each target can cache only some
//! of them. A request goes to the target with the shortest expected time to its first event;
//! prefill of a part that is not cached counts as the time that it takes. Rendezvous hashing gives
//! each shared prefix the same preferred targets at all gateways, so that a prefix that no gateway
//! has seen yet is prefilled only once. A prefix in high demand makes its target busy and spreads
//! to the next one once queueing takes longer than another prefill.
//!
//! Other services: requests go to the least loaded target, preferably in the gateway's zone.
//!
//! Performs no I/O and keeps no state.

mod prefixes;

use crate::gateway::prefix_transfer::{Missing, TransferRate};
use crate::gateway::prompts::{Prompt, mix};
use crate::gateway::regions::AllowedZones;
use crate::gateway::reservation::{ReservationContext, STEP_TOKENS};
use crate::gateway::restrictions;
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::selection::prefixes::PrefixPlacement;
use crate::gateway::targets::{Target, TargetKey, TargetTag, Targets};
use crate::gateway::versions::VersionRule;
use crate::units::Micros;

/// Cost to other requests of caching a shared prefix at one more target, as a multiple of the time
/// that prefilling or fetching it takes: it takes compute time, and cache space from other prefixes.
const REPLICATION_COST: f64 = 3.0;
/// Time to the first event on an idle engine, without prefill.
const FIRST_EVENT_US: f64 = 40_000.0;
/// Time by which each concurrent request delays the first event.
const PER_ACTIVE_US: f64 = 300.0;
/// Minimum prefill rate, in tokens per millisecond, that is assumed for a prefix that may not be cached.
/// A configured token rate that describes the demand gives a lower one, and prompts that an idle target
/// prefills in time would be refused.
const MIN_PREFIX_RATE: f64 = 20.0;
/// Cost of a target in another availability zone, without the bytes that cross: the round trip.
const CROSS_ZONE_US: f64 = 3_000.0;
/// Cost of a kilobyte that crosses between zones: traffic fees.
const CROSS_ZONE_US_PER_KB: f64 = 2_000.0;
/// Bytes of an answer for each token that an engine generates.
const TOKEN_BYTES: u64 = 16;
/// Bytes of an answer of a service without an engine.
const CALL_ANSWER_BYTES: u64 = 1_000;
/// Cost of missing the latency objective: any target that meets it is preferred, however much it
/// has to prefill.
const LATE_US: f64 = 10_000_000.0;
/// Assumed service time of a request to a service without an engine.
const CALL_US: f64 = 30_000.0;
/// Number of slots assumed for a target without an engine that reports none.
const MIN_SLOTS: u32 = 1;

/// The inputs for selecting the target of a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service whose targets are considered.
    pub service: &'a str,
    /// Prompt of a request to an engine; `None` for other services.
    pub prompt: Option<&'a Prompt>,
    /// Availability zone of this gateway.
    pub zone: &'a str,
    /// Targets of earlier attempts, which are excluded.
    pub tried: &'a [TargetKey],
    /// Which versions of the targets' software are considered.
    pub versions: VersionRule,
    /// The evacuated zones, whose targets are excluded.
    pub evacuations: &'a Evacuations,
    /// The zones that the request's region restrictions allow; targets elsewhere are excluded.
    pub allowed_zones: &'a AllowedZones,
    /// Prefill rate of an engine, in tokens per millisecond.
    pub prefill_rate: f64,
    /// How fast engines fetch cached prompts from each other; `None` if they cannot.
    pub transfer_rate: Option<TransferRate>,
    /// What decides on reservations.
    pub reservations: ReservationContext,
    /// The route's objective for the time to the first event, or to another response.
    pub latency_objective: Micros,
    /// Size of the request's body, in bytes.
    pub body_bytes: u64,
    /// Time at which requests began to fill the caches of targets that all started together; `None`
    /// if the targets have been in use for long.
    pub emptied: Option<Micros>,
    /// Random number that breaks ties.
    pub random: u64,
}

/// The target chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key of the target.
    pub target: TargetKey,
    /// Expected time from sending to the first event, or to another response.
    pub expected: Micros,
    /// Part of `expected` caused by other requests that are queued or running.
    pub wait: Micros,
    /// Prompt tokens that the target has to prefill.
    pub prefill_tokens: u64,
    /// The transfer of the prompt's prefix from another target; `None` if there is none.
    pub transfer: Option<PlannedTransfer>,
    /// For how long the request reserves room before it is sent; `None` if it does not.
    pub reservation: Option<Micros>,
}

/// A transfer of a prompt's cached prefix to the chosen target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedTransfer {
    /// Target to fetch from.
    pub source: TargetKey,
    /// Expected number of tokens: few if the chosen target has probably cached the prefix itself.
    pub tokens: u64,
}

/// Chooses the target with the lowest cost among those that may be sent requests and have room
/// within the limits that they name; `None` if the service has none left to try.
pub fn choose(targets: &Targets, now: Micros, criteria: &Criteria<'_>) -> Option<Choice> {
    let keys = targets.of_service(criteria.service);
    let available = cheapest(targets, keys, criteria, now, |t| t.load.paused_until <= now);
    // If all targets with room are paused after failures, choose among all of them.
    available.or_else(|| cheapest(targets, keys, criteria, now, |_| true))
}

fn cheapest(
    targets: &Targets,
    keys: &[TargetKey],
    criteria: &Criteria<'_>,
    now: Micros,
    is_eligible: impl Fn(&Target) -> bool,
) -> Option<Choice> {
    let is_usable = |key: TargetKey, target: &Target| {
        let is_allowed = restrictions::check(target, criteria.evacuations, now).is_none()
            && criteria.allowed_zones.contains(target.zone)
            && criteria.versions.allows(target.version);
        is_allowed && !criteria.tried.contains(&key) && is_eligible(target)
    };
    let prefix = PrefixPlacement::new(targets, now, criteria, is_usable);
    let mut best: Option<(f64, u64, Choice)> = None;
    let listed = keys
        .iter()
        .filter_map(|&key| Some((key, targets.get(key)?)));
    let usable = listed.filter(|&(key, target)| is_usable(key, target));
    for (key, target) in usable.filter(|(_, target)| target.has_room(now)) {
        let cost = match criteria.prompt {
            Some(prompt) => engine_cost((key, target), now, prompt, &prefix, criteria),
            None => call_cost(target, now),
        };
        let total = cost.total + penalty(target, &cost, criteria);
        let tie = mix(criteria.random ^ tag_hash(target.tag));
        if best.is_none_or(|(t, i, _)| (total, tie) < (t, i)) {
            let choice = Choice {
                target: key,
                expected: Micros(cost.time as u64),
                wait: Micros(cost.wait as u64),
                prefill_tokens: cost.prefill_tokens,
                transfer: cost.transfer,
                reservation: cost.reservation,
            };
            best = Some((total, tie, choice));
        }
    }
    best.map(|(_, _, choice)| choice)
}

/// Returns the penalties for missing the latency objective and for crossing zones.
fn penalty(target: &Target, cost: &Cost, criteria: &Criteria<'_>) -> f64 {
    let other_zone = target.entry.zone.as_ref() != criteria.zone;
    let late = cost.time > criteria.latency_objective.0 as f64;
    let other_zone = if other_zone {
        crossing_cost(criteria)
    } else {
        0.0
    };
    let late = if late { LATE_US } else { 0.0 };
    other_zone + late
}

/// Cost of sending a request to a target, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Expected time to the first event.
    time: f64,
    /// Part of `time` caused by other requests.
    wait: f64,
    /// `time` plus the cost to other requests.
    total: f64,
    /// Prompt tokens to prefill.
    prefill_tokens: u64,
    /// The transfer of the prefix.
    transfer: Option<PlannedTransfer>,
    /// For how long to reserve room.
    reservation: Option<Micros>,
}

/// Cost of sending a request and its answer to a target of another zone, in microseconds.
fn crossing_cost(criteria: &Criteria<'_>) -> f64 {
    let answer = criteria
        .prompt
        .map_or(CALL_ANSWER_BYTES, |prompt| prompt.output * TOKEN_BYTES);
    let bytes = criteria.body_bytes + answer;
    CROSS_ZONE_US + bytes as f64 / 1_000.0 * CROSS_ZONE_US_PER_KB
}

/// Cost of the part of a prompt's shared prefix that a target has not cached.
#[derive(Clone, Copy, Debug, Default)]
struct PrefixCost {
    /// Expected number of tokens to prefill.
    tokens: f64,
    /// Expected time of the transfer, in microseconds.
    fetching: f64,
    /// Cost of the copy to other requests, in microseconds.
    copying: f64,
    /// Planned transfer.
    transfer: Option<PlannedTransfer>,
}

/// Returns the cost of `tokens` tokens of the prefix that this gateway does not know to be cached. A
/// target to which the prefix is assigned has probably cached them; it fetches only what it has
/// evicted.
fn prefix_cost(
    (key, target): (TargetKey, &Target),
    tokens: f64,
    placement: &PrefixPlacement,
    criteria: &Criteria<'_>,
) -> PrefixCost {
    let share = placement.owners.share(key);
    let uncached = tokens * share.uncached;
    let prefill_us = |tokens: f64| tokens / criteria.prefill_rate.max(MIN_PREFIX_RATE) * 1_000.0;
    let missing = Missing {
        target: key,
        zone: target.zone,
        tokens,
        prefill_us: prefill_us(tokens),
    };
    let transfer = placement.transfer(&missing, criteria);
    let missed = transfer.map_or(1.0, |transfer| transfer.missed);
    PrefixCost {
        tokens: uncached * missed,
        fetching: transfer.map_or(0.0, |transfer| transfer.time_us * share.uncached),
        // A copy takes cache space from other prefixes however it is made.
        copying: uncached / criteria.prefill_rate * 1_000.0 * share.copy_cost * REPLICATION_COST,
        transfer: transfer.map(|transfer| PlannedTransfer {
            source: transfer.source,
            tokens: (uncached * (1.0 - missed)) as u64,
        }),
    }
}

/// Returns the cost on an engine.
fn engine_cost(
    (key, target): (TargetKey, &Target),
    now: Micros,
    prompt: &Prompt,
    placement: &PrefixPlacement,
    criteria: &Criteria<'_>,
) -> Cost {
    let load = &target.load;
    let slowness = load.slowness_at(now);
    let cached = target.cache.cached_tokens(now, prompt);
    let missing = prompt.tokens.saturating_sub(cached);
    let own = missing.min(prompt.own_tokens());
    let prefix = prefix_cost((key, target), (missing - own) as f64, placement, criteria);
    let us = |tokens: f64| tokens / criteria.prefill_rate * 1_000.0;
    let prefix_us = prefix.tokens / criteria.prefill_rate.max(MIN_PREFIX_RATE) * 1_000.0;
    let prefill = us(own as f64) + prefix_us;
    let reservation = criteria.reservations.ttl(Micros(prefill as u64));
    let reservation = reservation.filter(|_| target.takes_reservations(now));
    let ahead = match reservation {
        Some(_) => load.total_prefill().min(STEP_TOKENS as f64),
        None => load.total_prefill(),
    };
    let wait = (us(ahead) + load.total_active() * PER_ACTIVE_US) * slowness;
    let time = wait + (prefill + FIRST_EVENT_US) * slowness + prefix.fetching;
    Cost {
        time,
        wait,
        total: time + prefix.copying,
        prefill_tokens: own + prefix.tokens as u64,
        transfer: prefix.transfer,
        reservation,
    }
}

/// Returns the cost on a target without an engine.
fn call_cost(target: &Target, now: Micros) -> Cost {
    let load = &target.load;
    let slowness = load.slowness_at(now);
    let slots = f64::from(target.entry.slots.max(MIN_SLOTS));
    let ahead = load.total_active();
    let queue_length = (ahead / slots).powi(2).max(ahead + 1.0 - slots).max(0.0);
    let wait = CALL_US * queue_length / slots * slowness;
    let time = wait + CALL_US * slowness;
    Cost {
        time,
        wait,
        total: time,
        prefill_tokens: 0,
        transfer: None,
        reservation: None,
    }
}

/// Returns a uniformly distributed hash of a target's tag.
fn tag_hash(tag: TargetTag) -> u64 {
    mix(u64::from(tag.0))
}

#[cfg(test)]
mod tests;
