//! The `balsampitch-standin` binary: test doubles of the platform, a target and a network link.

use std::process::ExitCode;

fn main() -> ExitCode {
    balsampitch::cmd::standin::main()
}
