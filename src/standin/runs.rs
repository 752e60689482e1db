//! Record of the requests that a target ran: run count and highest fencing number per id.

use std::collections::{HashMap, VecDeque};

/// Maximum number of recorded ids. The oldest are evicted first.
pub const MAX_IDS: usize = 100_000;
/// Maximum length of an id, in bytes. Longer ids are truncated.
pub const MAX_ID_BYTES: usize = 256;

#[derive(Clone, Copy, Debug, Default)]
struct RunRecord {
    count: u64,
    fence: Option<u64>,
}

/// The fencing number of a request is lower than one seen before for the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleFence;

/// Runs by id. The id is the first line of the request body.
#[derive(Debug, Default)]
pub struct Runs {
    records: HashMap<String, RunRecord>,
    ids: VecDeque<String>,
}

impl Runs {
    /// Counts a run of the id.
    pub fn record_run(&mut self, id: &str) {
        self.record_mut(id).count += 1;
    }

    /// Checks and records a fencing number.
    ///
    /// # Errors
    /// Returns an error if a higher fencing number was seen for the id.
    pub fn check_fence(&mut self, id: &str, fence: u64) -> Result<(), StaleFence> {
        let record = self.record_mut(id);
        if record.fence.is_some_and(|highest| fence < highest) {
            return Err(StaleFence);
        }
        record.fence = Some(fence);
        Ok(())
    }

    /// Returns the number of runs of the id.
    pub fn count(&self, id: &str) -> u64 {
        self.records.get(id).map_or(0, |record| record.count)
    }

    fn record_mut(&mut self, id: &str) -> &mut RunRecord {
        if !self.records.contains_key(id) {
            if self.ids.len() == MAX_IDS
                && let Some(oldest) = self.ids.pop_front()
            {
                self.records.remove(&oldest);
            }
            self.ids.push_back(id.to_owned());
        }
        self.records.entry(id.to_owned()).or_default()
    }
}

/// Returns the id of a request body: its first line, up to [`MAX_ID_BYTES`].
pub fn body_id(body: &[u8]) -> String {
    let line = body.split(|&byte| byte == b'\n').next().unwrap_or(&[]);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let line = &line[..line.len().min(MAX_ID_BYTES)];
    String::from_utf8_lossy(line).into_owned()
}
