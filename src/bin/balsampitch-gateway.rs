//! The `balsampitch-gateway` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    balsampitch::cmd::gateway::main()
}
