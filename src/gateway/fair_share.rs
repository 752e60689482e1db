//! Usage and max-min fair shares of client accounts.
//!
//! Protects accounts from one that multiplies its load within seconds: while targets are busy,
//! requests beyond an account's fair share are refused, so that others need not wait for them. An
//! account that requests less than an even share gets all of it; the remainder is divided evenly
//! among the others.
//!
//! Performs no I/O. Amounts are in tokens: each prompt token counts once, each generated token
//! twice.

use std::collections::{HashMap, VecDeque};

use rustc_hash::FxBuildHasher;

use crate::units::Micros;

/// Length of one bucket of the sliding window.
const BUCKET: Micros = Micros::from_ms(250);
/// Number of buckets in the sliding window over which shares are computed.
const BUCKETS: u64 = 12;
/// Length of the sliding window ([`BUCKETS`]) in seconds.
const WINDOW_S: f64 = 3.0;
/// Age at which the report of the usage at other gateways is dropped.
const REPORT_TTL: Micros = Micros::from_ms(1_500);
/// How long computed shares are cached.
const SHARES_TTL: Micros = Micros::from_ms(50);

/// What is admitted of an account that requests more than its share, as a factor of the share: above
/// 1, so that the share is used up although the requests are chosen at random.
const EXCESS_ADMITTED: f64 = 1.25;

/// Identifies a client account in all processes and in all versions of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountTag(pub u32);

impl AccountTag {
    /// Derives the tag from a client account's name.
    pub fn of(name: &str) -> Self {
        AccountTag(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// An account's usage in the sliding window, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Tokens of all requests.
    pub requested: f64,
    /// Tokens of the requests that were sent to a target.
    pub served: f64,
}

/// Whether an account has used up its fair share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareStatus {
    /// The account is below its fair share.
    #[default]
    BelowShare,
    /// The account has reached its fair share.
    ReachedShare,
}

impl ShareStatus {
    /// Returns the text that is written to the log field `standing`.
    pub const fn log_label(self) -> &'static str {
        match self {
            ShareStatus::BelowShare => "Owed",
            ShareStatus::ReachedShare => "Sated",
        }
    }
}

/// Usage by client account.
pub type UsageMap = HashMap<AccountTag, Usage, FxBuildHasher>;

/// The latest report of the usage at all other gateways.
#[derive(Debug)]
struct PeerReport {
    received: Micros,
    usage: UsageMap,
}

/// Usage of all client accounts, at this process and its peers, and their fair shares.
#[derive(Debug, Default)]
pub struct FairShare {
    buckets: VecDeque<(u64, UsageMap)>,
    local: UsageMap,
    others: Option<PeerReport>,
    total: UsageMap,
    /// Maximum amount that one account may get, as computed last.
    level: f64,
    computed: Option<Micros>,
}

impl FairShare {
    /// Records that an account requested `tokens`.
    pub fn record_request(&mut self, now: Micros, account: AccountTag, tokens: f64) {
        self.count(now, account, |usage| usage.requested += tokens);
    }

    /// Records that a request of `tokens` was sent to a target.
    pub fn record_sent(&mut self, now: Micros, account: AccountTag, tokens: f64) {
        self.count(now, account, |usage| usage.served += tokens);
    }

    /// Returns the usage by account at this process in the sliding window.
    pub fn local_usage(&mut self, now: Micros) -> impl Iterator<Item = (AccountTag, Usage)> + '_ {
        self.expire(now);
        self.local.iter().map(|(&account, &usage)| (account, usage))
    }

    /// Replaces the usage at all other gateways.
    pub fn set_peer_usage(&mut self, now: Micros, usage: UsageMap) {
        self.others = Some(PeerReport {
            received: now,
            usage,
        });
    }

    /// Returns whether an account has reached its fair share. `token_rate` is the capacity of all
    /// targets together, in tokens per second.
    ///
    /// Of an account that requests more than its share, only about as many requests as the share
    /// holds are below it, chosen by `random`, from 0 to 1. Otherwise all gateways would admit all of
    /// them at once whenever the share is not used up, before they hear of each other.
    pub fn status(
        &mut self,
        now: Micros,
        account: AccountTag,
        token_rate: f64,
        random: f64,
    ) -> ShareStatus {
        self.update_level(now, token_rate);
        let usage = self.total.get(&account).copied().unwrap_or_default();
        let admitted = EXCESS_ADMITTED * self.level / usage.requested.max(1.0);
        match usage.served >= self.level || random > admitted {
            true => ShareStatus::ReachedShare,
            false => ShareStatus::BelowShare,
        }
    }

    fn count(&mut self, now: Micros, account: AccountTag, add: impl Fn(&mut Usage)) {
        self.expire(now);
        let index = now.0 / BUCKET.0;
        if self.buckets.back().is_none_or(|(at, _)| *at != index) {
            self.buckets.push_back((index, UsageMap::default()));
        }
        let (_, usage) = self.buckets.back_mut().expect("a bucket was just pushed");
        add(usage.entry(account).or_default());
        add(self.local.entry(account).or_default());
        add(self.total.entry(account).or_default());
    }

    /// Drops the buckets that have left the window.
    fn expire(&mut self, now: Micros) {
        let index = now.0 / BUCKET.0;
        while self
            .buckets
            .front()
            .is_some_and(|(at, _)| at + BUCKETS <= index)
        {
            let Some((_, usage)) = self.buckets.pop_front() else {
                return;
            };
            for (account, old) in usage {
                let Some(local) = self.local.get_mut(&account) else {
                    continue;
                };
                local.requested -= old.requested;
                local.served -= old.served;
                if local.requested < 1.0 && local.served < 1.0 {
                    self.local.remove(&account);
                }
            }
        }
    }

    fn update_level(&mut self, now: Micros, token_rate: f64) {
        let fresh = self
            .computed
            .is_some_and(|at| now.saturating_sub(at) < SHARES_TTL);
        if fresh {
            return;
        }
        self.expire(now);
        let others = self.others.take();
        self.others = others.filter(|report| now.saturating_sub(report.received) < REPORT_TTL);
        self.total.clone_from(&self.local);
        for (&account, usage) in self.others.iter().flat_map(|report| &report.usage) {
            let total = self.total.entry(account).or_default();
            total.requested += usage.requested;
            total.served += usage.served;
        }
        let mut demands: Vec<f64> = self.total.values().map(|usage| usage.requested).collect();
        let served: f64 = self.total.values().map(|usage| usage.served).sum();
        // Prefix caches let targets serve more than `token_rate`; the excess is shared out alike.
        self.level = level(&mut demands, served.max(token_rate * WINDOW_S));
        self.computed = Some(now);
    }
}

/// Returns the largest amount that one account gets if `capacity` is divided among `demands` by
/// max-min fairness; infinite if all demands fit.
pub fn level(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut rest = capacity;
    for (index, &amount) in demands.iter().enumerate() {
        let even = rest / (demands.len() - index) as f64;
        if amount > even {
            return even;
        }
        rest -= amount;
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests;
