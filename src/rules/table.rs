//! Lookup table of the active rules. Accounts and services are identified by integer keys, which do
//! not change while the process runs.

use std::collections::HashMap;
use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::{AccountKey, ServiceKey};
use crate::units::Micros;

/// SHA-256 of a caller's API key. Plain keys are never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a plain key.
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
    /// Name of the account.
    pub name: String,
    /// Digests of the account's API keys.
    pub keys: Vec<KeyDigest>,
    /// Maximum number of the account's requests queued at one entry (router process).
    pub queue_limit: u32,
    /// Maximum size of a request body, in bytes.
    pub body_limit: u64,
    /// Whether this version of the rules contains the account.
    pub live: bool,
}

/// A service, provided by one or more targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service, which is the first segment of the request path.
    pub name: String,
    /// Maximum number of requests that each target of the service runs concurrently.
    pub slots: u16,
    /// Whether all requests are idempotent, that is, may be executed more than once.
    pub repeatable: bool,
    /// Whether the targets of the service check fencing tokens.
    pub fenced: bool,
    /// Maximum time from the arrival of a request to the end of its response.
    pub deadline: Micros,
    /// Maximum number of hedged attempts for slow idempotent requests, in percent of first
    /// attempts.
    pub hedge_percent: u8,
    /// Maximum number of retries after a failure, in percent of first attempts.
    pub retry_percent: u8,
    /// Whether this version of the rules contains the service.
    pub live: bool,
}

/// The accounts and services of one version of the rules.
///
/// Keys are indices into `accounts` and `services`. [`Table::next_version`] carries them over to
/// the next version, so a name keeps its key while the process runs.
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
    /// Builds the table of the next version. Existing names keep their keys; names that are no
    /// longer in the rules stay in the table with `live` unset.
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

    /// The version of the rules; 0 until a version is received.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the live account that this API key belongs to, or `None` if there is none. The
    /// digest is found by a hash lookup and then compared in constant time.
    pub fn account_by_key(&self, key: &[u8]) -> Option<AccountKey> {
        let digest = KeyDigest::of(key);
        let (known, &account) = self.by_digest.get_key_value(&digest)?;
        known.matches(&digest).then_some(account)
    }

    /// Returns the live service of this name, or `None` if there is none.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.by_service
            .get(name)
            .copied()
            .filter(|k| self.services[k.index()].live)
    }

    /// Returns the account of this name, live or not, or `None` if no version had one.
    pub fn account(&self, name: &str) -> Option<AccountKey> {
        self.by_account.get(name).copied()
    }

    /// Returns the account with this key. Panics if the key is not from this table or an earlier
    /// one.
    pub fn account_at(&self, key: AccountKey) -> &Account {
        &self.accounts[key.index()]
    }

    /// Returns the service with this key. Panics if the key is not from this table or an earlier
    /// one.
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
