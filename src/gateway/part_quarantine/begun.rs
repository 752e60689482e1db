//! When requests with a prompt part last began to be answered, as this gateway has seen it.

use std::collections::HashMap;

use rustc_hash::FxBuildHasher;

use crate::units::Micros;

/// Maximum number of parts that are tracked.
const MAX_PARTS: usize = 4_096;
/// Time for which a begin is remembered while there is room for others.
const BEGIN_TTL: Micros = Micros::from_secs(10);

#[derive(Clone, Copy, Debug, Default)]
struct Begun {
    /// Latest time at which a request that began was sent.
    sent: Micros,
    /// Time at which the last one was seen to begin.
    seen: Micros,
}

/// The parts that have begun of late.
#[derive(Debug, Default)]
pub struct BegunParts {
    parts: HashMap<u64, Begun, FxBuildHasher>,
}

impl BegunParts {
    /// Records that a request with this part, sent at `sent`, has begun to be answered.
    pub fn record(&mut self, now: Micros, part: u64, sent: Micros) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.parts
                .retain(|_, begun| now.saturating_sub(begun.seen) < BEGIN_TTL);
            if self.parts.len() >= MAX_PARTS {
                return;
            }
        }
        let begun = self.parts.entry(part).or_default();
        begun.sent = begun.sent.max(sent);
        begun.seen = now;
    }

    /// Whether a request with this part that was sent after `at` has begun.
    pub fn sent_after(&self, part: u64, at: Micros) -> bool {
        self.parts.get(&part).is_some_and(|begun| begun.sent > at)
    }

    /// Whether a request with this part has been seen to begin at `at` or later.
    pub fn seen_since(&self, part: u64, at: Micros) -> bool {
        self.parts.get(&part).is_some_and(|begun| begun.seen >= at)
    }
}
