//! Command line of `balsampitch-bench`.

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};

use crate::bench::{self, Experiment, Variant};

const USAGE: &str = "\
Usage: balsampitch-bench EXPERIMENT [--seed N] [--naive]

Runs an experiment in virtual time and prints its figures, one JSON object a line.

EXPERIMENT: fairness, utilisation, crest, blocking, slowed, control, once, failover, all,
            capacity

  --seed N    seed of the demand (default 1)
  --naive     measure round robin, first come first served, instead
  --help      print this
  --version   print the version";

/// Exit code for a command line that cannot be read.
const EXIT_USAGE: u8 = 2;

#[derive(Debug)]
struct Options {
    experiments: Vec<Experiment>,
    seed: u64,
    variant: Variant,
}

#[derive(Debug)]
enum Command {
    Run(Options),
    Print(String),
}

/// Runs the binary with the process's arguments. Exits 2 when they cannot be read.
pub fn main() -> ExitCode {
    match parse(std::env::args_os().skip(1)) {
        Ok(Command::Run(options)) => run(&options),
        Ok(Command::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("balsampitch-bench: {error}\n\n{USAGE}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(options: &Options) -> ExitCode {
    for &experiment in &options.experiments {
        for report in bench::run(experiment, options.seed, options.variant) {
            match serde_json::to_string(&report) {
                Ok(line) => println!("{line}"),
                Err(error) => {
                    eprintln!("balsampitch-bench: {error}");
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    ExitCode::SUCCESS
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_args(args);
    let mut experiments = None;
    let (mut seed, mut variant) = (1, Variant::Fleet);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Print(USAGE.to_owned())),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Print(version())),
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("naive") => variant = Variant::Naive,
            Arg::Value(name) if experiments.is_none() => {
                experiments = Some(chosen(&name.string()?)?);
            }
            other => return Err(other.unexpected()),
        }
    }
    let experiments = experiments.ok_or("no EXPERIMENT given")?;
    Ok(Command::Run(Options {
        experiments,
        seed,
        variant,
    }))
}

fn chosen(name: &str) -> Result<Vec<Experiment>, lexopt::Error> {
    if name == "all" {
        return Ok(Experiment::ALL.to_vec());
    }
    let mut known = Experiment::ALL.iter().chain(&Experiment::EXTRA);
    match known.find(|e| e.name() == name) {
        Some(&experiment) => Ok(vec![experiment]),
        None => Err(format!("no experiment is named {name:?}").into()),
    }
}

fn version() -> String {
    format!("balsampitch-bench {}", env!("CARGO_PKG_VERSION"))
}
