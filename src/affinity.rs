//! Prefix affinity: remembers which target last served a prompt prefix of a client account.

use crate::ids::{AccountKey, AgentKey};

/// Size of the table; a new prefix overwrites the one in its bucket.
const BUCKETS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    account: AccountKey,
    prefix: u64,
    agent: AgentKey,
}

/// Direct-mapped cache of fixed size from account and prefix to agent.
#[derive(Debug, Default)]
pub struct Affinity {
    buckets: Vec<Option<Bucket>>,
}

impl Affinity {
    /// Creates an empty cache. Its table is allocated by the first [`Affinity::record`].
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the agent serves a request with this prefix.
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

    /// The agent that last served this prefix, unless it has been overwritten.
    pub fn agent(&self, account: AccountKey, prefix: u64) -> Option<AgentKey> {
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
