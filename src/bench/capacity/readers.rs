//! Time from the append of an edit until every reader has applied it, including the log and HTTP.

use tokio::net::TcpListener;
use tokio::time::Instant;

use super::measure::{report, runtime};
use super::rules::{edit_record, rules_text};
use crate::bench::heap;
use crate::bench::report::Report;
use crate::log::{Client, Log, RULES};
use crate::rules::renew::Timing;
use crate::rules::service::{Handle, spawn};
use crate::standin::Platform;

/// Records that the log of the platform stand-in retains.
const LOG_RECORDS: usize = 1_024;
/// Accounts in the rules. A record of the stand-in's log cannot hold the text of more accounts.
const ACCOUNTS: usize = 1_500;
/// Timed edits. The minimum time is reported.
const EDITS: usize = 3;

/// Measures several numbers of readers. The log and all its readers share one thread.
pub fn reports(seed: u64) -> Vec<Report> {
    let sizes = [1, 8, 32];
    sizes.map(|n| runtime().block_on(readers(seed, n))).to_vec()
}

async fn readers(seed: u64, count: usize) -> Report {
    let log = start_log().await;
    let texts: Vec<String> = (0..=EDITS).map(|n| rules_text(ACCOUNTS, 200 + n)).collect();
    append(&log, "", &texts[0], 0).await;
    let before = heap::live_bytes();
    let handles: Vec<Handle> = (0..count)
        .map(|_| spawn(log.clone(), Timing::random()))
        .collect();
    wait_in_force(&handles, 1).await;
    let bytes = (heap::live_bytes() - before) as f64;
    let mut best_us = f64::MAX;
    for n in 1..=EDITS {
        let start = Instant::now();
        append(&log, &texts[n - 1], &texts[n], n as u64).await;
        wait_in_force(&handles, n as u64 + 1).await;
        best_us = best_us.min(start.elapsed().as_micros() as f64);
    }
    report(seed, "rules", "rules: readers of an edit", count)
        .figure("accounts_count", ACCOUNTS as f64)
        .figure("bytes_each", bytes / count as f64)
        .figure("in_force_everywhere_ms", best_us / 1e3)
        .figure("in_force_ms_per_reader", best_us / 1e3 / count as f64)
}

async fn start_log() -> Client {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(Platform::new(LOG_RECORDS).serve(listener));
    Client::new(address)
}

async fn append(log: &Client, before: &str, after: &str, base: u64) {
    let record = edit_record(before, after, base);
    log.append(RULES, record)
        .await
        .expect("the log accepts the record");
}

async fn wait_in_force(handles: &[Handle], version: u64) {
    for handle in handles {
        let mut table = handle.table();
        let result = table.wait_for(|t| t.version() >= version).await;
        result.expect("the reader runs");
    }
}
