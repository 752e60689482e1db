//! From which target a target fetches the cached prefix of a prompt, and how long that takes.
//!
//! The load pattern: long shared prefixes whose preferred target has left, restarted or is busy, so
//! that requests for them go to a target that has not cached them. Prefilling such a prefix delays
//! all prompts behind it at that target for a fraction of a second; engines that can transfer cached
//! prompts need a few milliseconds for the same prefix.
//!
//! A gateway sees one request in many and keeps no list of what other targets have cached. Sources
//! are the targets to which the prefix is assigned, and those to which this gateway has sent it. A
//! source that has nothing cached costs only the set-up of the transfer.
//!
//! Performs no I/O.

use smallvec::SmallVec;

use crate::gateway::targets::TargetKey;
use crate::units::Micros;

/// Time until a transfer begins: the two targets connect and look up the prefix.
const SETUP: Micros = Micros::from_ms(10);
/// Factor by which a transfer between availability zones takes longer.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// Maximum part of the prefill time that a transfer may be expected to take. A slower one gains
/// little, and may wait behind transfers that this gateway does not know of.
const MAX_TRANSFER_SHARE: f64 = 0.5;

/// How fast a target fetches cached prompts from another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferRate {
    /// Tokens a microsecond, within an availability zone.
    tokens: f64,
}

impl TransferRate {
    /// The rate of a link with `link_bits` bits a second, at `token_bytes` bytes of cache for each
    /// token. `None` if one of them is not a positive, finite number.
    pub fn new(token_bytes: f64, link_bits: f64) -> Option<Self> {
        let tokens = link_bits / 8.0 / token_bytes / 1e6;
        (tokens.is_finite() && tokens > 0.0).then_some(TransferRate { tokens })
    }

    /// Expected time of a transfer, in microseconds. `queued` tokens are transferred before it.
    pub fn time(self, tokens: f64, queued: f64, crosses_zones: bool) -> f64 {
        let factor = if crosses_zones {
            CROSS_ZONE_FACTOR
        } else {
            1.0
        };
        SETUP.0 as f64 + (tokens + queued) / self.tokens * factor
    }
}

/// A target that may have cached the prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Source {
    /// Key of the target.
    pub key: TargetKey,
    /// Probability that it has cached the prefix.
    pub cached: f64,
    /// Tokens that other targets fetch from it now.
    pub queued: u64,
    /// Whether it is in this gateway's availability zone.
    pub is_local: bool,
}

/// The targets that may have cached the prefix of a prompt.
pub type Sources = SmallVec<[Source; 4]>;

/// A transfer of a prefix, and what it leaves to prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Target to fetch from.
    pub source: TargetKey,
    /// Expected time of the transfer, in microseconds.
    pub time: f64,
    /// Probability that nothing is fetched and the prefix has to be prefilled.
    pub missed: f64,
}

/// Chooses the source of a prefix of `tokens` tokens for a target, given by its key and whether it is
/// in this gateway's zone. `prefill` is the time that prefilling them takes, in microseconds. `None`
/// if no transfer is expected to take much less.
pub fn plan(
    rate: TransferRate,
    sources: &Sources,
    (target, is_local): (TargetKey, bool),
    tokens: f64,
    prefill: f64,
) -> Option<Transfer> {
    let others = sources.iter().filter(|source| source.key != target);
    let transfers = others.map(|source| Transfer {
        source: source.key,
        time: rate.time(tokens, source.queued as f64, source.is_local != is_local),
        missed: 1.0 - source.cached,
    });
    let worthwhile = transfers.filter(|transfer| transfer.time <= prefill * MAX_TRANSFER_SHARE);
    let total = |transfer: &Transfer| transfer.time + transfer.missed * prefill;
    worthwhile.min_by(|a, b| total(a).total_cmp(&total(b)))
}

#[cfg(test)]
mod tests;
