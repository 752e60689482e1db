//! Test rig of the review: a store, workers and clients as stand-ins on loopback addresses, before
//! a gateway that runs as a process of its own. Uses the standard library only.
//!
//! `rig CASE DIR` plays a case in the repository's root, writes `DIR/record.txt`, and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod client;
mod gateway;
mod http;
mod store;
mod worker;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use world::World;

/// Time after which a case that does not end counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = args.as_slice() else {
        eprintln!("call: rig CASE DIR");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let world = World::new(PathBuf::from(dir).join("record.txt"));
    world.note(format!("case {case}, TROUBLE={trouble}"));
    let watch = world.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watch.finish(Err("the case took too long".to_owned()));
    });
    let played = std::panic::catch_unwind(|| cases::play(case, &world, &trouble));
    world.finish(played.unwrap_or_else(|_| Err("the rig failed".to_owned())));
}
