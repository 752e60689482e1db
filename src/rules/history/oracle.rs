use std::collections::HashSet;

use crate::log::{Page, Record as LogRecord};
use crate::rules::record::{EditId, Record, RulesVersion, TextDigest};

use super::Follower;

/// Every appended record with the current version after each, computed by a reference
/// implementation that has the complete stream.
#[derive(Clone, Debug)]
pub struct Oracle {
    pub records: Vec<LogRecord>,
    states: Vec<(u64, String)>,
    texts: Vec<String>,
    seen: HashSet<EditId>,
}

impl Default for Oracle {
    fn default() -> Self {
        Oracle {
            records: Vec::new(),
            states: vec![(0, String::new())],
            texts: vec![String::new()],
            seen: HashSet::new(),
        }
    }
}

impl Oracle {
    pub fn append(&mut self, data: bytes::Bytes) -> u64 {
        let offset = self.records.len() as u64;
        let (version, text) = self.states.last().expect("starts with one").clone();
        let next = self
            .apply_edit(version, &text, &data)
            .unwrap_or((version, text));
        if next.0 as usize == self.texts.len() {
            self.texts.push(next.1.clone());
        }
        self.states.push(next);
        self.records.push(LogRecord { offset, data });
        offset
    }

    fn apply_edit(&mut self, version: u64, text: &str, data: &[u8]) -> Option<(u64, String)> {
        let Ok(Record::Edit(edit)) = Record::decode(data) else {
            return None;
        };
        let text = edit.change.apply(text)?;
        let digest_matches = TextDigest::of(&text) == edit.digest;
        let accepted = edit.base == version && digest_matches && self.seen.insert(edit.id);
        accepted.then_some((version + 1, text))
    }

    pub fn page(&self, first: u64, from: u64, limit: usize) -> Page {
        let records: Vec<LogRecord> = self.records[from as usize..]
            .iter()
            .take(limit)
            .cloned()
            .collect();
        let next = from + records.len() as u64;
        Page {
            first,
            next,
            records,
        }
    }

    /// Checks that [`Follower::log_version`] is the version of the reference implementation at the
    /// reader's offset.
    pub fn check_logged(&self, reader: &Follower) -> Result<(), String> {
        let Some(logged) = reader.log_version() else {
            return Ok(());
        };
        let (version, text) = &self.states[reader.next_offset() as usize];
        let same = logged.version == *version && &*logged.text == text;
        same.then_some(()).ok_or_else(|| {
            format!(
                "at {}: {logged:?}, not {version} {text}",
                reader.next_offset()
            )
        })
    }

    /// Checks that the text of the reader's active version is the one accepted for that version.
    pub fn check_active(&self, reader: &Follower) -> Result<(), String> {
        let Some(active) = reader.active() else {
            return Ok(());
        };
        let text = self.texts.get(active.version as usize);
        let same = text.is_some_and(|text| *text == *active.text);
        same.then_some(())
            .ok_or_else(|| format!("{active:?} is active, accepted was {text:?}"))
    }
}

/// Checks that the active version does not decrease.
pub fn check_order(
    before: Option<&RulesVersion>,
    after: Option<&RulesVersion>,
) -> Result<(), String> {
    let number = |accepted: Option<&RulesVersion>| accepted.map_or(0, |accepted| accepted.version);
    let (before, after) = (number(before), number(after));
    (before <= after)
        .then_some(())
        .ok_or_else(|| format!("version {after} after {before}"))
}
