//! What a check finds in a configuration.

use std::fmt;

use super::draft::{Entry, EntryId, Field};

/// Whether a configuration can be used despite a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The configuration, or an entry of it, cannot work.
    Error,
    /// The configuration works, but an entry has no effect or another one than it says.
    Warning,
}

/// Something wrong with an entry. Its text is one line.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The entry.
    pub entry: EntryId,
    /// What is wrong with it.
    pub fault: Fault,
}

impl Finding {
    /// Creates a finding about an entry.
    pub fn new(entry: &Entry, fault: Fault) -> Self {
        Finding {
            entry: entry.id.clone(),
            fault,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.fault.severity() {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.entry, self.fault)
    }
}

/// Form that a value must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A whole number of 32 bits.
    SmallCount,
    /// A whole number of 64 bits.
    Count,
    /// Any number.
    Number,
    /// A number that is not negative.
    Figure,
    /// A number above 0.
    Positive,
    /// `true` or `false`.
    Flag,
    /// A string.
    Text,
    /// A route class.
    Class,
    /// The path of a URL.
    Path,
    /// A list of region names.
    Regions,
    /// A list of API keys.
    ApiKeys,
    /// A list of services with their weights.
    Weights,
    /// An object.
    Object,
    /// A list.
    List,
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Form::SmallCount => "a whole number from 0 to 4294967295",
            Form::Count => "a whole number from 0 to 18446744073709551615",
            Form::Number => "a number",
            Form::Figure => "a number of 0 or more",
            Form::Positive => "a number above 0",
            Form::Flag => "true or false",
            Form::Text | Form::Class => "a string",
            Form::Path => "a path that begins with a slash",
            Form::Regions | Form::ApiKeys => "a list of strings",
            Form::Weights => "a list of names and weights from 0 to 4294967295",
            Form::Object => "an object",
            Form::List => "a list",
        })
    }
}

/// What can be wrong with an entry. No fault holds the text of an API key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The file is not JSON.
    #[error("is not JSON, see line {line}, column {column}")]
    NotJson {
        /// Line number, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
    },
    /// The entry is a value of another type.
    #[error("is not an object")]
    NotObject,
    /// The gateway cannot decode the configuration, and no other fault says why.
    #[error(
        "could not be decoded, for example because a field is given twice, see line {line}, column {column}"
    )]
    Undecodable {
        /// Line number, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
    },
    /// A required field is not given.
    #[error("has no {0}")]
    Missing(Field),
    /// The gateway could not read the field.
    #[error("{0} is not {1}")]
    Odd(Field, Form),
    /// The gateway ignores the value of the field.
    #[error("{0} is not {1}, so it is ignored")]
    Ignored(Field, Form),
    /// The version means that there is no configuration.
    #[error("version 0 counts as no configuration, so all requests are rejected")]
    NoVersion,
    /// The version is not greater than the one in force.
    #[error("version {version} is not greater than {in_force}, the version in force")]
    OldVersion {
        /// The version in the file.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The configuration in force has no version to compare with.
    #[error("could not compare the version: the configuration in force has none")]
    UnknownVersion,
    /// An earlier entry of the same kind has the same name.
    #[error("has the same name as #{0} of its kind")]
    DuplicateName(usize),
    /// Logs cannot name the route.
    #[error("has no name, so logs do not tell it from others")]
    Unnamed,
    /// The route has no service.
    #[error("has no service")]
    NoService,
    /// The route names a service that is not defined.
    #[error("service {0:?} is not defined")]
    UndefinedService(Box<str>),
    /// The service gets no requests of the route.
    #[error("service {0:?} has a weight of 0, so it gets no requests")]
    ZeroWeight(Box<str>),
    /// The weights are too large to be added up.
    #[error("the sum of the weights is above 4294967295")]
    WeightSum,
    /// The gateway takes the time as 0, since it is not above 0 or too large.
    #[error("{0} is not above 0, or too large, so no request can be served")]
    NothingServed(Field),
    /// The field should be above 0.
    #[error("{0} is not above 0")]
    NotPositive(Field),
    /// The client account shares an API key with an earlier one.
    #[error("API key #{key} is also one of {other}")]
    SharedKey {
        /// Place of the API key in its account, from 1.
        key: usize,
        /// The earlier account.
        other: EntryId,
    },
    /// The client account has the same API key twice.
    #[error("API key #{0} is given twice")]
    RepeatedKey(usize),
    /// Nothing can use the client account.
    #[error("has no API key, so no request belongs to it")]
    NoKey,
    /// No route uses the service.
    #[error("is not used by any route")]
    Unused,
    /// An earlier route matches the same requests.
    #[error("is never reached: {0} has the same authority and path prefix")]
    Hidden(EntryId),
    /// The path prefix begins or ends without a slash.
    #[error("{field} {0:?} does not begin and end with a slash", field = Field::PathPrefix)]
    Prefix(Box<str>),
    /// No request is for the authority.
    #[error("{field} {0:?} is not a host", field = Field::Authority)]
    Authority(Box<str>),
    /// The class is unknown, and the safest one is assumed.
    #[error("{field} {0:?} is not known, so requests run at most once", field = Field::Class)]
    UnknownClass(Box<str>),
    /// One time is longer than another one that ends it.
    #[error("{0} is above {1}")]
    Above(Field, Field),
    /// The route may not use its attempts.
    #[error("{field} is {0}, but requests run at most once", field = Field::MaxAttempts)]
    UnusedAttempts(u64),
    /// The field has no effect without the other one, or with its default.
    #[error("{0} is given without {1}")]
    Without(Field, Field),
    /// An empty list restricts nothing.
    #[error("{field} is empty, which restricts nothing", field = Field::Regions)]
    NoRegions,
    /// No region is allowed to the client account on some routes.
    #[error("shares no region with {route} ({others} more), so its requests are rejected there")]
    DisjointRegions {
        /// The first of these routes.
        route: EntryId,
        /// Number of the other ones.
        others: usize,
    },
}

impl Fault {
    /// Whether the configuration can be used nevertheless.
    pub fn severity(&self) -> Severity {
        match self {
            Fault::NotJson { .. }
            | Fault::NotObject
            | Fault::Undecodable { .. }
            | Fault::Missing(_)
            | Fault::Odd(..)
            | Fault::NoVersion
            | Fault::OldVersion { .. }
            | Fault::UnknownVersion
            | Fault::DuplicateName(_)
            | Fault::NoService
            | Fault::UndefinedService(_)
            | Fault::WeightSum
            | Fault::NothingServed(_)
            | Fault::SharedKey { .. } => Severity::Error,
            _ => Severity::Warning,
        }
    }
}
