//! Stand-ins for the platform, for a target and for a network link.

use std::process::ExitCode;

fn main() -> ExitCode {
    balsampitch::cmd::standin::main()
}
