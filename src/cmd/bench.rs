//! Command line of `balsampitch-bench`.

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};

use crate::bench::{self, Experiment, Report, Variant, path};
use crate::settings::LogFormat;
use crate::telemetry::logs;

const USAGE: &str = "\
Usage: balsampitch-bench EXPERIMENT [--seed N] [--naive]

Runs an experiment and prints its results, one JSON object per line. Most experiments run in
virtual time. `path` measures an entry and an agent over loopback, and `capacity` measures the cost
of single operations, both in real time. `all` runs every experiment except `capacity`.

EXPERIMENT: fairness, utilisation, crest, blocking, slowed, control, once, failover, path, all,
            capacity

  --seed N    seed of the simulated load (default 1)
  --naive     measure the baseline instead: round robin, first come, first served
  --help      print this help
  --version   print the version";

/// Exit status on an invalid command line.
const EXIT_USAGE: u8 = 2;

#[derive(Debug)]
struct Options {
    selection: Selection,
    seed: u64,
    variant: Variant,
}

/// Experiments to run. `path` is separate, as it is not an [`Experiment`].
#[derive(Debug)]
struct Selection {
    experiments: Vec<Experiment>,
    path: bool,
}

#[derive(Debug)]
enum Command {
    Run(Options),
    Print(String),
}

/// Entry point of the binary. Exits with status 2 if the arguments are invalid.
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
    match measure(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsampitch-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn measure(options: &Options) -> anyhow::Result<()> {
    // Standard output is reserved for the results.
    logs::init(LogFormat::Text, "balsampitch-bench", logs::Stream::Stderr)?;
    for &experiment in &options.selection.experiments {
        print(bench::run(experiment, options.seed, options.variant))?;
    }
    if options.selection.path {
        print(path::run(options.seed)?)?;
    }
    Ok(())
}

fn print(reports: Vec<Report>) -> anyhow::Result<()> {
    for report in reports {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_args(args);
    let mut selected = None;
    let (mut seed, mut variant) = (1, Variant::Fleet);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Print(USAGE.to_owned())),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Print(version())),
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("naive") => variant = Variant::Naive,
            Arg::Value(name) if selected.is_none() => {
                selected = Some(select(&name.string()?)?);
            }
            other => return Err(other.unexpected()),
        }
    }
    let mut selection = selected.ok_or("no EXPERIMENT given")?;
    if variant == Variant::Naive && selection.experiments.is_empty() {
        return Err("path has no naive variant".into());
    }
    selection.path &= variant == Variant::Fleet;
    Ok(Command::Run(Options {
        selection,
        seed,
        variant,
    }))
}

fn select(name: &str) -> Result<Selection, lexopt::Error> {
    let all = name == "all";
    let path = all || name == path::PATH;
    let regular = Experiment::ALL
        .into_iter()
        .filter(|e| all || e.name() == name);
    let extra = Experiment::EXTRA.into_iter().filter(|e| e.name() == name);
    let experiments: Vec<Experiment> = regular.chain(extra).collect();
    if experiments.is_empty() && !path {
        return Err(format!("unknown experiment {name:?}").into());
    }
    Ok(Selection { experiments, path })
}

fn version() -> String {
    format!("balsampitch-bench {}", env!("CARGO_PKG_VERSION"))
}
