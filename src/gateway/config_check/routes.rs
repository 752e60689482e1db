//! Checks of routes, and of services that routes do not use.

use std::collections::{HashMap, HashSet};
use std::net::Ipv6Addr;
use std::time::Duration;

use super::check_regions;
use super::draft::{Draft, Entry, Field};
use super::finding::{Fault, Finding};

/// Longest host name, in bytes (RFC 1035).
const MAX_HOST_BYTES: usize = 253;

/// Checks all routes, and that each service is used.
pub fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    let defined = defined_services(draft);
    let mut matches = HashMap::new();
    for route in &draft.routes {
        let mut report = |fault| findings.push(Finding::new(route, fault));
        check_match(route, &mut report);
        check_hidden(route, &mut matches, &mut report);
        check_services(route, defined.as_ref(), &mut report);
        check_times(route, &mut report);
        check_attempts(route, &mut report);
        check_regions(route, findings);
    }
    check_unused(draft, findings);
}

/// Names of the services; `None` if the list could not be read.
fn defined_services(draft: &Draft) -> Option<HashSet<&str>> {
    let names = draft.services.iter().map(|service| &*service.id.name);
    (!draft.whole.is_unreadable(Field::ServiceList)).then(|| names.collect())
}

/// Finds services that no route uses, if all routes could be read.
fn check_unused(draft: &Draft, findings: &mut Vec<Finding>) {
    let weights: Option<Vec<_>> = draft.routes.iter().map(Entry::weights).collect();
    let Some(weights) = weights.filter(|_| !draft.whole.is_unreadable(Field::Routes)) else {
        return;
    };
    let names = weights.into_iter().flatten().map(|(name, _)| &**name);
    let used: HashSet<&str> = names.collect();
    let named = |service: &&Entry| !service.id.name.is_empty();
    for service in draft.services.iter().filter(named) {
        if !used.contains(&*service.id.name) {
            findings.push(Finding::new(service, Fault::Unused));
        }
    }
}

fn check_match(route: &Entry, report: &mut impl FnMut(Fault)) {
    if route.id.name.is_empty() {
        report(Fault::Unnamed);
    }
    if let Some(authority) = route.text(Field::Authority).filter(|text| !is_host(text)) {
        report(Fault::Authority(authority.into()));
    }
    let whole = |prefix: &&str| prefix.starts_with('/') && prefix.ends_with('/');
    if let Some(prefix) = route.text(Field::PathPrefix).filter(|text| !whole(text)) {
        report(Fault::Prefix(prefix.into()));
    }
}

/// Finds a route whose requests an earlier one takes. Authorities are compared without regard to
/// case, as by [`Config::route`](crate::gateway::config::Config::route).
fn check_hidden<'a>(
    route: &'a Entry,
    earlier: &mut HashMap<(String, &'a str), &'a Entry>,
    report: &mut impl FnMut(Fault),
) {
    let authority = route.text(Field::Authority).map(str::to_ascii_lowercase);
    if let Some(key) = authority.zip(route.text(Field::PathPrefix)) {
        let first = *earlier.entry(key).or_insert(route);
        if !std::ptr::eq(first, route) {
            report(Fault::Hidden(first.id.clone()));
        }
    }
}

fn check_services(route: &Entry, defined: Option<&HashSet<&str>>, report: &mut impl FnMut(Fault)) {
    let Some(weights) = route.weights() else {
        return;
    };
    if weights.is_empty() {
        report(Fault::NoService);
    }
    for (name, weight) in weights {
        if defined.is_some_and(|names| !names.contains(&**name)) {
            report(Fault::UndefinedService(name.clone()));
        }
        if *weight == 0 {
            report(Fault::ZeroWeight(name.clone()));
        }
    }
    let sum: u64 = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if sum > u32::MAX.into() {
        report(Fault::WeightSum);
    }
}

fn check_times(route: &Entry, report: &mut impl FnMut(Fault)) {
    let Some(timeout) = route.number(Field::Timeout) else {
        return;
    };
    // A gateway takes a time that is negative or too large as 0.
    if Duration::try_from_secs_f64(timeout / 1e3)
        .unwrap_or_default()
        .is_zero()
    {
        report(Fault::NothingServed(Field::Timeout));
        return;
    }
    if route.number(Field::Objective).is_some_and(|ms| ms <= 0.0) {
        report(Fault::NotPositive(Field::Objective));
    }
    for field in [Field::Objective, Field::GapObjective] {
        if route.number(field).is_some_and(|ms| ms > timeout) {
            report(Fault::Above(field, Field::Timeout));
        }
    }
}

fn check_attempts(route: &Entry, report: &mut impl FnMut(Fault)) {
    let once = route.class().is_some_and(|class| !class.is_retryable());
    match route.count(Field::MaxAttempts) {
        Some(0) => report(Fault::NotPositive(Field::MaxAttempts)),
        Some(attempts @ 2..) if once => report(Fault::UnusedAttempts(attempts)),
        _ => {}
    }
}

/// Whether a text is a host name or an IP address, perhaps with a port.
fn is_host(authority: &str) -> bool {
    if let Some(rest) = authority.strip_prefix('[') {
        let Some((ip, port)) = rest.split_once(']') else {
            return false;
        };
        let has_port = port.strip_prefix(':').is_some_and(is_port);
        return ip.parse::<Ipv6Addr>().is_ok() && (port.is_empty() || has_port);
    }
    match authority.split_once(':') {
        Some((host, port)) => is_name(host) && is_port(port),
        None => is_name(authority),
    }
}

fn is_port(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit()) && text.parse::<u16>().is_ok_and(|port| port > 0)
}

fn is_name(host: &str) -> bool {
    let is_label = |label: &str| {
        let known = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        !label.is_empty() && label.bytes().all(known)
    };
    let host = host.strip_suffix('.').unwrap_or(host);
    host.len() <= MAX_HOST_BYTES && host.split('.').all(is_label)
}
