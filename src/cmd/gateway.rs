//! `balsampitch-gateway`.

use std::process::ExitCode;

use crate::cmd::{Failure, Program, Start, shutdown};
use crate::settings::GatewaySettings;

const PROGRAM: Program = Program {
    name: "balsampitch-gateway",
    about: "sends callers' requests to targets that have no agent, and shares them fairly",
};

/// Runs the binary.
pub fn main() -> ExitCode {
    PROGRAM.exit_code(run())
}

fn run() -> Result<(), Failure> {
    match PROGRAM.start::<GatewaySettings>()? {
        Start::Run(settings, path) => {
            shutdown::block_on_one(|drain| crate::gateway::serve(settings, path, drain))
                .map_err(Into::into)
        }
        Start::Done => Ok(()),
    }
}
