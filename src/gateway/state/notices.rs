//! What targets announce in their answers to this gateway.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::notices::Notice;
use crate::gateway::request_log::{self, NoticeSource};
use crate::gateway::state::GatewayState;
use crate::gateway::targets::Entry;

impl GatewayState {
    /// Records that the run of a target that `entry` describes is leaving.
    pub fn record_leaving(&self, id: &Arc<str>, entry: &Entry) {
        if self.record_notice(id, entry, Notice::Leaving) {
            request_log::target_leaving(id, NoticeSource::Answer);
        }
    }

    /// Records that the run of a target that `entry` describes wants no requests from this gateway
    /// for a time.
    pub fn record_pause(&self, id: &Arc<str>, entry: &Entry, pause: Duration) {
        if self.record_notice(id, entry, Notice::Pause(pause)) {
            request_log::target_paused(self, id, pause);
        }
    }

    /// Returns whether the notice begins to hold: the target had not announced this before, or not
    /// for the present time.
    fn record_notice(&self, id: &Arc<str>, entry: &Entry, notice: Notice) -> bool {
        let now = self.clock.now();
        self.with_targets(|targets| targets.record_notice(now, id, entry, notice))
    }
}

#[cfg(test)]
mod tests;
