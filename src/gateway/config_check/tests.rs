use std::time::{Duration, Instant};

use super::draft::{ApiKey, Draft, Entry, EntryId, Field, Kind, Setting};
use super::finding::{Fault, Finding};
use super::*;

/// Number of client accounts of the largest deployment that is planned for.
const ACCOUNTS: usize = 3_500;
const ROUTES: usize = 500;

fn entry(kind: Kind, index: usize, settings: impl IntoIterator<Item = (Field, Setting)>) -> Entry {
    let name = format!("e{index}").into();
    let mut entry = Entry::new(EntryId { kind, name, index });
    entry.settings.extend(settings);
    entry
}

fn regions(name: &str) -> (Field, Setting) {
    let names = [Box::from(name)].into_iter().collect();
    (Field::Regions, Setting::Regions(names))
}

fn route(index: usize) -> Entry {
    let text = |text: String| Setting::Text(text.into());
    let weights = [(Box::from("e0"), 1)].into_iter().collect();
    let settings = [
        (Field::Authority, text("a.example".to_owned())),
        (Field::PathPrefix, text(format!("/{index}/"))),
        (Field::Services, Setting::Weights(weights)),
        regions("visayas"),
    ];
    entry(Kind::Route, index, settings)
}

fn account(index: usize) -> Entry {
    let keys = (0..10).map(|key| ApiKey::from(Box::from(format!("{index}-{key}"))));
    let keys = (Field::ApiKeys, Setting::ApiKeys(keys.collect()));
    entry(Kind::Account, index, [keys, regions("luzon")])
}

/// Guards against a check that takes minutes, or prints millions of lines, for the largest
/// deployment: each account is restricted to another region than each route.
#[test]
fn largest_deployment_is_checked_in_seconds() {
    let mut draft = Draft {
        whole: Entry::new(EntryId::single(Kind::Whole)),
        routes: (0..ROUTES).map(route).collect(),
        services: vec![entry(Kind::Service, 0, [])],
        accounts: (0..ACCOUNTS).map(account).collect(),
        limits: Entry::new(EntryId::single(Kind::Limits)),
        faults: Vec::new(),
    };
    draft.accounts[ACCOUNTS - 1]
        .settings
        .extend(account(7).settings);
    let started = Instant::now();
    let report = check(&draft, Some(&draft));
    assert!(started.elapsed() < Duration::from_secs(10));
    assert_eq!(report.differences, Some(Vec::new()));
    let is_shared = |finding: &&Finding| matches!(finding.fault, Fault::SharedKey { .. });
    assert_eq!(report.findings.iter().filter(is_shared).count(), 10);
    assert_eq!(report.findings.len(), ACCOUNTS + 10);
}
