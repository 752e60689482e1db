//! Command line of `balsampitch-agent`.

use std::process::ExitCode;

use crate::cmd::{Failure, Program, Start, shutdown};
use crate::settings::AgentSettings;

const PROGRAM: Program = Program {
    name: "balsampitch-agent",
    about: "offers its target's free slots to the entries and runs the requests that they send",
};

/// Entry point of the binary.
pub fn main() -> ExitCode {
    PROGRAM.exit_code(run())
}

fn run() -> Result<(), Failure> {
    match PROGRAM.start::<AgentSettings>()? {
        Start::Run(settings, _) => {
            shutdown::block_on(|drain| crate::agent::serve(settings, drain)).map_err(Into::into)
        }
        Start::Done => Ok(()),
    }
}
