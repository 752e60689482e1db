//! Checks of the limits, and of those of services.

use std::time::Duration;

use super::draft::{Draft, Entry, Field};
use super::finding::{Fault, Finding};
use crate::gateway::config::Limits;

/// Checks the limits on client connections and requests.
pub fn check(limits: &Entry, findings: &mut Vec<Finding>) {
    let mut report = |fault| findings.push(Finding::new(limits, fault));
    if limits.count(Field::MaxBody) == Some(0) {
        report(Fault::NotPositive(Field::MaxBody));
    }
    let defaults = Limits::default();
    let time = |field, default| limits.count(field).map_or(default, Duration::from_millis);
    let head = time(Field::HeadTimeout, defaults.head_timeout);
    if head > time(Field::IdleTimeout, defaults.idle_timeout) {
        report(Fault::Above(Field::HeadTimeout, Field::IdleTimeout));
    }
    if limits
        .number(Field::TokenRate)
        .is_some_and(|rate| rate <= 0.0)
    {
        report(Fault::NotPositive(Field::TokenRate));
    }
}

/// Checks the limits of the services.
pub fn check_services(draft: &Draft, findings: &mut Vec<Finding>) {
    for service in &draft.services {
        let mut report = |fault| findings.push(Finding::new(service, fault));
        let has = |field| service.settings.contains_key(&field);
        if has(Field::ColdRate) && !has(Field::ColdSpan) {
            report(Fault::Without(Field::ColdRate, Field::ColdSpan));
        }
        if service.count(Field::Slots) == Some(0) {
            report(Fault::NotPositive(Field::Slots));
        }
    }
}
