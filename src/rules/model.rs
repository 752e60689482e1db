//! Data model of a rules file, the text in which the operator defines client accounts and services,
//! one per line.

use std::fmt;

use super::table::{Account, Service, Table};
use super::units;

/// One rule of the file: the definition of a client account or a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The account or service that the rule defines.
    pub definition: Definition,
    /// The comment, which says who asked for the rule. The parser rejects a rule without one.
    pub comment: String,
}

/// The account or service that a rule defines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Definition {
    /// A client account.
    Account(Account),
    /// A service.
    Service(Service),
}

impl Definition {
    /// The name of the account or service.
    pub fn name(&self) -> &str {
        match self {
            Definition::Account(account) => &account.name,
            Definition::Service(service) => &service.name,
        }
    }

    /// The keyword that starts the rule: `account` or `service`.
    pub fn kind(&self) -> &'static str {
        match self {
            Definition::Account(_) => "account",
            Definition::Service(_) => "service",
        }
    }
}

/// All rules of a file. `Display` writes the canonical text, which parses to the same rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// The rules, in file order.
    pub rules: Vec<Rule>,
}

impl Rules {
    /// The client accounts, in file order.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.rules.iter().filter_map(|rule| match &rule.definition {
            Definition::Account(account) => Some(account),
            Definition::Service(_) => None,
        })
    }

    /// The services, in file order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.rules.iter().filter_map(|rule| match &rule.definition {
            Definition::Service(service) => Some(service),
            Definition::Account(_) => None,
        })
    }

    /// Builds the lookup table of these rules with the given version number. Accounts and services
    /// that exist in `previous` keep their table keys ([`crate::ids::AccountKey`],
    /// [`crate::ids::ServiceKey`]).
    pub fn table(&self, previous: &Table, version: u64) -> Table {
        let accounts = self.accounts().cloned().collect();
        let services = self.services().cloned().collect();
        previous.next_version(version, accounts, services)
    }
}

impl fmt::Display for Rules {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.rules.iter().try_for_each(|rule| writeln!(f, "{rule}"))
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.definition {
            Definition::Account(account) => write_account(f, account)?,
            Definition::Service(service) => write_service(f, service)?,
        }
        write!(f, "  # {}", self.comment)
    }
}

fn write_account(f: &mut fmt::Formatter<'_>, account: &Account) -> fmt::Result {
    let keys: Vec<String> = account.keys.iter().map(|key| hex::encode(key.0)).collect();
    write!(f, "account {} key-sha256={}", account.name, keys.join(","))?;
    write!(f, " queue={}", account.queue_limit)?;
    write!(f, " body={}", units::Size(account.body_limit))
}

fn write_service(f: &mut fmt::Formatter<'_>, service: &Service) -> fmt::Result {
    write!(f, "service {} slots={}", service.name, service.slots)?;
    write!(f, " repeatable={}", units::yes_no(service.repeatable))?;
    write!(f, " fenced={}", units::yes_no(service.fenced))?;
    write!(f, " deadline={}", units::Span(service.deadline))?;
    write!(f, " hedge={}%", service.hedge_percent)?;
    write!(f, " retry={}%", service.retry_percent)
}
