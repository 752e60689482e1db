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

use smallvec::SmallVec;

use crate::gateway::prompts::{Prompt, mix};
use crate::gateway::restrictions;
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::targets::{Target, TargetKey, TargetTag, Targets};
use crate::units::Micros;

/// Replication cost at a prefix's preferred targets, in hash order, as a factor of the cost at any
/// other target. The first one is assumed to have the prefix cached; all gateways fall back to the
/// second one when the first is busy.
const PREFERRED_COST: [f64; 2] = [0.0, 0.5];
/// Cost to other requests of caching a shared prefix at one more target, as a multiple of its
/// prefill time: it takes compute time, and cache space from other prefixes.
const REPLICATION_COST: f64 = 3.0;
/// Time to the first event on an idle engine, without prefill.
const FIRST_EVENT_US: f64 = 40_000.0;
/// Time by which each concurrent request delays the first event.
const PER_ACTIVE_US: f64 = 300.0;
/// Cost of a target in another availability zone: round trip and traffic fees.
const CROSS_ZONE_US: f64 = 5_000.0;
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
    /// The evacuated zones, whose targets are excluded.
    pub evacuations: &'a Evacuations,
    /// Prefill rate of an engine, in tokens per millisecond.
    pub prefill_rate: f64,
    /// The route's objective for the time to the first event, or to another response.
    pub latency_objective: Micros,
    /// Whether to assume that shared prefixes are cached at their preferred target; `false` while
    /// the caches are still cold.
    pub assume_cached: bool,
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
}

/// Chooses the target with the lowest cost among those that have room within the limits that they
/// name; `None` if the service has none left to try.
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
    let usable = |key: TargetKey| {
        let target = targets.get(key)?;
        let is_allowed = restrictions::check(target, criteria.evacuations).is_none();
        let is_usable = is_allowed && !criteria.tried.contains(&key);
        (is_usable && is_eligible(target)).then_some((key, target))
    };
    let preferred = preferred_targets(keys.iter().filter_map(|&k| usable(k)), criteria.prompt);
    let mut best: Option<(f64, u64, Choice)> = None;
    let with_room = keys.iter().filter_map(|&k| usable(k));
    for (key, target) in with_room.filter(|(_, target)| target.limit.has_room()) {
        let rank = preferred.iter().position(|&(_, other)| other == key);
        let cost = match criteria.prompt {
            Some(prompt) => engine_cost(target, now, prompt, rank, criteria),
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
    let other_zone = if other_zone { CROSS_ZONE_US } else { 0.0 };
    let late = if late { LATE_US } else { 0.0 };
    other_zone + late
}

/// Returns the preferred targets of a prompt's shared prefix by rendezvous hashing, with their
/// hashes, highest first.
fn preferred_targets<'a>(
    targets: impl Iterator<Item = (TargetKey, &'a Target)>,
    prompt: Option<&Prompt>,
) -> SmallVec<[(u64, TargetKey); 4]> {
    let mut preferred: SmallVec<[(u64, TargetKey); 4]> = SmallVec::new();
    let Some(shared) = prompt
        .map(Prompt::prefix_hash)
        .filter(|&shared| shared != 0)
    else {
        return preferred;
    };
    for (key, target) in targets {
        let weight = mix(shared ^ tag_hash(target.tag));
        let at = preferred.partition_point(|&(other, _)| other > weight);
        if at < PREFERRED_COST.len() {
            preferred.insert(at, (weight, key));
            preferred.truncate(PREFERRED_COST.len());
        }
    }
    preferred
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
}

/// Returns the cost on an engine. `rank` is its index among the prefix's preferred targets; `None`
/// if it is not one of them.
fn engine_cost(
    target: &Target,
    now: Micros,
    prompt: &Prompt,
    rank: Option<usize>,
    criteria: &Criteria<'_>,
) -> Cost {
    let load = &target.load;
    let slowness = load.slowness_at(now);
    let own_tokens = prompt
        .parts
        .last()
        .map_or(prompt.tokens, |part| part.tokens);
    let cached = target.cache.cached_tokens(now, prompt);
    let prefill_tokens = prompt.tokens.saturating_sub(cached);
    let shared = match rank {
        Some(0) if criteria.assume_cached => 0,
        _ => prefill_tokens.saturating_sub(own_tokens),
    };
    let replication = rank.map_or(1.0, |rank| PREFERRED_COST[rank]) * REPLICATION_COST;
    let us = |tokens: f64| tokens / criteria.prefill_rate * 1_000.0;
    let queued = us(load.total_prefill());
    let concurrent = load.total_active() * PER_ACTIVE_US;
    let prefill = us((own_tokens.min(prefill_tokens) + shared) as f64);
    let wait = (queued + concurrent) * slowness;
    let time = wait + (prefill + FIRST_EVENT_US) * slowness;
    Cost {
        time,
        wait,
        total: time + us(shared as f64) * replication,
        prefill_tokens: own_tokens.min(prefill_tokens) + shared,
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
    }
}

/// Returns a uniformly distributed hash of a target's tag.
fn tag_hash(tag: TargetTag) -> u64 {
    mix(u64::from(tag.0))
}

#[cfg(test)]
mod tests;
