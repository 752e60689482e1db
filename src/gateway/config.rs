//! The operator's configuration, indexed for request handling: routes, services, client accounts
//! and limits.
//!
//! A gateway reads it from the platform, the operator's infrastructure service, or from another
//! gateway.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Uri;
use smallvec::SmallVec;

use crate::gateway::cold_limit::ColdRule;
use crate::gateway::prefix_transfer::TransferRate;
use crate::gateway::regions::{Owner, RegionRule};
use crate::ids::AccountKey;
use crate::units::Micros;

/// One version of the configuration. Immutable; a newer version replaces all of it.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Increases with every change; 0 until a configuration has been received.
    pub version: u64,
    /// Routes by lower-case authority, each list with the longest path prefixes first.
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    /// The tightest latency objective of the routes to each service.
    objectives: HashMap<Arc<str>, Micros>,
    accounts: Vec<Account>,
    /// Client accounts by API key.
    api_keys: HashMap<Box<str>, AccountKey>,
    /// Limits on client connections and requests.
    pub limits: Limits,
    /// The configuration as the operator wrote it; empty unless set by [`Config::with_source`].
    pub source: Bytes,
}

/// A routing rule for requests with one authority and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name that identifies the route in logs.
    pub name: Box<str>,
    /// Authority to match, compared without regard to case.
    pub authority: Box<str>,
    /// Path prefix to match; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Services and their traffic weights; never empty.
    pub services: SmallVec<[(Arc<str>, u32); 2]>,
    /// Kind of the requests: whether they may be retried and whether responses are streams.
    pub class: RouteClass,
    /// Maximum time from the request's arrival to the end of its response.
    pub timeout: Duration,
    /// The operator's objective for the time to the first event of a streamed response, or to the
    /// complete response if it is not streamed.
    pub latency_objective: Duration,
    /// Maximum number of attempts per request in which a target ran the request or may have run it.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted although there are client accounts.
    pub allow_anonymous: bool,
    /// The regions whose targets may receive its requests.
    pub regions: RegionRule,
}

/// The kind of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteClass {
    /// Non-streaming requests that may be run more than once.
    Idempotent,
    /// Non-streaming requests that may be run at most once.
    Once,
    /// Requests for an event stream that may be run at most once.
    Stream,
    /// Requests for an event stream that another target can resume.
    ResumableStream,
}

impl RouteClass {
    /// Whether a request may be sent to another target after one may have run it.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteClass::Idempotent | RouteClass::ResumableStream)
    }

    /// Whether responses are event streams.
    pub fn is_streaming(self) -> bool {
        matches!(self, RouteClass::Stream | RouteClass::ResumableStream)
    }
}

/// A service, which one or more targets provide.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Maximum number of connections that one target accepts from all gateways together.
    pub max_connections: usize,
    /// Capacity of the model inference engine of each target; `None` if the service runs no model.
    pub engine: Option<EngineCapacity>,
    /// What its targets can take while they are cold; `None` if that is not limited.
    pub cold: Option<ColdRule>,
    /// Path at which its targets tell of their health; `None` if they do not.
    pub health_path: Option<Uri>,
}

/// Capacity of a model inference engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineCapacity {
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit in its key-value cache.
    pub kv_capacity: u64,
    /// How fast it can fetch cached prompts from another engine; `None` if it cannot.
    pub transfer: Option<TransferRate>,
    /// Longest time for which it reserves room for a request; `None` if it does not.
    pub max_reservation: Option<Micros>,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Account name, as sent to targets.
    pub name: Box<str>,
    /// The regions whose targets may receive its requests.
    pub regions: RegionRule,
}

/// Limits on client connections and requests, and the engines' throughput.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Time limit for a client to send the request head.
    pub head_timeout: Duration,
    /// Maximum time that a client connection may be idle.
    pub idle_timeout: Duration,
    /// Configured throughput of all engines together, in tokens per second: a prompt token counts
    /// once, a generated token twice. If `None`, fair shares are not enforced and a default prefill
    /// rate is assumed.
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

/// Unindexed input from which a [`Config`] is built.
#[derive(Clone, Debug, Default)]
pub struct ConfigParts {
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

impl From<ConfigParts> for Config {
    fn from(parts: ConfigParts) -> Self {
        let objectives = tightest_objectives(&parts.routes);
        let mut routes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let authority = route.authority.to_ascii_lowercase().into_boxed_str();
            routes.entry(authority).or_default().push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut accounts = Vec::with_capacity(parts.accounts.len());
        let mut api_keys = HashMap::new();
        for (index, (account, keys)) in parts.accounts.into_iter().enumerate() {
            accounts.push(account);
            api_keys.extend(keys.into_iter().map(|key| (key, AccountKey::from(index))));
        }
        Config {
            version: parts.version,
            routes,
            services: parts.services.into_iter().collect(),
            objectives,
            accounts,
            api_keys,
            limits: parts.limits,
            source: Bytes::new(),
        }
    }
}

impl Config {
    /// Sets the configuration as the operator wrote it, which is served to gateways that cannot
    /// reach the platform.
    pub fn with_source(mut self, source: Bytes) -> Self {
        self.source = source;
        self
    }

    /// The route for a request: among those of the authority, the one with the longest matching
    /// path prefix; `None` if none matches.
    pub fn route(&self, authority: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(authority) {
            Some(routes) => routes,
            None => self.routes.get(authority.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_ref()))
    }

    /// Whether there are client accounts; without any, requests need no API key on any route.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The client account that an API key belongs to; `None` if the API key is unknown.
    pub fn account_by_key(&self, api_key: &str) -> Option<AccountKey> {
        self.api_keys.get(api_key).copied()
    }

    /// Looks up a client account by the key that [`Config::account_by_key`] of the same version
    /// returned.
    ///
    /// # Panics
    /// Panics if this version has no account with that key.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key.index()]
    }

    /// The region restrictions of all routes and client accounts, with their names.
    pub fn region_rules(&self) -> impl Iterator<Item = (Owner, &str, &RegionRule)> {
        let routes = self.routes.values().flatten();
        let routes = routes.map(|route| (Owner::Route, route.name.as_ref(), &route.regions));
        let accounts = self.accounts.iter();
        let accounts =
            accounts.map(|account| (Owner::Account, account.name.as_ref(), &account.regions));
        routes.chain(accounts)
    }

    /// Whether the requests to cold targets of any service are limited.
    pub fn limits_cold_targets(&self) -> bool {
        self.services.values().any(|service| service.cold.is_some())
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The tightest latency objective of the routes to a service; `None` if no route leads to it.
    pub fn tightest_objective(&self, service: &str) -> Option<Micros> {
        self.objectives.get(service).copied()
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

fn tightest_objectives(routes: &[Route]) -> HashMap<Arc<str>, Micros> {
    let mut tightest: HashMap<Arc<str>, Micros> = HashMap::new();
    for route in routes {
        let objective = Micros::from(route.latency_objective);
        for (service, _) in &route.services {
            let least = tightest.entry(service.clone()).or_insert(objective);
            *least = objective.min(*least);
        }
    }
    tightest
}

#[cfg(test)]
mod tests;
