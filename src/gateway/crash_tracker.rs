//! Tells crashes of targets from other broken connections.
//!
//! Targets also reset connections for other reasons, so a broken connection alone is no crash; it
//! counts as one if the target cannot be reached soon after. What the requests on these connections
//! are suspected of is for [`super::request_quarantine`] and [`super::part_quarantine`] to say.
//!
//! Performs no I/O.

use std::collections::VecDeque;

use crate::claim::Digest;
use crate::gateway::prompts::PartIds;
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

/// A target that is unreachable within this time after a connection broke off has crashed.
const CRASH_WINDOW: Micros = Micros::from_secs(2);
/// Maximum number of broken connections that are tracked: as many as a large host has to targets.
const MAX_BROKEN: usize = 4_096;

/// A request whose connection to its target broke off.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Digest of the request.
    pub digest: Digest,
    /// Shared parts of its prompt.
    pub parts: PartIds,
    /// Time at which it was sent.
    pub sent: Micros,
    /// Time at which its connection broke off.
    pub broken: Micros,
    /// Whether the target had begun to answer it.
    pub began: bool,
}

#[derive(Clone, Debug)]
struct Broken {
    target: TargetKey,
    request: BrokenRequest,
}

/// The connections that have broken off of late.
#[derive(Debug, Default)]
pub struct CrashTracker {
    broken: VecDeque<Broken>,
}

impl CrashTracker {
    /// Records that the connection to a target broke off after a request was sent.
    pub fn record_broken(&mut self, now: Micros, target: TargetKey, request: BrokenRequest) {
        self.expire(now);
        if self.broken.len() == MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken { target, request });
    }

    /// Records that a target cannot be reached. Returns the requests whose connections to it broke
    /// off recently; there are none if the target has not crashed.
    pub fn record_unreachable(&mut self, now: Micros, target: TargetKey) -> Vec<BrokenRequest> {
        self.expire(now);
        let mut requests: Vec<BrokenRequest> = Vec::new();
        self.broken.retain(|broken| {
            let same_target = broken.target == target;
            if same_target {
                requests.push(broken.request.clone());
            }
            !same_target
        });
        requests
    }

    fn expire(&mut self, now: Micros) {
        let old = |broken: &Broken| now.saturating_sub(broken.request.broken) > CRASH_WINDOW;
        while self.broken.front().is_some_and(old) {
            self.broken.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
