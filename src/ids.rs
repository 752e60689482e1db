//! Identifiers: small `Copy` keys into arenas, and ids that travel between processes.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! key {
    ($(#[$doc:meta])* $name:ident, $int:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// The key as an index into its arena.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl From<usize> for $name {
            fn from(index: usize) -> Self {
                $name(<$int>::try_from(index).expect("arena index fits its key"))
            }
        }
    };
}

key!(
    /// A client account, as an index into the process's [`crate::rules::Table`].
    AccountKey,
    u32
);
key!(
    /// A service, as an index into the process's [`crate::rules::Table`].
    ServiceKey,
    u16
);
key!(
    /// An agent that an entry knows.
    AgentKey,
    u32
);
key!(
    /// An entry that an agent knows.
    EntryKey,
    u32
);
key!(
    /// A request that an entry holds.
    JobKey,
    u32
);

/// Tells one run of a process from the next at the same address. Random, made at start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootId(pub u64);

impl BootId {
    /// A new random id.
    pub fn random() -> Self {
        BootId(rand::random())
    }
}

impl fmt::Display for BootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One caller's request. Travels in `x-request-id` as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl RequestId {
    /// A new random id.
    pub fn random() -> Self {
        RequestId(rand::random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for RequestId {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(RequestId)
    }
}

/// One sending of a request to one agent. `seq` only grows within an entry's `boot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DispatchId {
    /// The run of the entry that sent it.
    pub boot: BootId,
    /// Its number within that run, from 1.
    pub seq: u64,
}

impl fmt::Display for DispatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.boot, self.seq)
    }
}

/// An agent's offer of one free slot. Grows within the agent's boot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OfferId(pub u64);
