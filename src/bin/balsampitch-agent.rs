//! The `balsampitch-agent` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    balsampitch::cmd::agent::main()
}
