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

use crate::gateway::peers::member::ZoneTag;
use crate::gateway::targets::TargetKey;

/// Time until a transfer begins, in microseconds: the two targets connect and look up the prefix.
const SETUP_US: f64 = 10_000.0;
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
    /// The rate of a link with `bits_per_s` bits a second, at `token_bytes` bytes of cache for each
    /// token. `None` if one of them is not a positive, finite number.
    pub fn new(token_bytes: f64, bits_per_s: f64) -> Option<Self> {
        let tokens = bits_per_s / 8.0 / token_bytes / 1e6;
        (tokens.is_finite() && tokens > 0.0).then_some(TransferRate { tokens })
    }

    /// Expected time of a transfer, in microseconds. `queued` tokens are transferred before it.
    fn time_us(self, tokens: f64, queued: f64, crosses_zones: bool) -> f64 {
        let factor = if crosses_zones {
            CROSS_ZONE_FACTOR
        } else {
            1.0
        };
        SETUP_US + (tokens + queued) / self.tokens * factor
    }
}

/// A target that may have cached the prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferSource {
    /// Key of the target.
    pub key: TargetKey,
    /// Its availability zone.
    pub zone: ZoneTag,
    /// Probability that it has cached the prefix.
    pub cached: f64,
    /// Tokens that other targets fetch from it now.
    pub queued: u64,
}

/// The targets that may have cached the prefix of a prompt.
pub type Sources = SmallVec<[TransferSource; 4]>;

/// A transfer of a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Target to fetch from.
    pub source: TargetKey,
    /// Expected time, in microseconds, also if the source turns out to have nothing cached.
    pub time_us: f64,
    /// Probability that the source has nothing cached, so that the prefix has to be prefilled.
    pub missed: f64,
}

/// A prefix that a target has to fetch or prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Missing {
    /// Key of the target.
    pub target: TargetKey,
    /// Its availability zone.
    pub zone: ZoneTag,
    /// Length of the prefix, in tokens.
    pub tokens: f64,
    /// Time to prefill it, in microseconds.
    pub prefill_us: f64,
}

/// Chooses the source of a prefix; `None` if no transfer is expected to take much less time than
/// prefilling.
pub fn plan(rate: TransferRate, sources: &Sources, missing: &Missing) -> Option<Transfer> {
    let others = sources.iter().filter(|source| source.key != missing.target);
    let transfers = others.filter_map(|source| {
        let crosses_zones = source.zone != missing.zone;
        let time = rate.time_us(missing.tokens, source.queued as f64, crosses_zones);
        let is_quick = time <= missing.prefill_us * MAX_TRANSFER_SHARE;
        is_quick.then_some(Transfer {
            source: source.key,
            time_us: source.cached * time + (1.0 - source.cached) * SETUP_US,
            missed: 1.0 - source.cached,
        })
    });
    let total = |transfer: &Transfer| transfer.time_us + transfer.missed * missing.prefill_us;
    transfers
        .filter(|transfer| total(transfer) < missing.prefill_us)
        .min_by(|a, b| total(a).total_cmp(&total(b)))
}

#[cfg(test)]
mod tests;
