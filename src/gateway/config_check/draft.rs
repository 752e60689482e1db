//! A configuration that has not been accepted yet: what could be read of it, field by field.

use std::collections::BTreeMap;
use std::fmt;

use smallvec::SmallVec;

use super::finding::Finding;
use crate::gateway::config::RouteClass;
use crate::platform::wire::draft::field_name;

/// A field of a configuration. Its text is the name that the field has in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// List of the routes.
    Routes,
    /// List of the services.
    ServiceList,
    /// Services of a route, with their weights.
    Services,
    /// List of the client accounts.
    Accounts,
    /// Limits on client connections and requests.
    Limits,
    /// Name of an entry.
    Name,
    /// Authority of a route.
    Authority,
    /// Path prefix of a route.
    PathPrefix,
    /// Class of a route.
    Class,
    /// Single service of a route.
    Service,
    /// Timeout of a route, in milliseconds.
    Timeout,
    /// Latency objective of a route, in milliseconds.
    Objective,
    /// Objective for the time between two events of a stream, in milliseconds.
    GapObjective,
    /// Maximum number of attempts of a route.
    MaxAttempts,
    /// Whether a route accepts requests without an API key.
    Anonymous,
    /// Whether another target can resume the streams of a route.
    Resume,
    /// Regions to which a route or a client account is restricted.
    Regions,
    /// Maximum number of connections of a target.
    MaxConnections,
    /// Engine of a service.
    Engine,
    /// Number of requests that an engine runs concurrently.
    Slots,
    /// Number of tokens in an engine's cache.
    KvCapacity,
    /// Cache size per token, in bytes.
    TokenBytes,
    /// Rate of a target's link, in megabits per second.
    LinkRate,
    /// Path of a service's health check.
    HealthPath,
    /// Cold time of a service, in seconds.
    ColdSpan,
    /// Rate of requests to a cold target, per second.
    ColdRate,
    /// Maximum size of a request head.
    MaxHead,
    /// Maximum size of a request body.
    MaxBody,
    /// Time limit for a request head, in milliseconds.
    HeadTimeout,
    /// Maximum idle time of a client connection, in milliseconds.
    IdleTimeout,
    /// Throughput of all engines, in tokens per second.
    TokenRate,
    /// API keys of a client account.
    ApiKeys,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(field_name(*self))
    }
}

/// An API key, whose text is never shown.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiKey(Box<str>);

impl From<Box<str>> for ApiKey {
    fn from(text: Box<str>) -> Self {
        ApiKey(text)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Region names, sorted.
pub type Regions = SmallVec<[Box<str>; 2]>;
/// Services and their weights, sorted by name.
pub type Weights = SmallVec<[(Box<str>, u32); 2]>;

/// Value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum Setting {
    /// A whole number.
    Count(u64),
    /// Any other number.
    Number(f64),
    /// Yes or no.
    Flag(bool),
    /// Text that is not secret.
    Text(Box<str>),
    /// A route class.
    Class(RouteClass),
    /// Region names; if there are none, nothing is restricted.
    Regions(Regions),
    /// Services with their weights.
    Weights(Weights),
    /// API keys.
    ApiKeys(Vec<ApiKey>),
    /// A value that could not be read. A finding says so; nothing more is concluded from it.
    Unreadable,
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Setting::Count(count) => count.fmt(f),
            Setting::Number(number) => number.fmt(f),
            Setting::Flag(flag) => flag.fmt(f),
            Setting::Text(text) => write!(f, "{text:?}"),
            Setting::Class(class) => f.write_str(class_text(*class)),
            Setting::Regions(names) => f.debug_list().entries(names).finish(),
            Setting::Weights(weights) => f
                .debug_map()
                .entries(weights.iter().map(|(name, weight)| (name, weight)))
                .finish(),
            Setting::ApiKeys(keys) => write!(f, "{} API keys", keys.len()),
            Setting::Unreadable => f.write_str("unreadable"),
        }
    }
}

fn class_text(class: RouteClass) -> &'static str {
    match class {
        RouteClass::Idempotent => "may run again",
        RouteClass::Once => "runs at most once",
        RouteClass::Stream => "stream, runs at most once",
        RouteClass::ResumableStream => "stream, can be resumed",
    }
}

/// Kind of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The configuration as a whole.
    Whole,
    /// A route.
    Route,
    /// A service.
    Service,
    /// A client account.
    Account,
    /// The limits.
    Limits,
}

/// What identifies an entry in a finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryId {
    /// Kind of the entry.
    pub kind: Kind,
    /// Its name; empty if it has none.
    pub name: Box<str>,
    /// Its place among the entries of its kind, from 0.
    pub index: usize,
}

impl EntryId {
    /// Identifies an entry of which there is one.
    pub fn single(kind: Kind) -> Self {
        EntryId {
            kind,
            name: Box::default(),
            index: 0,
        }
    }
}

impl fmt::Display for EntryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Whole => return f.write_str("configuration"),
            Kind::Limits => return f.write_str("limits"),
            Kind::Route => "route",
            Kind::Service => "service",
            Kind::Account => "account",
        };
        if self.name.is_empty() {
            return write!(f, "{kind} #{}", self.index + 1);
        }
        write!(f, "{kind} {}", self.name.escape_debug())
    }
}

/// An entry: the configuration as a whole, a route, a service, a client account or the limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// What identifies the entry.
    pub id: EntryId,
    /// The fields that are given. One whose value the gateway ignores counts as not given.
    pub settings: BTreeMap<Field, Setting>,
}

impl Entry {
    /// Creates an entry without fields.
    pub fn new(id: EntryId) -> Self {
        Entry {
            id,
            settings: BTreeMap::new(),
        }
    }

    /// Whether the field is given, but could not be read.
    pub fn is_unreadable(&self, field: Field) -> bool {
        self.settings.get(&field) == Some(&Setting::Unreadable)
    }

    /// Value of a field with a whole number.
    pub fn count(&self, field: Field) -> Option<u64> {
        match self.settings.get(&field)? {
            Setting::Count(count) => Some(*count),
            _ => None,
        }
    }

    /// Value of a field with any number.
    pub fn number(&self, field: Field) -> Option<f64> {
        match self.settings.get(&field)? {
            Setting::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// Value of a field with text.
    pub fn text(&self, field: Field) -> Option<&str> {
        match self.settings.get(&field)? {
            Setting::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Class of a route.
    pub fn class(&self) -> Option<RouteClass> {
        match self.settings.get(&Field::Class)? {
            Setting::Class(class) => Some(*class),
            _ => None,
        }
    }

    /// Regions to which the entry is restricted.
    pub fn regions(&self) -> Option<&[Box<str>]> {
        match self.settings.get(&Field::Regions)? {
            Setting::Regions(names) => Some(names),
            _ => None,
        }
    }

    /// Services of a route, with their weights.
    pub fn weights(&self) -> Option<&[(Box<str>, u32)]> {
        match self.settings.get(&Field::Services)? {
            Setting::Weights(weights) => Some(weights),
            _ => None,
        }
    }

    /// API keys of a client account; empty if it has none.
    pub fn api_keys(&self) -> &[ApiKey] {
        match self.settings.get(&Field::ApiKeys) {
            Some(Setting::ApiKeys(keys)) => keys,
            _ => &[],
        }
    }
}

/// A configuration that has not been accepted yet.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Fields of the configuration itself.
    pub whole: Entry,
    /// Routes in the order of the file.
    pub routes: Vec<Entry>,
    /// Services in the order of the file.
    pub services: Vec<Entry>,
    /// Client accounts in the order of the file.
    pub accounts: Vec<Entry>,
    /// The limits.
    pub limits: Entry,
    /// What could not be read.
    pub faults: Vec<Finding>,
}
