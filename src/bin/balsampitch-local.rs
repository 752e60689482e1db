//! The `balsampitch-local` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    balsampitch::cmd::local::main()
}
