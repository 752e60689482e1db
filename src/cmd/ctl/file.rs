//! Rules files on the operator's disk.

use std::path::Path;

use anyhow::{Context, anyhow};

use super::Failure;
use crate::rules::{self, Rules};

const HEADER: &str = "# version ";

/// A rules file that was read and has no faults.
#[derive(Debug)]
pub struct RulesFile {
    /// Its text, without the line that `rules show` writes first.
    pub text: String,
    /// The version on that line.
    pub version: Option<u64>,
    /// Its rules.
    pub rules: Rules,
}

/// The line that `rules show` writes first, so that `rules apply` knows what was edited.
pub fn header(version: u64, author: &str) -> String {
    format!("{HEADER}{version}, applied by {author}\n")
}

/// Reads a rules file; the failure names all its faults.
pub fn read(path: &str) -> Result<RulesFile, Failure> {
    let text = std::fs::read_to_string(Path::new(path))
        .with_context(|| format!("could not read {path}"))?;
    let rules = rules::parse(&text).map_err(|errors| {
        let errors: Vec<String> = errors.iter().map(|e| format!("{path}: {e}")).collect();
        anyhow!("could not use {path}\n{}", errors.join("\n"))
    })?;
    let (version, text) = split_header(&text);
    Ok(RulesFile {
        text: text.to_owned(),
        version,
        rules,
    })
}

fn split_header(text: &str) -> (Option<u64>, &str) {
    let Some(after) = text.strip_prefix(HEADER) else {
        return (None, text);
    };
    let (line, rest) = after.split_once('\n').unwrap_or((after, ""));
    let number = line.split(',').next().and_then(|n| n.parse().ok());
    match number {
        Some(version) => (Some(version), rest),
        None => (None, text),
    }
}
