//! Entries of the target list that go missing around an outage of the platform.

use std::collections::HashMap;

use crate::units::Micros;

/// How long after an outage a missing entry is kept: targets could not renew their entries while
/// the list was unavailable, and need this time to write them again.
const OUTAGE_GRACE: Micros = Micros::from_ms(2_200);

/// Entries that are missing from the list after an outage, during which targets could not renew
/// them. They are kept until the grace period ends.
#[derive(Debug, Default)]
pub struct MissingEntries {
    grace_end: Micros,
    entries: HashMap<Box<str>, Micros>,
}

impl MissingEntries {
    /// Starts the grace period; called when the list can be read again after an outage.
    pub fn outage_ended(&mut self, now: Micros) {
        self.grace_end = now + OUTAGE_GRACE;
    }

    /// Whether an entry that goes missing now is kept until the end of the grace period.
    pub fn in_grace_period(&self, now: Micros) -> bool {
        now < self.grace_end
    }

    /// Records a missing entry.
    pub fn add(&mut self, id: &str) {
        self.entries.insert(id.into(), self.grace_end);
    }

    /// Forgets an entry that is listed again.
    pub fn forget(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Removes and returns the entries whose grace period has ended.
    pub fn take_expired(&mut self, now: Micros) -> Vec<Box<str>> {
        let is_due = |until: &Micros| now >= *until;
        let expired: Vec<Box<str>> = self
            .entries
            .iter()
            .filter(|(_, until)| is_due(until))
            .map(|(id, _)| id.clone())
            .collect();
        self.entries.retain(|_, until| !is_due(until));
        expired
    }
}

#[cfg(test)]
mod tests;
