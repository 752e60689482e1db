//! Marginal costs: memory and time that each role needs for one more request, client account,
//! connection or record.
//!
//! Each cost is measured in process on one thread at several sizes, which shows costs that do not
//! grow in proportion to the size. `docs/CAPACITY.md` uses these costs to derive the
//! fleet size to design for.

mod agent;
mod claims;
mod dispatcher;
mod frames;
mod hosts;
mod measure;
mod readers;
mod rules;
mod scheduler;
mod stream;
#[cfg(test)]
mod tests;

use super::heap;
use super::report::Report;
use crate::exchange::measure::control_cost;

/// Members, client accounts, backlogged accounts and rounds of each measurement of the exchange.
const EXCHANGE_SIZES: [(usize, usize, usize, usize); 4] = [
    (3, 15, 4, 40),
    (40, 3_500, 350, 40),
    (370, 3_500, 350, 40),
    (370, 3_500, 3_500, 12),
];
/// Number of services in the measurements of the exchange.
const SERVICES: usize = 17;

/// Runs all measurements. Returns one report per cost and size.
pub fn run(seed: u64) -> Vec<Report> {
    // Logging would add to the measured time and memory.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    heap::enable();
    let mut reports = Vec::new();
    reports.extend(scheduler::reports(seed));
    reports.extend(agent::reports(seed));
    reports.extend(frames::reports(seed));
    reports.extend(claims::reports(seed));
    reports.extend(hosts::reports(seed));
    reports.extend(rules::reports(seed));
    reports.extend(readers::reports(seed));
    reports.extend(dispatcher::reports(seed));
    reports.extend(stream::reports(seed));
    reports.extend(EXCHANGE_SIZES.iter().map(|&size| exchange(seed, size)));
    reports
}

fn exchange(seed: u64, size: (usize, usize, usize, usize)) -> Report {
    let (members, accounts, backlogged, rounds) = size;
    let cost = control_cost(members, accounts, backlogged, SERVICES, rounds);
    measure::report(seed, "entry", "exchange", members)
        .figure("accounts_count", accounts as f64)
        .figure("backlogged_count", backlogged as f64)
        .figure("sent_bytes_per_s", cost.max_bytes)
        .figure("sent_messages_per_s", cost.max_messages)
        .figure("round_us", cost.round_micros)
        .figure("period_ms", cost.period_ms as f64)
        .figure("state_bytes", cost.state_bytes as f64)
}
