//! Numbers for client accounts and services on the wire: their places in the sorted lists of live
//! names of one rules version.

use std::collections::VecDeque;

use sha2::{Digest, Sha256};

use super::ShareKey;
use crate::ids::{AccountKey, ServiceKey};
use crate::rules::Table;

/// Lists that are remembered for datagrams of members with other rules.
const RECENT_LISTS: usize = 4;

/// A service and client account by their numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number {
    /// Place of the service.
    pub service: u16,
    /// Place of the client account.
    pub account: u32,
}

/// The numbering of one rules version.
#[derive(Clone, Debug, Default)]
pub struct Numbering {
    digest: u32,
    services: Vec<ServiceKey>,
    accounts: Vec<AccountKey>,
    service_numbers: Vec<Option<u16>>,
    account_numbers: Vec<Option<u32>>,
}

impl Numbering {
    /// The numbering of the names that the table holds as live.
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
            service_numbers: invert(services.iter().map(|k| k.index())),
            account_numbers: invert(accounts.iter().map(|k| k.index())),
            services,
            accounts,
        }
    }

    /// Tells this numbering from others.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The numbers of a pair; `None` when it is no longer live.
    pub fn number(&self, pair: ShareKey) -> Option<Number> {
        Some(Number {
            service: *self.service_numbers.get(pair.service.index())?.as_ref()?,
            account: *self.account_numbers.get(pair.account.index())?.as_ref()?,
        })
    }

    /// The pair of these numbers.
    pub fn pair(&self, number: Number) -> Option<ShareKey> {
        Some(ShareKey {
            service: *self.services.get(usize::from(number.service))?,
            account: *self.accounts.get(number.account as usize)?,
        })
    }
}

/// The numbering in force and those shortly before it.
#[derive(Clone, Debug, Default)]
pub struct RecentNumberings {
    lists: VecDeque<Numbering>,
}

impl RecentNumberings {
    /// Puts a numbering in force.
    pub fn put(&mut self, names: Numbering) {
        self.lists.retain(|n| n.digest != names.digest);
        self.lists.push_front(names);
        self.lists.truncate(RECENT_LISTS);
    }

    /// The numbering in force.
    pub fn current(&self) -> Option<&Numbering> {
        self.lists.front()
    }

    /// The numbering with this digest.
    pub fn find(&self, digest: u32) -> Option<&Numbering> {
        self.lists.iter().find(|n| n.digest == digest)
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
    let mut numbers: Vec<Option<N>> = std::iter::repeat_with(|| None).take(len).collect();
    for (number, key) in keys.enumerate() {
        numbers[key] = N::try_from(number).ok();
    }
    numbers
}
