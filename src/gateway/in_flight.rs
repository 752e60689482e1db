//! Requests that are with a target count in its load.

use std::sync::Arc;

use crate::gateway::prompts::Prompt;
use crate::gateway::selection::Choice;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

/// A request that is with a target, in the target's load until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    gateway: Arc<GatewayState>,
    /// The target.
    pub target: TargetKey,
    /// Prompt tokens that the target has yet to read.
    reading: u64,
    /// When it was sent.
    pub sent: Micros,
    /// When its first event was expected, after it was sent.
    pub expected: Micros,
    /// Prompt tokens that the target was taken to have to read for it.
    pub prefill_tokens: u64,
}

impl InFlight {
    /// A request is about to go to a target.
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
            reading: choice.prefill_tokens,
            sent: now,
            expected: choice.expected,
            prefill_tokens: choice.prefill_tokens,
        }
    }

    /// The target has begun to answer.
    pub fn response_started(&mut self) {
        let now = self.gateway.clock.now();
        let (took, expected) = (now.saturating_sub(self.sent), self.expected);
        let reading = std::mem::take(&mut self.reading);
        self.gateway.with_target(self.target, |target| {
            target.load.prefill_tokens = target.load.prefill_tokens.saturating_sub(reading);
            target.load.record_latency(now, took, expected);
            target.load.record_success();
        });
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let reading = self.reading;
        self.gateway.with_target(self.target, |target| {
            target.load.active = target.load.active.saturating_sub(1);
            target.load.prefill_tokens = target.load.prefill_tokens.saturating_sub(reading);
        });
    }
}
