//! Stand-ins and scripts of the review. One program, so that nothing but the compiler is needed:
//! `rig worker ...` is a worker; `rig CASE` plays a case. TROUBLE=0 leaves the disruption out.

mod empty;
mod fleet;
mod goes_on;
mod http;
mod memory;
mod poison;
mod store;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match args.first().map(String::as_str) {
        Some("worker") => {
            worker::main(&args);
            0
        }
        Some("empty") => empty::main(trouble),
        Some("goes-on") => goes_on::main(trouble),
        Some("memory") => memory::main(trouble),
        Some("poison") => poison::main(trouble),
        _ => {
            eprintln!("usage: rig worker|poison|goes-on|memory|empty");
            2
        }
    };
    std::process::exit(code);
}
