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
use crate::gateway::targets::{Target, TargetKey, Targets};
use crate::units::Micros;

/// The share of a shared part that counts as unread on its first targets by hash, while this
/// process has not itself sent the part there.
const UNREAD: [f64; 3] = [0.3, 0.6, 0.8];
/// What a request that runs beside another adds to its first event.
const BESIDE_US: f64 = 300.0;
/// What another zone adds: the way there and back, and the price of its bytes.
const OTHER_ZONE_US: f64 = 5_000.0;
/// What a plain call is taken to need of a slot.
const CALL_US: f64 = 30_000.0;
/// Slots of a plain target that names none.
const LEAST_SLOTS: u32 = 1;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Service that must run it.
    pub service: &'a str,
    /// Its prompt, if it goes to an engine.
    pub prompt: Option<&'a Prompt>,
    /// This process's availability zone.
    pub zone: &'a str,
    /// Targets that it was sent to before.
    pub tried: &'a [TargetKey],
    /// Prompt tokens that an engine reads in a millisecond.
    pub rate: f64,
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
    /// Prompt tokens that the target must read.
    pub unread: u64,
}

/// Chooses a target; `None` when none may take it.
pub fn choose(targets: &Targets, now: Micros, ask: &Ask<'_>) -> Option<Choice> {
    let keys = targets.of(ask.service);
    let open = pick(targets, keys, ask, now, |t| t.load.closed <= now);
    // Where all seem to fail, the first to be tried again is as good as any.
    open.or_else(|| pick(targets, keys, ask, now, |_| true))
}

fn pick(
    targets: &Targets,
    keys: &[TargetKey],
    ask: &Ask<'_>,
    now: Micros,
    fits: impl Fn(&Target) -> bool,
) -> Option<Choice> {
    let usable = |key: TargetKey| {
        let target = targets.get(key)?;
        let new = !target.entry.leaving && !ask.tried.contains(&key);
        (new && fits(target)).then_some((key, target))
    };
    let firsts = firsts(keys.iter().filter_map(|&k| usable(k)), ask.prompt);
    let mut best: Option<(f64, u64, Choice)> = None;
    for (key, target) in keys.iter().filter_map(|&k| usable(k)) {
        let rank = firsts.iter().position(|&(_, first)| first == key);
        let (time, unread) = match ask.prompt {
            Some(prompt) => engine_time(target, now, prompt, rank, ask.rate),
            None => (call_time(target), 0),
        };
        let away = target.entry.zone.as_ref() != ask.zone;
        let time = time + if away { OTHER_ZONE_US } else { 0.0 };
        let tie = mix(ask.random ^ spread(&target.id));
        let better = best.is_none_or(|(t, i, _)| (time, tie) < (t, i));
        if better {
            let choice = Choice {
                target: key,
                expected: Micros(time as u64),
                unread,
            };
            best = Some((time, tie, choice));
        }
    }
    best.map(|(_, _, choice)| choice)
}

/// The targets that a prompt's shared parts go to first, by rendezvous hashing.
fn firsts<'a>(
    targets: impl Iterator<Item = (TargetKey, &'a Target)>,
    prompt: Option<&Prompt>,
) -> SmallVec<[(u64, TargetKey); 4]> {
    let mut firsts: SmallVec<[(u64, TargetKey); 4]> = SmallVec::new();
    let Some(shared) = prompt.map(Prompt::shared).filter(|&shared| shared != 0) else {
        return firsts;
    };
    for (key, target) in targets {
        let weight = mix(shared ^ spread(&target.id));
        let at = firsts.partition_point(|&(other, _)| other > weight);
        if at < UNREAD.len() {
            firsts.insert(at, (weight, key));
            firsts.truncate(UNREAD.len());
        }
    }
    firsts
}

/// Expected time to the first event on an engine, and the tokens that it must read for it.
fn engine_time(
    target: &Target,
    now: Micros,
    prompt: &Prompt,
    rank: Option<usize>,
    rate: f64,
) -> (f64, u64) {
    let load = &target.load;
    let kept = target.kept.tokens(now, prompt);
    let unread = prompt.tokens.saturating_sub(kept);
    let own = prompt
        .parts
        .last()
        .map_or(prompt.tokens, |part| part.tokens);
    let shared = unread.saturating_sub(own);
    let share = rank.map_or(1.0, |rank| UNREAD[rank]);
    let read = shared as f64 * share + (unread - shared) as f64;
    let before = load.reading as f64 * load.crowd;
    let beside = f64::from(load.active) * load.crowd * BESIDE_US;
    let time = (read + before) / rate * 1_000.0 + beside;
    (time * load.slowness, unread)
}

/// Expected time to a plain call's answer.
fn call_time(target: &Target) -> f64 {
    let load = &target.load;
    let slots = f64::from(target.entry.slots.max(LEAST_SLOTS));
    let ahead = f64::from(load.active) * load.crowd;
    let rounds = 1.0 + (ahead / slots).powi(2).max(ahead + 1.0 - slots).max(0.0) / slots;
    CALL_US * rounds * load.slowness
}

/// A number that stands for a target's id.
fn spread(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

#[cfg(test)]
mod tests;
