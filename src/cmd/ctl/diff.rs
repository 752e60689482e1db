//! `rules diff FILE`.

use std::collections::BTreeMap;

use anyhow::anyhow;

use super::args::Args;
use super::file::{self, RulesFile};
use super::log::Reader;
use super::{Failure, Subcommand};
use crate::log::Client;
use crate::rules::{self, Rules};

/// The command that compares the current rules with a file.
pub struct Diff {
    client: Client,
    file: RulesFile,
}

impl Diff {
    /// Prepares to compare the rules in the platform's log with the file at this path.
    pub fn new(path: &str, args: &Args) -> Result<Self, Failure> {
        let client = Client::new(args.platform()?);
        let file = file::read(path)?;
        Ok(Diff { client, file })
    }
}

impl Subcommand for Diff {
    async fn run(self) -> Result<String, Failure> {
        let current = Reader::new(self.client).current().await?;
        let version = current.version;
        let rules = rules::parse(&current.text)
            .map_err(|errors| anyhow!("could not read version {version}: {}", errors[0]))?;
        let lines = diff(&rules, &self.file.rules);
        if lines.is_empty() {
            return Ok(format!("no difference to version {version}\n"));
        }
        Ok(lines)
    }
}

/// Lists the rules only in `before` as `- rule` and those only in `after` as `+ rule`, sorted by
/// kind and name. A changed rule is listed as both.
pub fn diff(before: &Rules, after: &Rules) -> String {
    let mut pairs: BTreeMap<(&str, &str), [Option<String>; 2]> = BTreeMap::new();
    for (side, rules) in [before, after].into_iter().enumerate() {
        for rule in &rules.rules {
            let key = (rule.definition.kind(), rule.definition.name());
            pairs.entry(key).or_default()[side] = Some(rule.to_string());
        }
    }
    let mut lines = String::new();
    for [old, new] in pairs.into_values().filter(|[old, new]| old != new) {
        lines.extend(old.map(|rule| format!("- {rule}\n")));
        lines.extend(new.map(|rule| format!("+ {rule}\n")));
    }
    lines
}
