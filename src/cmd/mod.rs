//! Command lines, a file for each binary.

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

/// Exit status of a command that did what was asked.
pub const EXIT_OK: u8 = 0;
/// Exit status of a command that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit status of a command that was called wrongly or with unusable settings.
pub const EXIT_USAGE: u8 = 2;

/// What a command is called and what it says about itself.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One sentence on its job.
    pub about: &'static str,
}

/// How a process with a settings file goes on after its command line is read.
#[derive(Debug)]
pub enum Start<T> {
    /// Run with these settings, read from this file.
    Run(T, PathBuf),
    /// Nothing is left to do.
    Done,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It was called wrongly, or its settings cannot be used.
    #[error("{0:#}")]
    Usage(anyhow::Error),
    /// It could not do its job.
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
    /// Reads the process's command line and settings file; answers `--help`, `--version` and
    /// `--check` itself.
    ///
    /// # Errors
    /// [`Failure::Usage`] when an option is unknown or the settings cannot be used.
    pub fn start<T: Validate>(&self) -> Result<Start<T>, Failure> {
        self.start_from(std::env::args_os().skip(1))
    }

    /// As [`Program::start`], from the given arguments.
    ///
    /// # Errors
    /// [`Failure::Usage`] when an option is unknown or the settings cannot be used.
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

    /// The name with the crate's version.
    pub fn version(&self) -> String {
        format!("{} {}", self.name, env!("CARGO_PKG_VERSION"))
    }

    fn help(&self) -> String {
        format!(
            "{name}: {about}\n\n\
             Usage: {name} --settings FILE [--check]\n\n\
             Options:\n\
             \x20 --settings FILE  settings in JSON\n\
             \x20 --check          check the settings and stop\n\
             \x20 -h, --help       show this help\n\
             \x20 -V, --version    show the version\n",
            name = self.name,
            about = self.about,
        )
    }

    /// The exit status of a result: 0 done, 1 failed, 2 called wrongly. Prints the failure on
    /// standard error.
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
