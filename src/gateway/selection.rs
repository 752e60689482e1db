//! Which target a request goes to.
//!
//! Answers two loads. On engines, prompts that share long parts, of which each target can keep only
//! some: a request goes where its first event is expected soonest, and reading a part again counts
//! as the time that it takes. Gateways that know nothing yet of a part agree on its first targets
//! by rendezvous hashing, so that it is read once. A part in great demand makes its target busy, and
//! spreads to the next as soon as waiting there takes longer than reading it elsewhere. On plain
//! services, calls go to the least loaded target, the own zone's first.
//!
//! Pure: takes what is believed of the targets, and owns nothing.

use smallvec::SmallVec;

use crate::gateway::prompts::{Prompt, mix};
use crate::gateway::targets::{Target, TargetKey, TargetTag, Targets};
use crate::units::Micros;

/// What reading a shared part costs the others at its first targets by hash, as a share of what it
/// costs elsewhere. The first one is taken to keep it; the second one is where all gateways send it
/// when the first is busy.
const FIRSTS: [f64; 2] = [0.0, 0.5];
/// What reading a shared part at one more target costs the others, in times of reading it: it takes
/// the target's time, and the room of other parts.
const SPREAD_COST: f64 = 3.0;
/// What a first event needs on an idle engine, beside reading.
const ENGINE_US: f64 = 40_000.0;
/// What a request that runs beside another adds to its first event.
const BESIDE_US: f64 = 300.0;
/// What another zone adds: the way there and back, and the price of its bytes.
const OTHER_ZONE_US: f64 = 5_000.0;
/// What it costs to be late: a target that can be in time goes first, whatever it must read again.
const LATE_US: f64 = 10_000_000.0;
/// What a plain call is taken to need of a slot.
const CALL_US: f64 = 30_000.0;
/// Slots of a plain target that names none.
const LEAST_SLOTS: u32 = 1;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that must run it.
    pub service: &'a str,
    /// Its prompt, if it goes to an engine.
    pub prompt: Option<&'a Prompt>,
    /// This process's availability zone.
    pub zone: &'a str,
    /// Targets that it was sent to before.
    pub tried: &'a [TargetKey],
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_rate: f64,
    /// Time to its first event that its operator aims at.
    pub latency_objective: Micros,
    /// Whether shared parts are taken to be kept by their first targets: not while these have
    /// hardly read any.
    pub assume_cached: bool,
    /// Breaks ties.
    pub random: u64,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Expected time to its first event or its answer's start.
    pub expected: Micros,
    /// The part of it that others before and beside the request cause.
    pub wait: Micros,
    /// Prompt tokens that the target must read.
    pub prefill_tokens: u64,
}

/// Chooses a target; `None` when none may take it.
pub fn choose(targets: &Targets, now: Micros, criteria: &Criteria<'_>) -> Option<Choice> {
    let keys = targets.of_service(criteria.service);
    let open = pick(targets, keys, criteria, now, |t| t.load.closed_until <= now);
    // Where all seem to fail, the first to be tried again is as good as any.
    open.or_else(|| pick(targets, keys, criteria, now, |_| true))
}

fn pick(
    targets: &Targets,
    keys: &[TargetKey],
    criteria: &Criteria<'_>,
    now: Micros,
    fits: impl Fn(&Target) -> bool,
) -> Option<Choice> {
    let usable = |key: TargetKey| {
        let target = targets.get(key)?;
        let new = !target.entry.draining && !criteria.tried.contains(&key);
        (new && fits(target)).then_some((key, target))
    };
    let firsts = firsts(keys.iter().filter_map(|&k| usable(k)), criteria.prompt);
    let mut best: Option<(f64, u64, Choice)> = None;
    for (key, target) in keys.iter().filter_map(|&k| usable(k)) {
        let rank = firsts.iter().position(|&(_, first)| first == key);
        let cost = match criteria.prompt {
            Some(prompt) => engine_cost(target, now, prompt, rank, criteria),
            None => call_cost(target, now),
        };
        let total = cost.total + extra(target, &cost, criteria);
        let tie = mix(criteria.random ^ spread(target.tag));
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

/// What being late, or in another zone, costs on top.
fn extra(target: &Target, cost: &Cost, criteria: &Criteria<'_>) -> f64 {
    let away = target.entry.zone.as_ref() != criteria.zone;
    let late = cost.time > criteria.latency_objective.0 as f64;
    let away = if away { OTHER_ZONE_US } else { 0.0 };
    let late = if late { LATE_US } else { 0.0 };
    away + late
}

/// The targets that a prompt's shared parts go to first, by rendezvous hashing.
fn firsts<'a>(
    targets: impl Iterator<Item = (TargetKey, &'a Target)>,
    prompt: Option<&Prompt>,
) -> SmallVec<[(u64, TargetKey); 4]> {
    let mut firsts: SmallVec<[(u64, TargetKey); 4]> = SmallVec::new();
    let Some(shared) = prompt
        .map(Prompt::prefix_hash)
        .filter(|&shared| shared != 0)
    else {
        return firsts;
    };
    for (key, target) in targets {
        let weight = mix(shared ^ spread(target.tag));
        let at = firsts.partition_point(|&(other, _)| other > weight);
        if at < FIRSTS.len() {
            firsts.insert(at, (weight, key));
            firsts.truncate(FIRSTS.len());
        }
    }
    firsts
}

/// What it costs to send a request to a target, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Expected time to the first event.
    time: f64,
    /// The part of it that others cause.
    wait: f64,
    /// The time, and what others lose.
    total: f64,
    /// Prompt tokens to read.
    prefill_tokens: u64,
}

/// The cost on an engine. `rank` is its place among the prompt's first targets.
fn engine_cost(
    target: &Target,
    now: Micros,
    prompt: &Prompt,
    rank: Option<usize>,
    criteria: &Criteria<'_>,
) -> Cost {
    let load = &target.load;
    let slowness = load.slowness_at(now);
    let own = prompt
        .parts
        .last()
        .map_or(prompt.tokens, |part| part.tokens);
    let cached = target.cache.cached_tokens(now, prompt);
    let prefill_tokens = prompt.tokens.saturating_sub(cached);
    let shared = match rank {
        Some(0) if criteria.assume_cached => 0,
        _ => prefill_tokens.saturating_sub(own),
    };
    let spread = rank.map_or(1.0, |rank| FIRSTS[rank]) * SPREAD_COST;
    let us = |tokens: f64| tokens / criteria.prefill_rate * 1_000.0;
    let before = us(load.total_prefill());
    let beside = load.total_active() * BESIDE_US;
    let read = us((own.min(prefill_tokens) + shared) as f64);
    let wait = (before + beside) * slowness;
    let time = wait + (read + ENGINE_US) * slowness;
    Cost {
        time,
        wait,
        total: time + us(shared as f64) * spread,
        prefill_tokens: own.min(prefill_tokens) + shared,
    }
}

/// The cost on a plain target.
fn call_cost(target: &Target, now: Micros) -> Cost {
    let load = &target.load;
    let slowness = load.slowness_at(now);
    let slots = f64::from(target.entry.slots.max(LEAST_SLOTS));
    let ahead = load.total_active();
    let filling = (ahead / slots).powi(2).max(ahead + 1.0 - slots).max(0.0);
    let wait = CALL_US * filling / slots * slowness;
    let time = wait + CALL_US * slowness;
    Cost {
        time,
        wait,
        total: time,
        prefill_tokens: 0,
    }
}

/// A well-spread number that stands for a target.
fn spread(tag: TargetTag) -> u64 {
    mix(u64::from(tag.0))
}

#[cfg(test)]
mod tests;
