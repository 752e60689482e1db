//! What a gateway learns of crashes, and whom it holds back for them.

use crate::gateway::crash_tracker::BrokenRequest;
use crate::gateway::part_quarantine::QuarantineChange;
use crate::gateway::request::ClientRequest;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

impl GatewayState {
    /// Records that the connection to a target broke off after a request was sent.
    pub fn record_broken(&self, target: TargetKey, request: BrokenRequest) {
        let now = self.clock.now();
        self.lock().crashes.record_broken(now, target, request);
    }

    /// Records that a target cannot be reached. Returns the requests that it has crashed with; there
    /// are none if it has not crashed.
    pub fn record_unreachable(&self, key: TargetKey) -> Vec<BrokenRequest> {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let crashed = state.crashes.record_unreachable(now, key);
        if let Some(target) = state.targets.get(key) {
            let crash = target.crash_tag();
            state.parts.record_crash(now, crash, &crashed);
            state.requests.record_crash(now, crash, &crashed);
        }
        crashed
    }

    /// Records that a request, sent at `sent`, has begun to be answered.
    pub fn record_begin(&self, request: &ClientRequest, sent: Micros) {
        let Some(prompt) = &request.prompt else {
            return;
        };
        let now = self.clock.now();
        let parts = prompt.shared_parts();
        self.lock().parts.record_begin(now, sent, parts);
    }

    /// Returns the changes of the quarantine of prompt parts since the last call.
    pub fn take_quarantine_changes(&self) -> Vec<QuarantineChange> {
        self.lock().parts.take_changes()
    }

    /// Records that a request was answered in full, after this time since its arrival, which clears
    /// it of suspected crashes.
    pub fn record_success(&self, request: &ClientRequest, took: Micros) {
        let now = self.clock.now();
        let suspects = !self.lock().requests.is_empty();
        let digest = (suspects || request.is_short()).then(|| request.digest());
        let mut state = self.lock();
        if let Some(digest) = digest {
            state.requests.record_answer(now, digest);
        }
        state.times.record(&request.route.name, took);
    }

    /// Returns the remaining quarantine of a request that crashes targets, or that holds a prompt
    /// part which does; `None` if it may be sent.
    pub fn remaining_quarantine(&self, request: &ClientRequest) -> Option<Micros> {
        let now = self.clock.now();
        let mut state = self.lock();
        let prompt = request.prompt.as_ref();
        let parts = prompt.and_then(|prompt| state.parts.remaining(now, prompt.shared_parts()));
        if state.requests.is_empty() {
            return parts;
        }
        let whole = state.requests.remaining(now, request.digest());
        parts.max(whole)
    }

    /// Number of crashes that count against a request.
    pub fn crashes_of(&self, request: &ClientRequest) -> usize {
        let now = self.clock.now();
        let state = self.lock();
        match state.requests.is_empty() {
            true => 0,
            false => state.requests.crashes(now, request.digest()),
        }
    }
}
