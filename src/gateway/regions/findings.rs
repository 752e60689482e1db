//! What an operator should know of the restrictions of a configuration: those that are odd, or that
//! no zone can meet.

use crate::gateway::config::Config;
use crate::gateway::regions::{RegionRule, RegionTable};

/// What has a restriction. The names of the values are written to the log field `owner`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A route.
    Route,
    /// A client account.
    Account,
}

/// What is odd about a restriction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The list is empty, so that nothing is restricted.
    Empty,
    /// The restriction is not a list of strings, so that no region is allowed.
    Unreadable,
    /// No zone is known to be in one of the regions, so that requests have no target.
    NoZone,
}

impl Problem {
    const ALL: [Problem; 3] = [Problem::Empty, Problem::Unreadable, Problem::NoZone];

    fn of(rule: &RegionRule, table: &RegionTable) -> Option<Self> {
        match rule {
            RegionRule::Unrestricted => None,
            RegionRule::Empty => Some(Problem::Empty),
            RegionRule::Unreadable => Some(Problem::Unreadable),
            RegionRule::Only(_) => (!table.has_zone_in(rule)).then_some(Problem::NoZone),
        }
    }

    fn message(self) -> &'static str {
        match self {
            Problem::Empty => "a list of allowed regions is empty and restricts nothing",
            Problem::Unreadable => "could not decode allowed regions, so none is allowed",
            Problem::NoZone => "no zone is known in the allowed regions",
        }
    }
}

/// The entries of one kind that have the same problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding<'a> {
    /// What is odd.
    pub problem: Problem,
    /// Kind of the entries.
    pub owner: Owner,
    /// Name of one of them.
    pub name: &'a str,
    /// Their number.
    pub count: usize,
}

impl<'a> Finding<'a> {
    /// Finds the problems of a configuration, at most one finding for each problem and kind.
    pub fn all(config: &'a Config, table: &RegionTable) -> impl Iterator<Item = Finding<'a>> {
        let kinds = [Owner::Route, Owner::Account].into_iter();
        let kinds = kinds.flat_map(|owner| Problem::ALL.map(|problem| (owner, problem)));
        kinds.filter_map(move |(owner, problem)| {
            let rules = config.region_rules().filter(|(kind, ..)| *kind == owner);
            let with_problem = rules.filter(|(.., rule)| Problem::of(rule, table) == Some(problem));
            let mut names = with_problem.map(|(_, name, _)| name);
            Some(Finding {
                problem,
                owner,
                name: names.next()?,
                count: 1 + names.count(),
            })
        })
    }
}

/// Logs the problems of a configuration, one line for each finding.
pub fn log_findings(config: &Config, table: &RegionTable) {
    for finding in Finding::all(config, table) {
        spdlog::warn!("{}", finding.problem.message(), kv: {
            owner:? = finding.owner,
            name: = finding.name,
            count = finding.count,
            version = config.version,
        });
    }
}

/// Logs the number of zones whose region the settings give, unless they name none.
pub fn log_table(table: &RegionTable) {
    if table.contradictory > 0 {
        spdlog::warn!("zones with several regions belong to none", kv: {
            zones = table.contradictory,
        });
    }
    if !table.is_empty() {
        spdlog::info!("regions of zones read", kv: { zones = table.zones.len() });
    }
}
