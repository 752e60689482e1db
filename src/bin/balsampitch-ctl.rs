//! The `balsampitch-ctl` binary.

use std::process::ExitCode;

use balsampitch::cmd::ctl;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    ctl::main().await
}
