//! What the parts of a gateway share: the configuration in force, what is believed of the targets,
//! and the budgets.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;

use crate::gateway::budget::{Allowance, Budget};
use crate::gateway::config::Config;
use crate::gateway::links::Links;
use crate::gateway::place::{self, Ask, Choice};
use crate::gateway::prompts::Prompt;
use crate::gateway::targets::{Entry, Target, TargetKey, Targets};
use crate::units::{Clock, Micros};

/// Prompt tokens that an engine reads in a millisecond, until the configuration tells the pace of
/// all engines together.
const USUAL_RATE: f64 = 100.0;
/// Engines read faster than the pace at which they serve whole requests.
const READ_SHARE: f64 = 1.8;

/// What the parts of a gateway share.
#[derive(Debug)]
pub struct Gate {
    /// The process's clock.
    pub clock: Clock,
    /// This host's availability zone.
    pub zone: Box<str>,
    /// Connections to targets.
    pub links: Links,
    config: ArcSwap<Config>,
    allowance: Allowance,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    targets: Targets,
    budgets: HashMap<Arc<str>, Budget>,
}

impl Gate {
    /// A gateway that knows no configuration and no target.
    pub fn new(zone: &str, allowance: Allowance) -> Self {
        Gate {
            clock: Clock::start(),
            zone: zone.into(),
            links: Links::default(),
            config: ArcSwap::default(),
            allowance,
            state: Mutex::default(),
        }
    }

    /// The configuration in force; its version is 0 while none is known.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Puts a configuration in force, unless a newer one is. Returns whether it was.
    pub fn put_config(&self, config: Config) -> bool {
        let newer = config.version > self.config.load().version;
        if newer {
            self.config.store(Arc::new(config));
        }
        newer
    }

    /// Acts on what is believed of the targets.
    pub fn with<T>(&self, act: impl FnOnce(&mut Targets) -> T) -> T {
        act(&mut self.lock().targets)
    }

    /// Acts on a target, if it is still there.
    pub fn on_target<T>(&self, key: TargetKey, act: impl FnOnce(&mut Target) -> T) -> Option<T> {
        self.lock().targets.get_mut(key).map(act)
    }

    /// Whether a target is in the list.
    pub fn lives(&self, key: TargetKey) -> bool {
        self.lock().targets.get(key).is_some()
    }

    /// What the list says of a target, and its id.
    pub fn entry(&self, key: TargetKey) -> Option<(Arc<str>, Entry)> {
        let state = self.lock();
        let target = state.targets.get(key)?;
        Some((target.id.clone(), target.entry.clone()))
    }

    /// Chooses a target for a request.
    pub fn choose(
        &self,
        service: &str,
        prompt: Option<&Prompt>,
        tried: &[TargetKey],
    ) -> Option<Choice> {
        let state = self.lock();
        let ask = Ask {
            service,
            prompt,
            zone: &self.zone,
            tried,
            rate: self.rate(service, &state.targets),
            random: rand::random(),
        };
        place::choose(&state.targets, self.clock.now(), &ask)
    }

    /// A request of a service is sent for the first time.
    pub fn sent_first(&self, service: &Arc<str>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.first(now, &self.allowance);
    }

    /// Whether a request of a service may be sent once more.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let budget = state.budgets.entry(service.clone()).or_default();
        budget.take(now, &self.allowance)
    }

    /// Prompt tokens that an engine of a service reads in a millisecond.
    fn rate(&self, service: &str, targets: &Targets) -> f64 {
        let count = targets.of(service).len().max(1);
        match self.config.load().limits.tokens {
            Some(tokens) => tokens / 1_000.0 / count as f64 * READ_SHARE,
            None => USUAL_RATE,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }
}

/// A request that is with a target, in the target's load until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    gate: Arc<Gate>,
    /// The target.
    pub target: TargetKey,
    /// Prompt tokens that the target has yet to read.
    reading: u64,
    sent: Micros,
    expected: Micros,
}

impl InFlight {
    /// A request is about to go to a target.
    pub fn begin(gate: &Arc<Gate>, choice: Choice, prompt: Option<&Prompt>) -> Self {
        let now = gate.clock.now();
        gate.on_target(choice.target, |target| {
            target.load.active += 1;
            target.load.reading += choice.unread;
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
        }
    }

    /// The target has begun to answer.
    pub fn begun(&mut self) {
        let now = self.gate.clock.now();
        let (took, expected) = (now.saturating_sub(self.sent), self.expected);
        let reading = std::mem::take(&mut self.reading);
        self.gate.on_target(self.target, |target| {
            target.load.reading = target.load.reading.saturating_sub(reading);
            target.load.timed(took, expected);
            target.load.answered(now);
        });
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let reading = self.reading;
        self.gate.on_target(self.target, |target| {
            target.load.active = target.load.active.saturating_sub(1);
            target.load.reading = target.load.reading.saturating_sub(reading);
        });
    }
}
