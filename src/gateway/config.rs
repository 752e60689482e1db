//! The operator's configuration, indexed for request handling: routes, services, client accounts
//! and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use crate::ids::AccountKey;

/// One version of the configuration. Immutable; a newer version replaces all of it.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Increases with every change; 0 until a configuration has been received.
    pub version: u64,
    /// Routes by lower-case authority, each list with the longest path prefixes first.
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    accounts: Vec<Account>,
    keys: HashMap<Box<str>, AccountKey>,
    /// Limits on client connections and requests.
    pub limits: Limits,
    /// The configuration as the operator wrote it.
    pub source: Bytes,
}

/// A routing rule for requests with one authority and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, used in logs.
    pub name: Box<str>,
    /// Authority to match, compared without regard to case.
    pub authority: Box<str>,
    /// Path prefix to match; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Services and their traffic weights; never empty.
    pub services: SmallVec<[(Arc<str>, u32); 2]>,
    /// Whether requests may be retried, and whether responses are streams.
    pub class: RouteClass,
    /// Longest time from the request's arrival to the end of its response.
    pub timeout: Duration,
    /// The operator's objective for the time to the response, or to a stream's first event.
    pub latency_objective: Duration,
    /// Most targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub anonymous: bool,
}

/// The kind of a route's requests, which decides whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteClass {
    /// Plain calls that may run more than once.
    Idempotent,
    /// Plain calls that may run at most once.
    Once,
    /// Event streams that may run at most once.
    Stream,
    /// Event streams that another target can resume.
    ResumableStream,
}

impl RouteClass {
    /// Whether a request may run a second time.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteClass::Idempotent | RouteClass::ResumableStream)
    }

    /// Whether responses are event streams.
    pub fn is_streaming(self) -> bool {
        matches!(self, RouteClass::Stream | RouteClass::ResumableStream)
    }
}

/// A service that targets run.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Connections that one of its targets accepts from all clients together.
    pub max_connections: usize,
    /// Capacity of its model engines, if it runs models.
    pub engine: Option<Engine>,
}

/// Capacity of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Tokens that fit in its key-value cache.
    pub kv_capacity: u64,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Account name, as sent to targets.
    pub name: Box<str>,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head: usize,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Longest time for a client to send the request head.
    pub head_timeout: Duration,
    /// How long a client connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens that all engines together process per second: a prompt token counts once, a generated
    /// token twice.
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

/// The content of a [`Config`] before it is indexed.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Version of the configuration.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services with their names.
    pub services: Vec<(Arc<str>, Service)>,
    /// Client accounts, each with its API keys.
    pub accounts: Vec<(Account, Vec<Box<str>>)>,
    /// Limits on client connections and requests.
    pub limits: Limits,
}

impl From<Parts> for Config {
    fn from(parts: Parts) -> Self {
        let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let authority = route.authority.to_ascii_lowercase().into_boxed_str();
            routes.entry(authority).or_default().push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut accounts = Vec::with_capacity(parts.accounts.len());
        let mut keys = HashMap::new();
        for (index, (account, api_keys)) in parts.accounts.into_iter().enumerate() {
            accounts.push(account);
            keys.extend(
                api_keys
                    .into_iter()
                    .map(|key| (key, AccountKey::from(index))),
            );
        }
        Config {
            version: parts.version,
            routes,
            services: parts.services.into_iter().collect(),
            accounts,
            keys,
            limits: parts.limits,
            source: Bytes::new(),
        }
    }
}

impl Config {
    /// Keeps the operator's text, to serve it to gateways that cannot reach the platform.
    pub fn with_source(mut self, source: Bytes) -> Self {
        self.source = source;
        self
    }

    /// The route for a request: among those of the authority, the one with the longest matching
    /// path prefix.
    pub fn route(&self, authority: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(authority) {
            Some(routes) => routes,
            None => self.routes.get(authority.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_ref()))
    }

    /// Whether there are client accounts; without any, requests need no key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The client account that an API key belongs to.
    pub fn account_by_key(&self, key: &str) -> Option<AccountKey> {
        self.keys.get(key).copied()
    }

    /// Looks up a client account by its index in this version.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key.index()]
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
