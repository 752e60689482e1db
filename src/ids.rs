//! Identifiers: small `Copy` keys into arenas, and ids that are sent between processes.

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
    /// Index of a client account in the process's [`crate::rules::Table`].
    AccountKey,
    u32
);
key!(
    /// Index of a service in the process's [`crate::rules::Table`].
    ServiceKey,
    u16
);
key!(
    /// Key of an agent known to an entry.
    AgentKey,
    u32
);
key!(
    /// Key of an entry known to an agent.
    EntryKey,
    u32
);
key!(
    /// Key of a request held by an entry.
    JobKey,
    u32
);

/// Distinguishes successive runs of a process at the same address. Generated randomly at start-up.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootId(pub u64);

impl BootId {
    /// Generates a random id.
    pub fn random() -> Self {
        BootId(rand::random())
    }
}

impl fmt::Display for BootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Id of a caller's request. Sent in `x-request-id` as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Generates a random id.
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

/// Identifies one dispatch of a request to one agent. `seq` increases monotonically within one run
/// of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DispatchId {
    /// The run of the entry that sent the dispatch.
    pub boot: BootId,
    /// Sequence number within that run, starting at 1.
    pub seq: u64,
}

impl fmt::Display for DispatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.boot, self.seq)
    }
}

/// Identifies an agent's offer of one free slot. Increases monotonically within one run of the
/// agent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OfferId(pub u64);
