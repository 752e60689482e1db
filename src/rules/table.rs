//! The rules in force, with keys that stay the same while the process runs.

use std::collections::HashMap;
use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::{AccountKey, ServiceKey};
use crate::units::Micros;

/// SHA-256 of a caller's key. Plain keys are never kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// The digest of a plain key.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Digests of the keys that its callers may use.
    pub keys: Vec<KeyDigest>,
    /// Most requests that it may have waiting at one entry.
    pub queue_limit: u32,
    /// Largest request body, in bytes.
    pub body_limit: u64,
    /// Whether the rules in force still name it.
    pub live: bool,
}

/// A service that targets run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name: the first segment of the request's path.
    pub name: String,
    /// Requests that each of its targets runs at a time.
    pub slots: u16,
    /// Whether every call may be run more than once.
    pub repeatable: bool,
    /// Whether its targets check fencing numbers.
    pub fenced: bool,
    /// Longest time from arrival to the end of the answer.
    pub deadline: Micros,
    /// Most second copies of slow idempotent calls, in percent of first copies.
    pub hedge_percent: u8,
    /// Most repeats after a failure, in percent of first tries.
    pub retry_percent: u8,
    /// Whether the rules in force still name it.
    pub live: bool,
}

/// The accounts and services of one accepted rules version.
///
/// Keys are indices. [`Table::next_version`] carries them over to the next version, so a name keeps its
/// key while the process runs.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    accounts: Vec<Account>,
    services: Vec<Service>,
    by_account: HashMap<String, AccountKey>,
    by_service: HashMap<String, ServiceKey>,
    by_digest: HashMap<KeyDigest, AccountKey>,
}

impl Table {
    /// The next version: names known before keep their keys, names no longer in the rules stay as
    /// not live.
    pub fn next_version(
        &self,
        version: u64,
        accounts: Vec<Account>,
        services: Vec<Service>,
    ) -> Table {
        let mut next = self.clone();
        next.version = version;
        next.accounts.iter_mut().for_each(|a| a.live = false);
        next.services.iter_mut().for_each(|s| s.live = false);
        accounts.into_iter().for_each(|a| next.put_account(a));
        services.into_iter().for_each(|s| next.put_service(s));
        next.by_digest = next
            .accounts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.live)
            .flat_map(|(i, a)| a.keys.iter().map(move |&d| (d, AccountKey::from(i))))
            .collect();
        next
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The account whose caller presents this key. Equal digests are found by their hash and then
    /// compared in constant time.
    pub fn account_by_key(&self, key: &[u8]) -> Option<AccountKey> {
        let digest = KeyDigest::of(key);
        let (known, &account) = self.by_digest.get_key_value(&digest)?;
        known.matches(&digest).then_some(account)
    }

    /// The live service of this name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.by_service
            .get(name)
            .copied()
            .filter(|k| self.services[k.index()].live)
    }

    /// The account of this name, live or not.
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.by_account.get(name).copied()
    }

    /// An account by its key.
    pub fn account_at(&self, key: AccountKey) -> &Account {
        &self.accounts[key.index()]
    }

    /// A service by its key.
    pub fn service_at(&self, key: ServiceKey) -> &Service {
        &self.services[key.index()]
    }

    /// All accounts with their keys, live or not.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountKey, &Account)> {
        self.accounts
            .iter()
            .enumerate()
            .map(|(i, a)| (AccountKey::from(i), a))
    }

    /// All services with their keys, live or not.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Service)> {
        self.services
            .iter()
            .enumerate()
            .map(|(i, s)| (ServiceKey::from(i), s))
    }

    fn put_account(&mut self, account: Account) {
        match self.by_account.get(&account.name) {
            Some(key) => self.accounts[key.index()] = account,
            None => {
                let key = AccountKey::from(self.accounts.len());
                self.by_account.insert(account.name.clone(), key);
                self.accounts.push(account);
            }
        }
    }

    fn put_service(&mut self, service: Service) {
        match self.by_service.get(&service.name) {
            Some(key) => self.services[key.index()] = service,
            None => {
                let key = ServiceKey::from(self.services.len());
                self.by_service.insert(service.name.clone(), key);
                self.services.push(service);
            }
        }
    }
}
