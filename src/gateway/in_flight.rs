//! Requests that are with a target count in its load.

use std::sync::Arc;

use crate::gateway::gate::Gate;
use crate::gateway::place::Choice;
use crate::gateway::prompts::Prompt;
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

/// A request that is with a target, in the target's load until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    gate: Arc<Gate>,
    /// The target.
    pub target: TargetKey,
    /// Prompt tokens that the target has yet to read.
    reading: u64,
    /// When it was sent.
    pub sent: Micros,
    /// When its first event was expected, after it was sent.
    pub expected: Micros,
    /// Prompt tokens that the target was taken to have to read for it.
    pub unread: u64,
}

impl InFlight {
    /// A request is about to go to a target.
    pub fn begin(gate: &Arc<Gate>, choice: Choice, prompt: Option<&Prompt>) -> Self {
        let now = gate.clock.now();
        gate.on_target(choice.target, |target| {
            target.load.active += 1;
            target.load.prefill_tokens += choice.unread;
            if let Some(prompt) = prompt {
                target.kept.read(now, prompt);
            }
        });
        InFlight {
            gate: gate.clone(),
            target: choice.target,
            reading: choice.unread,
            sent: now,
            expected: choice.expected,
            unread: choice.unread,
        }
    }

    /// The target has begun to answer.
    pub fn begun(&mut self) {
        let now = self.gate.clock.now();
        let (took, expected) = (now.saturating_sub(self.sent), self.expected);
        let reading = std::mem::take(&mut self.reading);
        self.gate.on_target(self.target, |target| {
            target.load.prefill_tokens = target.load.prefill_tokens.saturating_sub(reading);
            target.load.timed(now, took, expected);
            target.load.answered();
        });
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let reading = self.reading;
        self.gate.on_target(self.target, |target| {
            target.load.active = target.load.active.saturating_sub(1);
            target.load.prefill_tokens = target.load.prefill_tokens.saturating_sub(reading);
        });
    }
}
