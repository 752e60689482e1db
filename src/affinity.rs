//! Which target served a client account's last request with the same prompt prefix.

use crate::ids::{AccountKey, AgentKey};

/// Prefixes that are remembered; a new one takes the place of an old one.
const PLACES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Place {
    account: AccountKey,
    prefix: u64,
    agent: AgentKey,
}

/// A direct-mapped memory of bounded size.
#[derive(Debug, Default)]
pub struct Affinity {
    places: Vec<Option<Place>>,
}

impl Affinity {
    /// Nothing remembered.
    pub fn new() -> Self {
        Self::default()
    }

    /// The agent serves a request with this prefix.
    pub fn record(&mut self, account: AccountKey, prefix: u64, agent: AgentKey) {
        if self.places.is_empty() {
            self.places = vec![None; PLACES];
        }
        self.places[place(account, prefix)] = Some(Place {
            account,
            prefix,
            agent,
        });
    }

    /// The agent that last served this prefix, if it is still remembered.
    pub fn agent(&self, account: AccountKey, prefix: u64) -> Option<AgentKey> {
        let held = (*self.places.get(place(account, prefix))?)?;
        (held.account == account && held.prefix == prefix).then_some(held.agent)
    }
}

fn place(account: AccountKey, prefix: u64) -> usize {
    /// An odd multiplier that spreads accounts over the places.
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (prefix ^ u64::from(account.0)).wrapping_mul(SPREAD);
    (mixed >> 32) as usize % PLACES
}
