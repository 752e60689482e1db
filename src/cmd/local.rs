//! Command line of `balsampitch-local`.

use std::process::ExitCode;

use lexopt::prelude::*;

use crate::cmd::{Failure, Program, shutdown};
use crate::local::{self, LocalOptions};
use crate::settings::LogFormat;
use crate::telemetry::logs;

const PROGRAM: Program = Program {
    name: "balsampitch-local",
    about: "runs a small fleet on this machine",
};

const HELP: &str = "\
balsampitch-local: runs a small fleet on this machine

Usage: balsampitch-local [OPTIONS]

Options:
      --port P        port of the first entry [8080]
      --admin-port A  admin port of the first entry [9080]
      --entries N     entries to start [2]
      --targets N     targets to start for each service [3]
      --slots N       requests that each target runs concurrently [4]
  -h, --help          show this help
  -V, --version       show the version
";

/// Entry point of the binary.
pub fn main() -> ExitCode {
    PROGRAM.exit_code(run())
}

fn run() -> Result<(), Failure> {
    let Some(options) = options()? else {
        return Ok(());
    };
    logs::init(LogFormat::Text, PROGRAM.name, logs::Stream::Stderr)?;
    shutdown::block_on(|drain| local::run(options, drain)).map_err(Into::into)
}

/// Parses the command line; returns `None` if it printed the help or the version instead.
fn options() -> Result<Option<LocalOptions>, Failure> {
    let mut options = LocalOptions::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("port") => options.port = parser.value()?.parse()?,
            Long("admin-port") => options.admin = parser.value()?.parse()?,
            Long("entries") => options.entries = parser.value()?.parse()?,
            Long("targets") => options.targets = parser.value()?.parse()?,
            Long("slots") => options.slots = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("{}", PROGRAM.version());
                return Ok(None);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    check(&options)?;
    Ok(Some(options))
}

fn check(options: &LocalOptions) -> Result<(), Failure> {
    let counts = [
        ("entries", options.entries),
        ("targets", options.targets),
        ("slots", options.slots),
    ];
    for (name, count) in counts {
        if count == 0 {
            return Err(Failure::Usage(anyhow::anyhow!(
                "--{name}: must be at least 1"
            )));
        }
    }
    for (name, first) in [("port", options.port), ("admin-port", options.admin)] {
        if first == 0 || first.checked_add(options.entries).is_none() {
            let error = anyhow::anyhow!(
                "--{name}: must be at least 1 and leave a consecutive port for each entry"
            );
            return Err(Failure::Usage(error));
        }
    }
    Ok(())
}
