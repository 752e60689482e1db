//! Prompts split into parts, and the gateway's model of the prefix cache of each target.
//!
//! Targets cache the prompt parts that they have processed (prefilled). A cached part needs no
//! prefill if all parts before it are cached too. Least recently used parts are evicted first.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::units::Micros;

/// Maximum number of parts tracked per target.
const MAX_PARTS: usize = 4096;
/// A part that has not been used for this long is assumed to be evicted.
const PART_TTL: Micros = Micros::from_secs(30);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The parts of a prompt, in order; the last one belongs to this request only.
pub type Parts = SmallVec<[Part; 4]>;

/// Ids of parts.
pub type PartIds = SmallVec<[u64; 4]>;

/// Description of a request to a model inference engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub tokens: u64,
    /// Maximum number of tokens to generate.
    pub output: u64,
    /// Parts of the prompt.
    pub parts: Parts,
}

impl Prompt {
    /// Returns the cost in tokens: each prompt token counts once, each generated token twice.
    pub fn cost(&self) -> f64 {
        (self.tokens + 2 * self.output) as f64
    }

    /// Returns the number of tokens that no other request shares: those of the last part.
    pub fn own_tokens(&self) -> u64 {
        self.parts.last().map_or(self.tokens, |part| part.tokens)
    }

    /// Returns the number of tokens of the shared parts: all but the last.
    pub fn shared_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.own_tokens())
    }

    /// Returns the ids of the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> + Clone + '_ {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.id)
    }

    /// Returns a hash of the shared parts, which is equal for requests with the same shared parts;
    /// 0 if there are none.
    pub fn prefix_hash(&self) -> u64 {
        self.shared_parts().fold(0, |hash, id| mix(hash ^ id))
    }
}

/// The prompt parts that a target is assumed to have cached, with the time of their last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, Micros, rustc_hash::FxBuildHasher>,
}

impl PrefixCache {
    /// Returns how many tokens of a prompt are presumably cached and need no prefill.
    pub fn cached_tokens(&self, now: Micros, prompt: &Prompt) -> u64 {
        let is_cached = |part: &&Part| {
            let last_use = self.parts.get(&part.id);
            last_use.is_some_and(|&last_use| now.saturating_sub(last_use) < PART_TTL)
        };
        prompt
            .parts
            .iter()
            .take_while(is_cached)
            .map(|part| part.tokens)
            .sum()
    }

    /// Records that the target processes a prompt.
    pub fn insert(&mut self, now: Micros, prompt: &Prompt) {
        if self.parts.len() >= MAX_PARTS {
            self.parts
                .retain(|_, last_use| now.saturating_sub(*last_use) < Micros(PART_TTL.0 / 4));
        }
        if self.parts.len() < MAX_PARTS {
            self.parts.extend(prompt.parts.iter().map(|p| (p.id, now)));
        }
    }
}

/// Hashes a number with the finaliser of splitmix64.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests;
