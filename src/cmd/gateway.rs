//! Command line of `balsampitch-gateway`.

use std::process::ExitCode;

use crate::cmd::{Failure, Program, Start, shutdown};
use crate::settings::GatewaySettings;

const PROGRAM: Program = Program {
    name: "balsampitch-gateway",
    about: "forwards requests to targets without agents and shares them fairly between client accounts",
};

/// Entry point of the binary.
pub fn main() -> ExitCode {
    PROGRAM.exit_code(run())
}

fn run() -> Result<(), Failure> {
    match PROGRAM.start::<GatewaySettings>()? {
        Start::Run(settings, path) => {
            shutdown::block_on_current_thread(|drain| crate::gateway::serve(settings, path, drain))
                .map_err(Into::into)
        }
        Start::Done => Ok(()),
    }
}
