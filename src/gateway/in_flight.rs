//! Tracks requests in flight as part of their target's load.

use std::sync::Arc;

use crate::gateway::prompts::Prompt;
use crate::gateway::selection::Choice;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

/// Guard of a request in flight: its target's load includes the request until this is dropped.
#[derive(Debug)]
pub struct InFlight {
    gateway: Arc<GatewayState>,
    /// The target that the request was sent to.
    pub target: TargetKey,
    /// Prompt tokens of the request that the target's prefill backlog still includes; 0 once the
    /// first event has arrived.
    pending_prefill: u64,
    /// Time at which the request was sent.
    pub sent: Micros,
    /// What was expected when the target was chosen.
    pub choice: Choice,
    /// Transfer of the prompt's prefix that is under way; `None` once the first event has arrived.
    transfer: Option<Outgoing>,
}

/// A transfer that is part of its source's load.
#[derive(Clone, Copy, Debug)]
struct Outgoing {
    source: TargetKey,
    tokens: u64,
}

impl InFlight {
    /// Adds a request to the load of the chosen target, and its prompt, if any, to the gateway's
    /// model of the target's prefix cache.
    pub fn begin(gateway: &Arc<GatewayState>, choice: Choice, prompt: Option<&Prompt>) -> Self {
        let now = gateway.clock.now();
        let transfer = choice.source.zip(prompt).map(|(source, prompt)| Outgoing {
            source,
            tokens: prompt.shared_tokens(),
        });
        if let Some(Outgoing { source, tokens }) = transfer {
            gateway.with_target(source, |source| source.load.outgoing_tokens += tokens);
        }
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
            choice,
            transfer,
        }
    }

    /// Target from which the prompt's prefix is fetched; `None` if it is not, or the first event has
    /// arrived.
    pub fn source(&self) -> Option<TargetKey> {
        self.transfer.map(|transfer| transfer.source)
    }

    /// Ends the transfer of the prefix.
    fn end_transfer(&mut self) {
        if let Some(Outgoing { source, tokens }) = self.transfer.take() {
            self.gateway.with_target(source, |source| {
                let queued = &mut source.load.outgoing_tokens;
                *queued = queued.saturating_sub(tokens);
            });
        }
    }

    /// Records that the first event, or the whole of a response without events, has arrived:
    /// removes the request from the target's prefill backlog, records the time since sending as the
    /// target's latency, and resets the target's count of failures.
    pub fn record_first_event(&mut self) {
        self.end_transfer();
        let now = self.gateway.clock.now();
        let (took, expected) = (now.saturating_sub(self.sent), self.choice.expected);
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
        self.end_transfer();
        let pending = self.pending_prefill;
        self.gateway.with_target(self.target, |target| {
            target.load.active = target.load.active.saturating_sub(1);
            target.load.prefill_tokens = target.load.prefill_tokens.saturating_sub(pending);
        });
    }
}
