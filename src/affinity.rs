//! Prefix affinity: remembers which agent was last assigned a request with a given prompt prefix,
//! so that later requests of the account with this prefix can go to the same agent's target.
//!
//! An agent is the process beside a target that runs the requests dispatched to it.

use crate::ids::{AccountKey, AgentKey};

/// Number of buckets of the cache.
const BUCKETS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    account: AccountKey,
    /// Hash of the prompt prefix.
    prefix: u64,
    agent: AgentKey,
}

/// Direct-mapped cache of fixed size from account and prefix hash to agent. A new record overwrites
/// the previous one in its bucket.
#[derive(Debug, Default)]
pub struct Affinity {
    buckets: Vec<Option<Bucket>>,
}

impl Affinity {
    /// Creates an empty cache. Its buckets are allocated by the first [`Affinity::record`].
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request of the account was assigned to the agent. `prefix` is the hash of the
    /// request's prompt prefix.
    pub fn record(&mut self, account: AccountKey, prefix: u64, agent: AgentKey) {
        if self.buckets.is_empty() {
            self.buckets = vec![None; BUCKETS];
        }
        self.buckets[bucket_index(account, prefix)] = Some(Bucket {
            account,
            prefix,
            agent,
        });
    }

    /// Looks up the agent that was last assigned a request with this prefix hash. Returns `None` if
    /// no such request was recorded or its record was overwritten.
    pub fn get(&self, account: AccountKey, prefix: u64) -> Option<AgentKey> {
        let bucket = (*self.buckets.get(bucket_index(account, prefix))?)?;
        (bucket.account == account && bucket.prefix == prefix).then_some(bucket.agent)
    }
}

fn bucket_index(account: AccountKey, prefix: u64) -> usize {
    /// Odd multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
    const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (prefix ^ u64::from(account.0)).wrapping_mul(HASH_MULTIPLIER);
    (mixed >> 32) as usize % BUCKETS
}
