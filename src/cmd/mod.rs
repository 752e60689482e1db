//! Command lines of the binaries, one module for each.

pub mod agent;
pub mod bench;
pub mod ctl;
pub mod entry;
pub mod gateway;
pub mod local;
pub mod shutdown;
pub mod standin;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;

use crate::settings::{self, Validate};

/// Exit status on success.
pub const EXIT_OK: u8 = 0;
/// Exit status on failure.
pub const EXIT_FAILED: u8 = 1;
/// Exit status on an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Name and description of a command.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One-line description for `--help`.
    pub about: &'static str,
}

/// What a program that takes a settings file does after it has parsed its command line.
#[derive(Debug)]
pub enum Start<T> {
    /// Run with these settings, which were read from this file.
    Run(T, PathBuf),
    /// Exit, because `--help`, `--version` or `--check` has been handled.
    Done,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The command line or the settings are invalid.
    #[error("{0:#}")]
    Usage(anyhow::Error),
    /// The command ran into an error.
    #[error("{0:#}")]
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Failure::Failed(error)
    }
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Failure::Usage(error.into())
    }
}

impl Program {
    /// Parses the process's arguments and reads the settings file. Handles `--help`, `--version`
    /// and `--check`.
    ///
    /// # Errors
    /// Returns [`Failure::Usage`] if the arguments or the settings are invalid.
    pub fn start<T: Validate>(&self) -> Result<Start<T>, Failure> {
        self.start_from(std::env::args_os().skip(1))
    }

    /// Same as [`Program::start`], with the given arguments.
    ///
    /// # Errors
    /// Returns [`Failure::Usage`] if the arguments or the settings are invalid.
    pub fn start_from<T: Validate>(
        &self,
        args: impl IntoIterator<Item = OsString>,
    ) -> Result<Start<T>, Failure> {
        let mut parser = lexopt::Parser::from_args(args.into_iter().collect::<Vec<_>>());
        let mut path = None;
        let mut check = false;
        while let Some(arg) = parser.next()? {
            match arg {
                Long("settings") => path = Some(PathBuf::from(parser.value()?)),
                Long("check") => check = true,
                Short('h') | Long("help") => {
                    print!("{}", self.help());
                    return Ok(Start::Done);
                }
                Short('V') | Long("version") => {
                    println!("{}", self.version());
                    return Ok(Start::Done);
                }
                _ => return Err(arg.unexpected().into()),
            }
        }
        let path = path.ok_or_else(|| Failure::Usage(anyhow::anyhow!("no --settings FILE")))?;
        let settings = settings::read(&path).map_err(Failure::Usage)?;
        if check {
            println!("{}: ok", path.display());
            return Ok(Start::Done);
        }
        Ok(Start::Run(settings, path))
    }

    /// Name and version, as `--version` prints them.
    pub fn version(&self) -> String {
        format!("{} {}", self.name, env!("CARGO_PKG_VERSION"))
    }

    fn help(&self) -> String {
        format!(
            "{name}: {about}\n\n\
             Usage: {name} --settings FILE [--check]\n\n\
             Options:\n\
             \x20 --settings FILE  settings file, in JSON\n\
             \x20 --check          check the settings and exit\n\
             \x20 -h, --help       show this help\n\
             \x20 -V, --version    show the version\n",
            name = self.name,
            about = self.about,
        )
    }

    /// Converts a result to an exit status: 0 success, 1 failure, 2 invalid usage. Prints a
    /// failure to standard error.
    pub fn exit_code(&self, result: Result<(), Failure>) -> ExitCode {
        let Err(failure) = result else {
            return ExitCode::from(EXIT_OK);
        };
        eprintln!("{}: {failure}", self.name);
        match failure {
            Failure::Usage(_) => ExitCode::from(EXIT_USAGE),
            Failure::Failed(_) => ExitCode::from(EXIT_FAILED),
        }
    }
}
