//! The `balsampitch-entry` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    balsampitch::cmd::entry::main()
}
