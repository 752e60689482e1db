//! Checks of client accounts.

use std::collections::HashMap;

use super::check_regions;
use super::draft::{ApiKey, Draft, Entry, Field};
use super::finding::{Fault, Finding};

/// Checks all client accounts.
pub fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut holders = HashMap::new();
    for account in &draft.accounts {
        if account.api_keys().is_empty() && !account.is_unreadable(Field::ApiKeys) {
            findings.push(Finding::new(account, Fault::NoKey));
        }
        check_keys(account, &mut holders, findings);
        check_regions(account, findings);
        check_shared_regions(account, draft, findings);
    }
}

/// Finds API keys that an earlier account holds, or that the account holds twice.
fn check_keys<'a>(
    account: &'a Entry,
    holders: &mut HashMap<&'a ApiKey, &'a Entry>,
    findings: &mut Vec<Finding>,
) {
    for (key, text) in (1..).zip(account.api_keys()) {
        let fault = match holders.insert(text, account) {
            None => continue,
            Some(holder) if std::ptr::eq(holder, account) => Fault::RepeatedKey(key),
            Some(holder) => Fault::SharedKey {
                key,
                other: holder.id.clone(),
            },
        };
        findings.push(Finding::new(account, fault));
    }
}

/// Finds routes on which no region is allowed to the client account. They make one finding, since
/// there may be thousands of pairs.
fn check_shared_regions(account: &Entry, draft: &Draft, findings: &mut Vec<Finding>) {
    let Some(allowed) = restriction(account) else {
        return;
    };
    let disjoint = |names: &[Box<str>]| !names.iter().any(|name| allowed.contains(name));
    let routes = draft.routes.iter();
    let mut routes = routes.filter(|route| restriction(route).is_some_and(disjoint));
    if let Some(first) = routes.next() {
        let (route, others) = (first.id.clone(), routes.count());
        let fault = Fault::DisjointRegions { route, others };
        findings.push(Finding::new(account, fault));
    }
}

/// Regions to which an entry is restricted; an empty list restricts nothing.
fn restriction(entry: &Entry) -> Option<&[Box<str>]> {
    entry.regions().filter(|names| !names.is_empty())
}
