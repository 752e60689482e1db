//! Checks a configuration before it is put in force.
//!
//! Load pattern: operators change the configuration many times a day, with hundreds of routes and
//! thousands of client accounts. A gateway keeps the previous configuration if it cannot decode a new
//! one, and serves whatever it can decode: a route that nothing reaches, or a limit that contradicts
//! another, shows only as rejected requests. The check finds these before the configuration is sent.
//!
//! Performs no I/O. `platform::wire::draft` decodes the operator's file to a [`Draft`].

pub mod difference;
pub mod draft;
pub mod finding;

mod accounts;
mod limits;
mod routes;

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::fmt;

use self::difference::{Difference, differences};
use self::draft::{Draft, Entry, Field};
use self::finding::{Fault, Finding, Severity};

/// Outcome of a check. Its text has a line per finding and difference.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// What is wrong, in the order of the file: what could not be read comes first.
    pub findings: Vec<Finding>,
    /// Differences from the configuration in force; `None` if it was not given.
    pub differences: Option<Vec<Difference>>,
}

impl Report {
    /// Number of findings of a severity.
    pub fn count(&self, severity: Severity) -> usize {
        let findings = self.findings.iter();
        findings
            .filter(|finding| finding.fault.severity() == severity)
            .count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        for difference in self.differences.iter().flatten() {
            writeln!(f, "{difference}")?;
        }
        Ok(())
    }
}

/// Checks a configuration, and compares it with the one in force if that is given.
pub fn check(draft: &Draft, in_force: Option<&Draft>) -> Report {
    let mut findings = draft.faults.clone();
    check_version(draft, in_force, &mut findings);
    for entries in [&draft.routes, &draft.services, &draft.accounts] {
        check_names(entries, &mut findings);
    }
    routes::check(draft, &mut findings);
    limits::check_services(draft, &mut findings);
    accounts::check(draft, &mut findings);
    limits::check(&draft.limits, &mut findings);
    Report {
        findings,
        differences: in_force.map(|in_force| differences(in_force, draft)),
    }
}

fn check_version(draft: &Draft, in_force: Option<&Draft>, findings: &mut Vec<Finding>) {
    let Some(version) = draft.whole.count(Field::Version) else {
        return;
    };
    let mut report = |fault| findings.push(Finding::new(&draft.whole, fault));
    if version == 0 {
        report(Fault::NoVersion);
    }
    match in_force.map(|in_force| in_force.whole.count(Field::Version)) {
        Some(Some(in_force)) if version <= in_force => {
            report(Fault::OldVersion { version, in_force });
        }
        Some(None) => report(Fault::UnknownVersion),
        _ => {}
    }
}

/// Finds names that several entries of a kind have. An empty name is that of an unnamed entry.
fn check_names(entries: &[Entry], findings: &mut Vec<Finding>) {
    let mut first = HashMap::new();
    for entry in entries.iter().filter(|entry| !entry.id.name.is_empty()) {
        let index = *first.entry(&entry.id.name).or_insert(entry.id.index);
        if index != entry.id.index {
            findings.push(Finding::new(entry, Fault::DuplicateName(index + 1)));
        }
    }
}

/// Finds an empty list of regions.
fn check_regions(entry: &Entry, findings: &mut Vec<Finding>) {
    if entry.regions().is_some_and(<[Box<str>]>::is_empty) {
        findings.push(Finding::new(entry, Fault::NoRegions));
    }
}
