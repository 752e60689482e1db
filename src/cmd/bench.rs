//! Command line of `balsampitch-bench`.

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};

use crate::bench::{self, Experiment, Report, Variant, path};
use crate::settings::LogFormat;
use crate::telemetry::logs;

const USAGE: &str = "\
Usage: balsampitch-bench EXPERIMENT [--seed N] [--naive]

Runs an experiment and prints its figures, one JSON object a line. All but `path`, which measures
an entry and an agent over loopback, run in virtual time.

EXPERIMENT: fairness, utilisation, crest, blocking, slowed, control, once, failover, path, all,
            capacity

  --seed N    seed of the demand (default 1)
  --naive     measure round robin, first come first served, instead
  --help      print this
  --version   print the version";

/// Exit code for a command line that cannot be read.
const EXIT_USAGE: u8 = 2;

#[derive(Debug)]
struct Options {
    chosen: Chosen,
    seed: u64,
    variant: Variant,
}

/// What is to be measured.
#[derive(Debug)]
struct Chosen {
    experiments: Vec<Experiment>,
    path: bool,
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
    match measure(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balsampitch-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn measure(options: &Options) -> anyhow::Result<()> {
    // Standard output is for figures.
    logs::init(LogFormat::Text, "balsampitch-bench", logs::Stream::Stderr)?;
    for &experiment in &options.chosen.experiments {
        print(bench::run(experiment, options.seed, options.variant))?;
    }
    if options.chosen.path {
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
    let mut picked = None;
    let (mut seed, mut variant) = (1, Variant::Fleet);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Print(USAGE.to_owned())),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Print(version())),
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("naive") => variant = Variant::Naive,
            Arg::Value(name) if picked.is_none() => {
                picked = Some(chosen(&name.string()?)?);
            }
            other => return Err(other.unexpected()),
        }
    }
    let mut chosen = picked.ok_or("no EXPERIMENT given")?;
    if variant == Variant::Naive && chosen.experiments.is_empty() {
        return Err("path has no naive variant".into());
    }
    chosen.path &= variant == Variant::Fleet;
    Ok(Command::Run(Options {
        chosen,
        seed,
        variant,
    }))
}

fn chosen(name: &str) -> Result<Chosen, lexopt::Error> {
    let all = name == "all";
    let path = all || name == path::PATH;
    let of_all = Experiment::ALL
        .into_iter()
        .filter(|e| all || e.name() == name);
    let extra = Experiment::EXTRA.into_iter().filter(|e| e.name() == name);
    let experiments: Vec<Experiment> = of_all.chain(extra).collect();
    if experiments.is_empty() && !path {
        return Err(format!("no experiment is named {name:?}").into());
    }
    Ok(Chosen { experiments, path })
}

fn version() -> String {
    format!("balsampitch-bench {}", env!("CARGO_PKG_VERSION"))
}
