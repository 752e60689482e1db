//! Slopes of the rules: reading the file, the table, the history of edits.

use std::fmt::Write;

use bytes::Bytes;

use super::slope::{held, line, nanos};
use crate::bench::report::Report;
use crate::log::{Page, Record as Appended};
use crate::rules::change::Change;
use crate::rules::record::TextDigest;
use crate::rules::renew::Timing;
use crate::rules::{Edit, EditId, Follower, KeyDigest, Record, Table, parse};
use crate::units::Micros;

const SERVICES: usize = 17;
/// Readings of the file in a measurement of time.
const STEPS: usize = 3;
/// Accounts of the measurement of edits.
const ACCOUNTS: usize = 3_500;

/// All slopes of the rules.
pub fn lines(seed: u64) -> Vec<Report> {
    let mut lines = Vec::new();
    lines.extend([350, 1_400, 3_500].map(|n| file(seed, n)));
    lines.extend([10, 40, 160].map(|n| edits(seed, n)));
    lines
}

fn file(seed: u64, accounts: usize) -> Report {
    let text = text(accounts, 200);
    let rules = parse(&text).expect("the rules are well formed");
    let (_table, bytes) = held(|| rules.table(&Table::default(), 1));
    let read = nanos(STEPS, |_| drop(parse(&text)));
    let table = nanos(STEPS, |_| drop(rules.table(&Table::default(), 1)));
    line(seed, "rules", "rules: account", accounts)
        .figure("text_bytes_each", text.len() as f64 / accounts as f64)
        .figure("table_bytes_each", bytes / accounts as f64)
        .figure("read_us_each", read / 1e3 / accounts as f64)
        .figure("table_us_each", table / 1e3 / accounts as f64)
}

/// Edits of one line each, followed one by one.
fn edits(seed: u64, count: usize) -> Report {
    let texts: Vec<String> = (0..=count).map(|n| text(ACCOUNTS, 200 + n)).collect();
    let pages: Vec<Page> = (0..count).map(|n| page(&texts, n)).collect();
    let mut follower = Follower::new(Timing::random());
    let start = tokio::time::Instant::now();
    let (_, bytes) = held(|| {
        for page in &pages {
            follower.apply_page(page, Micros::ZERO);
        }
    });
    let each = start.elapsed().as_micros() as f64 / count as f64;
    assert_eq!(
        follower.counts().accepted,
        count as u64,
        "every edit counts"
    );
    let record = pages.last().map_or(0, |p| p.records[0].data.len());
    line(
        seed,
        "rules",
        "rules: edit of one line at 3500 accounts",
        count,
    )
    .figure("state_bytes", bytes)
    .figure("record_bytes", record as f64)
    .figure("decide_us", each)
}

fn page(texts: &[String], n: usize) -> Page {
    let before = if n == 0 { "" } else { &texts[n] };
    let offset = n as u64;
    Page {
        first: 0,
        next: offset + 1,
        records: vec![Appended {
            offset,
            data: edit(before, &texts[n + 1], offset),
        }],
    }
}

/// The record of an edit of the version `base`.
pub(super) fn edit(before: &str, after: &str, base: u64) -> Bytes {
    let edit = Edit {
        id: EditId(base + 1),
        base,
        author: "operator".into(),
        change: Change::between(before, after),
        digest: TextDigest::of(after),
    };
    Record::Edit(edit).encode()
}

/// A file whose middle account has this queue limit.
pub(super) fn text(accounts: usize, queue: usize) -> String {
    let mut text = String::new();
    for at in 0..accounts {
        let limit = if at == accounts / 2 { queue } else { 200 };
        account(&mut text, at, limit).expect("a string takes all text");
    }
    for at in 0..SERVICES {
        writeln!(text, "service service-{at:03} slots=8  # the help desk")
            .expect("a string takes all text");
    }
    text
}

fn account(text: &mut String, at: usize, limit: usize) -> std::fmt::Result {
    let digest = hex::encode(KeyDigest::of(&at.to_be_bytes()).0);
    write!(text, "account account-{at:05} key-sha256={digest}")?;
    writeln!(text, " queue={limit} body=1MiB  # the help desk")
}
