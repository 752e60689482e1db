//! Costs of the rules: parsing the file, building the table, and following edits.

use std::fmt::Write;

use bytes::Bytes;

use super::measure::{heap_growth, min_step_ns, report};
use crate::bench::report::Report;
use crate::log::{Page, Record as LogRecord};
use crate::rules::change::Change;
use crate::rules::record::TextDigest;
use crate::rules::renew::Timing;
use crate::rules::{Edit, EditId, Follower, KeyDigest, Record, Table, parse};
use crate::units::Micros;

const SERVICES: usize = 17;
/// Parses of the file per run of a time measurement.
const STEPS: usize = 3;
/// Accounts in the measurement of edits.
const ACCOUNTS: usize = 3_500;

/// Measures all costs of the rules.
pub fn reports(seed: u64) -> Vec<Report> {
    let mut reports = Vec::new();
    reports.extend([350, 1_400, 3_500].map(|n| file(seed, n)));
    reports.extend([10, 40, 160].map(|n| edits(seed, n)));
    reports
}

fn file(seed: u64, accounts: usize) -> Report {
    let text = rules_text(accounts, 200);
    let rules = parse(&text).expect("the rules are well formed");
    let (_table, bytes) = heap_growth(|| rules.table(&Table::default(), 1));
    let parse_ns = min_step_ns(STEPS, |_| drop(parse(&text)));
    let table_ns = min_step_ns(STEPS, |_| drop(rules.table(&Table::default(), 1)));
    report(seed, "rules", "rules: account", accounts)
        .figure("text_bytes_each", text.len() as f64 / accounts as f64)
        .figure("table_bytes_each", bytes / accounts as f64)
        .figure("read_us_each", parse_ns / 1e3 / accounts as f64)
        .figure("table_us_each", table_ns / 1e3 / accounts as f64)
}

/// Applies edits of one line each, one after the other.
fn edits(seed: u64, count: usize) -> Report {
    let texts: Vec<String> = (0..=count).map(|n| rules_text(ACCOUNTS, 200 + n)).collect();
    let pages: Vec<Page> = (0..count).map(|n| edit_page(&texts, n)).collect();
    let mut follower = Follower::new(Timing::random());
    let start = tokio::time::Instant::now();
    let (_, bytes) = heap_growth(|| {
        for page in &pages {
            follower.apply_page(page, Micros::ZERO);
        }
    });
    let apply_us = start.elapsed().as_micros() as f64 / count as f64;
    assert_eq!(
        follower.counts().accepted,
        count as u64,
        "every edit is accepted"
    );
    let record = pages.last().map_or(0, |p| p.records[0].data.len());
    report(
        seed,
        "rules",
        "rules: edit of one line at 3500 accounts",
        count,
    )
    .figure("state_bytes", bytes)
    .figure("record_bytes", record as f64)
    .figure("decide_us", apply_us)
}

fn edit_page(texts: &[String], n: usize) -> Page {
    let before = if n == 0 { "" } else { &texts[n] };
    let offset = n as u64;
    Page {
        first: 0,
        next: offset + 1,
        records: vec![LogRecord {
            offset,
            data: edit_record(before, &texts[n + 1], offset),
        }],
    }
}

/// Encodes the record of an edit that is based on version `base`.
pub(super) fn edit_record(before: &str, after: &str, base: u64) -> Bytes {
    let edit = Edit {
        id: EditId(base + 1),
        base,
        author: "operator".into(),
        change: Change::between(before, after),
        digest: TextDigest::of(after),
    };
    Record::Edit(edit).encode()
}

/// Rules text in which the middle account has this queue limit, and all others have 200.
pub(super) fn rules_text(accounts: usize, queue: usize) -> String {
    let mut text = String::new();
    for index in 0..accounts {
        let limit = if index == accounts / 2 { queue } else { 200 };
        write_account(&mut text, index, limit).expect("writing to a string does not fail");
    }
    for index in 0..SERVICES {
        writeln!(text, "service service-{index:03} slots=8  # the help desk")
            .expect("writing to a string does not fail");
    }
    text
}

fn write_account(text: &mut String, index: usize, limit: usize) -> std::fmt::Result {
    let digest = hex::encode(KeyDigest::of(&index.to_be_bytes()).0);
    write!(text, "account account-{index:05} key-sha256={digest}")?;
    writeln!(text, " queue={limit} body=1MiB  # the help desk")
}
