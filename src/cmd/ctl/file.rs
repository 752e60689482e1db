//! Reads rules files from disk.

use std::path::Path;

use anyhow::{Context, anyhow};

use super::Failure;
use crate::rules::{self, Rules};

const HEADER_PREFIX: &str = "# version ";

/// A valid rules file.
#[derive(Debug)]
pub struct RulesFile {
    /// The text, without the header line that `rules show` writes.
    pub text: String,
    /// The version in the header line, if there is one.
    pub version: Option<u64>,
    /// The parsed rules.
    pub rules: Rules,
}

/// Header line that `rules show` writes, so that `rules apply` knows which version was edited.
pub fn header(version: u64, author: &str) -> String {
    format!("{HEADER_PREFIX}{version}, applied by {author}\n")
}

/// Reads and parses a rules file; the error lists every invalid line.
pub fn read(path: &str) -> Result<RulesFile, Failure> {
    let text = std::fs::read_to_string(Path::new(path))
        .with_context(|| format!("could not read {path}"))?;
    let rules = rules::parse(&text).map_err(|errors| {
        let errors: Vec<String> = errors.iter().map(|e| format!("{path}: {e}")).collect();
        anyhow!("invalid rules in {path}\n{}", errors.join("\n"))
    })?;
    let (version, text) = split_header(&text);
    Ok(RulesFile {
        text: text.to_owned(),
        version,
        rules,
    })
}

fn split_header(text: &str) -> (Option<u64>, &str) {
    let Some(after) = text.strip_prefix(HEADER_PREFIX) else {
        return (None, text);
    };
    let (line, rest) = after.split_once('\n').unwrap_or((after, ""));
    let number = line.split(',').next().and_then(|n| n.parse().ok());
    match number {
        Some(version) => (Some(version), rest),
        None => (None, text),
    }
}
