//! The operator's configuration as the gateway uses it: routes, services, accounts and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use crate::ids::AccountKey;

/// A whole configuration. Immutable; a newer version replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Grows with every change; 0: none is known yet.
    pub version: u64,
    /// Routes by authority, each list with the longest prefixes first.
    hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    accounts: Vec<Account>,
    keys: HashMap<Box<str>, AccountKey>,
    /// What callers may send.
    pub limits: Limits,
    /// As the operator wrote it.
    pub source: Bytes,
}

/// Where requests of one authority and path prefix go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Authority that requests name.
    pub authority: Box<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Services and their weights; never empty.
    pub services: SmallVec<[(Arc<str>, u32); 2]>,
    /// What may be repeated.
    pub class: RouteClass,
    /// Longest time to the final answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that the operator aims at.
    pub latency_objective: Duration,
    /// Most targets to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteClass {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    Once,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that another target can resume.
    ResumableStream,
}

impl RouteClass {
    /// Whether a second run does no harm.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteClass::Idempotent | RouteClass::ResumableStream)
    }

    /// Whether answers are streams of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, RouteClass::Stream | RouteClass::ResumableStream)
    }
}

/// A service that targets run.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Connections that a target of it accepts from all callers together.
    pub max_connections: usize,
    /// Figures of its engines, if it runs models.
    pub engine: Option<Engine>,
}

/// Figures of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit in its memory.
    pub kv_capacity: u64,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name that targets are told.
    pub name: Box<str>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens that the engines make a second, each read once and each generated counted twice.
    pub token_rate: Option<f64>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head: 16 * 1024,
            max_body: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            token_rate: None,
        }
    }
}

/// The parts of a [`Config`], not yet indexed.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Its version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Vec<(Arc<str>, Service)>,
    /// Client accounts, each with its keys.
    pub accounts: Vec<(Account, Vec<Box<str>>)>,
    /// What callers may send.
    pub limits: Limits,
}

impl From<Parts> for Config {
    fn from(parts: Parts) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let host = route.authority.to_ascii_lowercase().into_boxed_str();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut accounts = Vec::with_capacity(parts.accounts.len());
        let mut keys = HashMap::new();
        for (index, (account, own)) in parts.accounts.into_iter().enumerate() {
            accounts.push(account);
            keys.extend(own.into_iter().map(|key| (key, AccountKey::from(index))));
        }
        Config {
            version: parts.version,
            hosts,
            services: parts.services.into_iter().collect(),
            accounts,
            keys,
            limits: parts.limits,
            source: Bytes::new(),
        }
    }
}

impl Config {
    /// Keeps what the operator wrote, for gateways that cannot read it themselves.
    pub fn with_source(mut self, source: Bytes) -> Self {
        self.source = source;
        self
    }

    /// The route of a request: of its authority's, the one with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_ref()))
    }

    /// Whether requests need a key at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The client account that holds a key.
    pub fn account_by_key(&self, key: &str) -> Option<AccountKey> {
        self.keys.get(key).copied()
    }

    /// A client account by its key in this version.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key.index()]
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
