//! Command line of `balsampitch-ctl`: manages the rules, checks configurations of gateways, and shows
//! the state of the entries.

mod admin;
mod apply;
mod args;
mod check;
mod config_check;
mod diff;
mod explain;
mod file;
mod history;
mod log;
mod shares;
mod show;
mod status;
mod view;

#[cfg(test)]
mod tests;

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

use anyhow::anyhow;

use super::{Failure, Program};
use args::{Args, Command};

const PROGRAM: Program = Program {
    name: "balsampitch-ctl",
    about: "checks, applies and shows the rules, checks configurations, and shows the entries' state",
};

/// A subcommand.
trait Subcommand {
    /// Runs the subcommand and returns the text to print.
    async fn run(self) -> Result<String, Failure>;
}

/// Entry point of the binary.
pub async fn main() -> ExitCode {
    let result = run(std::env::args_os().skip(1)).await;
    PROGRAM.exit_code(result)
}

async fn run(args: impl Iterator<Item = OsString>) -> Result<(), Failure> {
    let text = match args::parse(args)? {
        Command::Help => args::HELP.to_owned(),
        Command::Version => PROGRAM.version() + "\n",
        Command::Run(args) => dispatch(args).await?,
    };
    print(&text)
}

async fn dispatch(args: Args) -> Result<String, Failure> {
    let words: Vec<&str> = args.words.iter().map(String::as_str).collect();
    if args.against.is_some() && words.first() != Some(&"config") {
        return Err(args::usage(anyhow!("--against is only for config check")));
    }
    match words[..] {
        ["rules", "check", file] => check::Check::new(file).run().await,
        ["rules", "apply", file] => apply::Apply::new(file, &args)?.run().await,
        ["rules", "show"] => show::Show::new(&args)?.run().await,
        ["rules", "diff", file] => diff::Diff::new(file, &args)?.run().await,
        ["rules", "history"] => history::History::new(&args)?.run().await,
        ["config", "check", file] => config_check::ConfigCheck::new(file, &args).run().await,
        ["status"] => status::Status::new(&args)?.run().await,
        ["shares"] => shares::Shares::new(&args)?.run().await,
        ["explain", request] => explain::Explain::new(request, &args)?.run().await,
        _ => Err(args::unknown_command(&words)),
    }
}

/// Prints a text. A closed pipe is not an error.
fn print(text: &str) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        written => {
            let written: Result<(), anyhow::Error> = written.map_err(anyhow::Error::from);
            written.map_err(|error| Failure::Failed(error.context("could not print")))
        }
    }
}
