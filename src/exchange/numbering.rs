//! Compact indices that stand for client accounts and services in datagrams.
//!
//! An index is the position of a name in the sorted list of live names of one rules version.

use std::collections::VecDeque;

use sha2::{Digest, Sha256};

use super::ShareKey;
use crate::ids::{AccountKey, ServiceKey};
use crate::rules::Table;

/// Maximum number of numberings kept, to decode datagrams of members that have other rules.
const MAX_RECENT: usize = 4;

/// A client account at a service, by their indices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareIndex {
    /// Index of the service.
    pub service: u16,
    /// Index of the client account.
    pub account: u32,
}

/// The indices of one rules version.
#[derive(Clone, Debug, Default)]
pub struct Numbering {
    digest: u32,
    services: Vec<ServiceKey>,
    accounts: Vec<AccountKey>,
    service_indices: Vec<Option<u16>>,
    account_indices: Vec<Option<u32>>,
}

impl Numbering {
    /// Numbers the live services and client accounts of the table.
    pub fn from_table(table: &Table) -> Self {
        let mut services: Vec<_> = table
            .services()
            .filter(|(_, s)| s.live)
            .map(|(k, s)| (s.name.as_str(), k))
            .collect();
        let mut accounts: Vec<_> = table
            .accounts()
            .filter(|(_, a)| a.live)
            .map(|(k, a)| (a.name.as_str(), k))
            .collect();
        services.sort_unstable();
        accounts.sort_unstable();
        let digest = digest(services.iter().map(|s| s.0), accounts.iter().map(|a| a.0));
        let services: Vec<_> = services.into_iter().map(|s| s.1).collect();
        let accounts: Vec<_> = accounts.into_iter().map(|a| a.1).collect();
        Numbering {
            digest,
            service_indices: invert(services.iter().map(|k| k.index())),
            account_indices: invert(accounts.iter().map(|k| k.index())),
            services,
            accounts,
        }
    }

    /// Returns the digest of the names, which identifies the numbering in datagrams.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the indices of a key, or `None` if its service or account is no longer live.
    pub fn index_of(&self, key: ShareKey) -> Option<ShareIndex> {
        Some(ShareIndex {
            service: *self.service_indices.get(key.service.index())?.as_ref()?,
            account: *self.account_indices.get(key.account.index())?.as_ref()?,
        })
    }

    /// Returns the key with these indices, or `None` if an index is out of range.
    pub fn key(&self, index: ShareIndex) -> Option<ShareKey> {
        Some(ShareKey {
            service: *self.services.get(usize::from(index.service))?,
            account: *self.accounts.get(index.account as usize)?,
        })
    }
}

/// The current numbering and those that preceded it.
#[derive(Clone, Debug, Default)]
pub struct RecentNumberings {
    recent: VecDeque<Numbering>,
}

impl RecentNumberings {
    /// Makes a numbering the current one.
    pub fn set_current(&mut self, numbering: Numbering) {
        self.recent.retain(|n| n.digest != numbering.digest);
        self.recent.push_front(numbering);
        self.recent.truncate(MAX_RECENT);
    }

    /// Returns the current numbering, or `None` if none has been set.
    pub fn current(&self) -> Option<&Numbering> {
        self.recent.front()
    }

    /// Returns the numbering with this digest, or `None` if it is not kept.
    pub fn find(&self, digest: u32) -> Option<&Numbering> {
        self.recent.iter().find(|n| n.digest == digest)
    }
}

fn digest<'a>(
    services: impl Iterator<Item = &'a str>,
    accounts: impl Iterator<Item = &'a str>,
) -> u32 {
    let mut hash = Sha256::new();
    for (kind, name) in services.map(|n| (0u8, n)).chain(accounts.map(|n| (1u8, n))) {
        hash.update([kind]);
        hash.update((name.len() as u64).to_be_bytes());
        hash.update(name);
    }
    let full = hash.finalize();
    u32::from_be_bytes(full[..4].try_into().expect("SHA-256 has 32 bytes"))
}

fn invert<N: TryFrom<usize>>(keys: impl Iterator<Item = usize> + Clone) -> Vec<Option<N>> {
    let len = keys.clone().max().map_or(0, |last| last + 1);
    let mut indices: Vec<Option<N>> = std::iter::repeat_with(|| None).take(len).collect();
    for (index, key) in keys.enumerate() {
        indices[key] = N::try_from(index).ok();
    }
    indices
}
