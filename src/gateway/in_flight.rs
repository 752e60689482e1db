//! Accounting of requests in flight in their target's load.

use std::sync::Arc;

use crate::gateway::prompts::Prompt;
use crate::gateway::selection::Choice;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

/// A request in flight; it counts in its target's load until this value is dropped.
#[derive(Debug)]
pub struct InFlight {
    gateway: Arc<GatewayState>,
    /// Key of the target.
    pub target: TargetKey,
    /// Prompt tokens of the request that still count in the target's prefill backlog.
    pending_prefill: u64,
    /// Time at which the request was sent.
    pub sent: Micros,
    /// Expected time from sending to the first event.
    pub expected: Micros,
    /// Prompt tokens that the target was expected to prefill.
    pub prefill_tokens: u64,
}

impl InFlight {
    /// Adds a request to the load of the chosen target, and its prompt to the target's prefix
    /// cache.
    pub fn begin(gateway: &Arc<GatewayState>, choice: Choice, prompt: Option<&Prompt>) -> Self {
        let now = gateway.clock.now();
        gateway.with_target(choice.target, |target| {
            target.load.active += 1;
            target.load.prefill_tokens += choice.prefill_tokens;
            if let Some(prompt) = prompt {
                target.cache.insert(now, prompt);
            }
        });
        InFlight {
            gateway: gateway.clone(),
            target: choice.target,
            pending_prefill: choice.prefill_tokens,
            sent: now,
            expected: choice.expected,
            prefill_tokens: choice.prefill_tokens,
        }
    }

    /// Records that the target has started to answer: removes the request from the prefill backlog
    /// and records its latency.
    pub fn response_started(&mut self) {
        let now = self.gateway.clock.now();
        let (took, expected) = (now.saturating_sub(self.sent), self.expected);
        let pending = std::mem::take(&mut self.pending_prefill);
        self.gateway.with_target(self.target, |target| {
            target.load.prefill_tokens = target.load.prefill_tokens.saturating_sub(pending);
            target.load.record_latency(now, took, expected);
            target.load.record_success();
        });
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let pending = self.pending_prefill;
        self.gateway.with_target(self.target, |target| {
            target.load.active = target.load.active.saturating_sub(1);
            target.load.prefill_tokens = target.load.prefill_tokens.saturating_sub(pending);
        });
    }
}
