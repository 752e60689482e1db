//! Parses the command line of `balsampitch-ctl`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Context, anyhow};
use lexopt::prelude::*;

use super::Failure;
use crate::settings::{self, CtlSettings};

/// Text of `--help`.
pub const HELP: &str = "\
balsampitch-ctl: checks, applies and shows the rules, checks configurations, and shows the entries' state

Usage: balsampitch-ctl [OPTIONS] COMMAND

Commands:
  rules check FILE    check a rules file
  rules apply FILE    make a rules file the next version
  rules show          print the current rules
  rules diff FILE     compare the current rules with a file
  rules history       list the versions that are still in the log
  config check FILE   check a gateway configuration, in the platform's format
  status              show the state of each entry
  shares              show each client account's share
  explain REQUEST-ID  show the history of a request

Options:
  --platform ADDR         the platform's log, as ip:port
  --admin ADDR[,ADDR..]   admin addresses of entries, as ip:port
  --settings FILE         settings file in JSON, with `platform` and `admin`
  --author NAME           author of the new version [default: $USER]
  --based-on VERSION      version that the file was derived from [default: the one that
                          `rules show` wrote on its first line, else the current one]
  --against FILE          configuration in force, for `config check`: requires a greater
                          version and lists the differences
  -h, --help              show this help
  -V, --version           show the version

Exit status: 0 success, 1 failure, 2 invalid usage.
";

/// A parsed command line.
#[derive(Debug)]
pub enum Command {
    /// Show the help.
    Help,
    /// Show the version.
    Version,
    /// Run a subcommand.
    Run(Args),
}

/// Options and positional arguments of a subcommand.
#[derive(Debug, Default)]
pub struct Args {
    /// The subcommand and its operands.
    pub words: Vec<String>,
    /// Author of the new version; `None` if not given.
    pub author: Option<String>,
    /// Version that the file was derived from; `None` if not given.
    pub based_on: Option<u64>,
    /// File with the configuration in force; `None` if not given.
    pub against: Option<PathBuf>,
    platform: Option<SocketAddr>,
    admin: Vec<SocketAddr>,
}

impl Args {
    /// Address of the platform's log. Returns an error if none was given.
    pub fn platform(&self) -> Result<SocketAddr, Failure> {
        let missing = || usage(anyhow!("no --platform ADDR, and none in --settings FILE"));
        self.platform.ok_or_else(missing)
    }

    /// Admin addresses of entries. Returns an error if none was given.
    pub fn admin(&self) -> Result<&[SocketAddr], Failure> {
        if self.admin.is_empty() {
            return Err(usage(anyhow!(
                "no --admin ADDR, and none in --settings FILE"
            )));
        }
        Ok(&self.admin)
    }
}

/// Parses the command line and reads the settings file, if one is given. Options override the
/// settings.
pub fn parse(args: impl Iterator<Item = OsString>) -> Result<Command, Failure> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut args = Args::default();
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("platform") => args.platform = Some(addr(&parser.value()?.string()?)?),
            Long("admin") => args.admin = addrs(&parser.value()?.string()?)?,
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("author") => args.author = Some(parser.value()?.string()?),
            Long("based-on") => args.based_on = Some(version(&parser.value()?.string()?)?),
            Long("against") => args.against = Some(PathBuf::from(parser.value()?)),
            Value(word) => args.words.push(word.string()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    if let Some(path) = settings {
        let settings: CtlSettings = settings::read(&path).map_err(Failure::Usage)?;
        args.platform = args.platform.or(settings.platform);
        if args.admin.is_empty() {
            args.admin = settings.admin;
        }
    }
    Ok(Command::Run(args))
}

/// Wraps an error of the command line.
pub fn usage(error: anyhow::Error) -> Failure {
    Failure::Usage(error)
}

/// Returns the error for words that are not a subcommand with its operands.
pub fn unknown_command(words: &[&str]) -> Failure {
    let hint = "see balsampitch-ctl --help";
    match words {
        [] => usage(anyhow!("no command, {hint}")),
        ["rules", "check" | "apply" | "diff"] => {
            usage(anyhow!("rules {}: no FILE, {hint}", words[1]))
        }
        ["config", "check"] => usage(anyhow!("config check: no FILE, {hint}")),
        ["explain"] => usage(anyhow!("explain: no REQUEST-ID, {hint}")),
        _ => usage(anyhow!("no command `{}`, {hint}", words.join(" "))),
    }
}

fn version(text: &str) -> Result<u64, Failure> {
    let version = text.parse();
    version
        .with_context(|| format!("{text:?} is not a version, expected a whole number"))
        .map_err(usage)
}

fn addrs(text: &str) -> Result<Vec<SocketAddr>, Failure> {
    text.split(',').map(addr).collect()
}

fn addr(text: &str) -> Result<SocketAddr, Failure> {
    let addr = text.trim().parse::<SocketAddr>();
    addr.with_context(|| format!("{text:?} is not an address, expected ip:port"))
        .map_err(usage)
}
