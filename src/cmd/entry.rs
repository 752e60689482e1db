//! Command line of `balsampitch-entry`.

use std::process::ExitCode;

use crate::cmd::{Failure, Program, Start, shutdown};
use crate::settings::EntrySettings;

const PROGRAM: Program = Program {
    name: "balsampitch-entry",
    about: "accepts requests from callers and shares the targets' slots between client accounts",
};

/// Entry point of the binary.
pub fn main() -> ExitCode {
    PROGRAM.exit_code(run())
}

fn run() -> Result<(), Failure> {
    match PROGRAM.start::<EntrySettings>()? {
        Start::Run(settings, _) => {
            shutdown::block_on(|drain| crate::entry::serve(settings, drain)).map_err(Into::into)
        }
        Start::Done => Ok(()),
    }
}
