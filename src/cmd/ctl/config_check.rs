//! `config check FILE [--against FILE]`.

use std::path::Path;

use anyhow::anyhow;

use super::args::Args;
use super::{Failure, Subcommand};
use crate::gateway::config_check::draft::{Draft, EntryId, Kind};
use crate::gateway::config_check::finding::{Finding, Severity};
use crate::gateway::config_check::{self, Report};
use crate::platform::wire::draft;

/// The command that checks a gateway configuration.
pub struct ConfigCheck<'a> {
    path: &'a str,
    against: Option<&'a Path>,
}

impl<'a> ConfigCheck<'a> {
    /// Prepares to check the file at this path.
    pub fn new(path: &'a str, args: &'a Args) -> Self {
        ConfigCheck {
            path,
            against: args.against.as_deref(),
        }
    }
}

impl Subcommand for ConfigCheck<'_> {
    async fn run(self) -> Result<String, Failure> {
        let path = self.path;
        let draft = read(Path::new(path))?;
        let in_force = self.against.map(read).transpose()?;
        let report = config_check::check(&draft, in_force.as_ref());
        let text = report.to_string() + same(&report);
        let warnings = report.count(Severity::Warning);
        let errors = report.count(Severity::Error);
        if errors == 0 {
            return Ok(format!("{text}{path}: ok, warnings: {warnings}\n"));
        }
        super::print(&text)?;
        let counts = format!("errors: {errors}, warnings: {warnings}");
        Err(anyhow!("could not accept {path}: {counts}").into())
    }
}

/// Line that tells that there are no differences; empty if there are some, or none were looked for.
fn same(report: &Report) -> &'static str {
    match report.differences.as_deref() {
        Some([]) => "no difference\n",
        _ => "",
    }
}

/// Reads and decodes a file. Prints the finding if nothing of it can be used.
fn read(path: &Path) -> Result<Draft, Failure> {
    let shown = path.display();
    let source = std::fs::read(path).map_err(|error| {
        let line = format!("error: configuration: could not read {shown}\n");
        let failure = anyhow!(error).context(format!("could not read {shown}"));
        print_or(&line, failure)
    })?;
    draft::decode(&source).map_err(|fault| {
        let entry = EntryId::single(Kind::Whole);
        let line = format!("{}\n", Finding { entry, fault });
        print_or(&line, anyhow!("could not decode {shown}"))
    })
}

/// Prints a line and returns the failure, or that of printing.
fn print_or(line: &str, failure: anyhow::Error) -> Failure {
    super::print(line).err().unwrap_or(failure.into())
}
