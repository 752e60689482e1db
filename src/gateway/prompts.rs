//! Prompts in parts, and which parts a target is believed to keep.
//!
//! Targets keep the parts of prompts that they have read, and need not read them again as long as
//! all parts before them are kept as well. The least recently used parts make room for new ones.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::units::Micros;

/// Most parts that are remembered for a target.
const MAX_PARTS: usize = 4096;
/// A part that was not used for this long counts as gone.
const PART_LIFE: Micros = Micros::from_secs(30);

/// A part of a prompt: what was read, and its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Names its text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The parts of a prompt, in order; the last one is the request's own.
pub type Parts = SmallVec<[Part; 4]>;

/// The size of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: u64,
    /// Most tokens to generate.
    pub output: u64,
    /// What is read.
    pub parts: Parts,
}

impl Prompt {
    /// Its cost in tokens: each read counts once, each generated twice.
    pub fn cost(&self) -> f64 {
        (self.tokens + 2 * self.output) as f64
    }

    /// Names what requests with the same shared parts have in common; 0 without such parts.
    pub fn prefix_hash(&self) -> u64 {
        let own = self.parts.len().saturating_sub(1);
        self.parts[..own]
            .iter()
            .fold(0, |hash, part| mix(hash ^ part.id))
    }
}

/// The parts that a target is believed to keep.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, Micros, rustc_hash::FxBuildHasher>,
}

impl PrefixCache {
    /// Tokens of a prompt that the target need not read.
    pub fn cached_tokens(&self, now: Micros, prompt: &Prompt) -> u64 {
        let kept = |part: &&Part| {
            let used = self.parts.get(&part.id);
            used.is_some_and(|&used| now.saturating_sub(used) < PART_LIFE)
        };
        prompt
            .parts
            .iter()
            .take_while(kept)
            .map(|part| part.tokens)
            .sum()
    }

    /// The target reads a prompt now.
    pub fn insert(&mut self, now: Micros, prompt: &Prompt) {
        if self.parts.len() >= MAX_PARTS {
            self.parts
                .retain(|_, used| now.saturating_sub(*used) < Micros(PART_LIFE.0 / 4));
        }
        if self.parts.len() < MAX_PARTS {
            self.parts.extend(prompt.parts.iter().map(|p| (p.id, now)));
        }
    }
}

/// A well-spread function of a number (the finaliser of splitmix64).
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests;
