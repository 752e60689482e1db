//! Slopes: what one more request, account, connection or record costs each role.
//!
//! Measured in process on one thread, at several sizes each, so that what does not grow in
//! proportion shows. `docs/CAPACITY.md` works out the design size from them.

mod agent;
mod claims;
mod desk;
mod frames;
mod hosts;
mod readers;
mod rules;
mod scheduler;
mod slope;
mod stream;
#[cfg(test)]
mod tests;

use super::heap;
use super::report::Report;
use crate::exchange::measure::control_cost;

/// Members, accounts, backlogged accounts and rounds of each measurement of the exchange.
const EXCHANGES: [(usize, usize, usize, usize); 4] = [
    (3, 15, 4, 40),
    (40, 3_500, 350, 40),
    (370, 3_500, 350, 40),
    (370, 3_500, 3_500, 12),
];
/// Services of the exchange.
const SERVICES: usize = 17;

/// Measures every slope. One report for each slope and size.
pub fn run(seed: u64) -> Vec<Report> {
    // Lines of log would be measured too.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    heap::enable();
    let mut lines = Vec::new();
    lines.extend(scheduler::lines(seed));
    lines.extend(agent::lines(seed));
    lines.extend(frames::lines(seed));
    lines.extend(claims::lines(seed));
    lines.extend(hosts::lines(seed));
    lines.extend(rules::lines(seed));
    lines.extend(readers::lines(seed));
    lines.extend(desk::lines(seed));
    lines.extend(stream::lines(seed));
    lines.extend(EXCHANGES.iter().map(|&size| exchange(seed, size)));
    lines
}

fn exchange(seed: u64, size: (usize, usize, usize, usize)) -> Report {
    let (members, accounts, backlogged, rounds) = size;
    let cost = control_cost(members, accounts, backlogged, SERVICES, rounds);
    slope::line(seed, "entry", "exchange", members)
        .figure("accounts_count", accounts as f64)
        .figure("backlogged_count", backlogged as f64)
        .figure("sent_bytes_per_s", cost.max_bytes)
        .figure("sent_messages_per_s", cost.max_messages)
        .figure("round_us", cost.round_micros)
        .figure("period_ms", cost.period_ms as f64)
        .figure("state_bytes", cost.state_bytes as f64)
}
