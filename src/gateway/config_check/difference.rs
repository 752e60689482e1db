//! Differences between two configurations, field by field.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use super::draft::{ApiKey, Draft, Entry, EntryId, Field, Setting};

/// A difference of an entry. Its text is one line.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The entry.
    pub entry: EntryId,
    /// What is different.
    pub change: Change,
}

/// What is different in an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Only the new configuration has the entry.
    Added,
    /// Only the old configuration has the entry.
    Removed,
    /// A field has another value; `None` where it is not given.
    Field {
        /// The field.
        field: Field,
        /// Its value in the old configuration.
        before: Option<Setting>,
        /// Its value in the new configuration.
        after: Option<Setting>,
    },
    /// A client account has other API keys.
    ApiKeys {
        /// Number of API keys that only the new configuration has.
        added: usize,
        /// Number of API keys that only the old configuration has.
        removed: usize,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        let shown = |setting: &Option<Setting>| match setting {
            Some(setting) => setting.to_string(),
            None => "not given".to_owned(),
        };
        match &self.change {
            Change::Added => write!(f, "added: {entry}"),
            Change::Removed => write!(f, "removed: {entry}"),
            Change::Field {
                field,
                before,
                after,
            } => {
                let (before, after) = (shown(before), shown(after));
                write!(f, "changed: {entry}: {field}: {before} -> {after}")
            }
            Change::ApiKeys { added, removed } => {
                let field = Field::ApiKeys;
                write!(
                    f,
                    "changed: {entry}: {field}: {added} added, {removed} removed"
                )
            }
        }
    }
}

/// Lists the differences of two configurations. Entries with the same name are compared; of several
/// with the same name, or without one, the first with the first, and so on.
pub fn differences(before: &Draft, after: &Draft) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_entry(&before.whole, &after.whole, &mut found);
    compare_list(&before.routes, &after.routes, &mut found);
    compare_list(&before.services, &after.services, &mut found);
    compare_list(&before.accounts, &after.accounts, &mut found);
    compare_entry(&before.limits, &after.limits, &mut found);
    found
}

fn compare_list(before: &[Entry], after: &[Entry], found: &mut Vec<Difference>) {
    let (before, after) = (by_name(before), by_name(after));
    let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for key in keys {
        match (before.get(key), after.get(key)) {
            (Some(before), Some(after)) => compare_entry(before, after, found),
            (Some(before), None) => found.push(whole(before, Change::Removed)),
            (None, after) => found.extend(after.map(|after| whole(after, Change::Added))),
        }
    }
}

/// Entries by name, and by their place among those with the same name.
fn by_name(entries: &[Entry]) -> BTreeMap<(&str, usize), &Entry> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let keyed = entries.iter().map(|entry| {
        let count = counts.entry(&entry.id.name).or_default();
        *count += 1;
        ((&*entry.id.name, *count), entry)
    });
    keyed.collect()
}

fn whole(entry: &Entry, change: Change) -> Difference {
    Difference {
        entry: entry.id.clone(),
        change,
    }
}

fn compare_entry(before: &Entry, after: &Entry, found: &mut Vec<Difference>) {
    let fields = before.settings.keys().chain(after.settings.keys());
    for &field in fields.collect::<BTreeSet<_>>() {
        let change = match field {
            Field::ApiKeys => compare_keys(before.api_keys(), after.api_keys()),
            field => compare_field(field, before, after),
        };
        found.extend(change.map(|change| whole(after, change)));
    }
}

fn compare_field(field: Field, before: &Entry, after: &Entry) -> Option<Change> {
    let [before, after] = [before, after].map(|entry| entry.settings.get(&field).cloned());
    (before != after).then_some(Change::Field {
        field,
        before,
        after,
    })
}

fn compare_keys(before: &[ApiKey], after: &[ApiKey]) -> Option<Change> {
    let [before, after] = [before, after].map(|keys| keys.iter().collect::<BTreeSet<_>>());
    let added = after.difference(&before).count();
    let removed = before.difference(&after).count();
    (added + removed > 0).then_some(Change::ApiKeys { added, removed })
}
