//! What a target ran: how often each body, and the highest fencing number seen for it.

use std::collections::{HashMap, VecDeque};

/// Most ids that are remembered; the oldest are forgotten first.
pub const MAX_IDS: usize = 100_000;
/// Longest id, in bytes; longer ones are cut.
pub const MAX_ID_BYTES: usize = 256;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    count: u64,
    fence: Option<u64>,
}

/// The request carries an older fencing number than another of the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// Runs by id, which is the first line of the request's body.
#[derive(Debug, Default)]
pub struct Runs {
    seen: HashMap<String, Seen>,
    order: VecDeque<String>,
}

impl Runs {
    /// Counts a run.
    pub fn begin(&mut self, id: &str) {
        self.entry(id).count += 1;
    }

    /// Notes a fencing number.
    ///
    /// # Errors
    /// [`Fenced`] when a higher one was seen for the id.
    pub fn check_fence(&mut self, id: &str, fence: u64) -> Result<(), Fenced> {
        let seen = self.entry(id);
        if seen.fence.is_some_and(|highest| fence < highest) {
            return Err(Fenced);
        }
        seen.fence = Some(fence);
        Ok(())
    }

    /// How often the id was run.
    pub fn count(&self, id: &str) -> u64 {
        self.seen.get(id).map_or(0, |seen| seen.count)
    }

    fn entry(&mut self, id: &str) -> &mut Seen {
        if !self.seen.contains_key(id) {
            if self.order.len() == MAX_IDS
                && let Some(oldest) = self.order.pop_front()
            {
                self.seen.remove(&oldest);
            }
            self.order.push_back(id.to_owned());
        }
        self.seen.entry(id.to_owned()).or_default()
    }
}

/// The id of a body: its first line, up to [`MAX_ID_BYTES`].
pub fn id_of(body: &[u8]) -> String {
    let line = body.split(|&byte| byte == b'\n').next().unwrap_or(&[]);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let line = &line[..line.len().min(MAX_ID_BYTES)];
    String::from_utf8_lossy(line).into_owned()
}
