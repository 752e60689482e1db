//! Prints the measurements of the decisions under load and faults.

fn main() -> std::process::ExitCode {
    balsampitch::cmd::bench::main()
}
