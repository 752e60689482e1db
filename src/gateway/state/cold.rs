//! What a gateway knows of cold targets, and its turns at them.

use std::sync::Arc;
use std::time::UNIX_EPOCH;

use crate::gateway::cold_limit::ColdRule;
use crate::gateway::cold_limit::turns::TurnsInput;
use crate::gateway::cold_probe::Answer;
use crate::gateway::config::Config;
use crate::gateway::peers::roster::key_of;
use crate::gateway::prompts::mix;
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::state::{GatewayState, State};
use crate::gateway::targets::TargetKey;
use crate::telemetry::Gauge;
use crate::units::Micros;

/// Time since its last answer in which a target cannot have started again.
const MIN_RESTART: Micros = Micros::from_ms(100);

/// Time after the start of a process in which it hears of the other gateways, if it has seeds. It
/// sends nothing to cold targets before.
const ROSTER_TIME: Micros = Micros::from_secs(2);

/// The targets that have turned cold or warm at once.
#[derive(Debug, Default)]
pub struct ColdChanges {
    began: usize,
    ended: usize,
    /// Number of all cold targets.
    cold: usize,
    /// One of those that changed.
    example: Option<Arc<str>>,
}

impl ColdChanges {
    /// Logs the changes in one line, since all targets of a zone may turn cold together.
    pub fn log(&self) {
        let Some(example) = &self.example else {
            return;
        };
        spdlog::info!("cold targets", kv: {
            began = self.began, ended = self.ended, cold = self.cold, target: = example.as_ref(),
        });
    }
}

impl GatewayState {
    /// Takes the room for one request at a target if it is cold. Returns `false` if there is none,
    /// or the target is no longer listed.
    pub fn take_cold_room(&self, key: TargetKey) -> bool {
        let now = self.clock.now();
        self.with_target(key, |target| target.cold.take(now)) == Some(true)
    }

    /// Whether a target has answered so recently that it cannot have started again since.
    pub fn has_just_answered(&self, key: TargetKey) -> bool {
        let now = self.clock.now();
        let recent = |at: Micros| now.saturating_sub(at) < MIN_RESTART;
        let last = self.with_target(key, |target| target.cold.last_answer());
        last.flatten().is_some_and(recent)
    }

    /// Records that a target has closed connections, as it does when it ends. Has no effect while it
    /// is known to be cold.
    pub fn record_closed(&self, key: TargetKey) {
        let now = self.clock.now();
        self.with_target(key, |target| target.cold.closed(now));
    }

    /// Records that a connection to a target was opened, and what the target said on it of its cold
    /// time. One that does not answer what it is asked counts as cold: it may just have started.
    pub fn record_reached(&self, key: TargetKey, answer: Answer, rule: &ColdRule) {
        let now = self.clock.now();
        self.with_target(key, |target| match answer {
            Answer::Told(remaining) => target.cold.told(now, remaining),
            Answer::NotTold => target.cold.reached(now, rule.span),
            Answer::Failed if target.cold.is_cold(now) => {}
            Answer::Failed => target.cold.assume(now, rule.span),
            Answer::Moved => {}
        });
    }

    /// Assumes that the targets of the zones are cold whose evacuation has ended.
    pub(super) fn assume_cold(&self, state: &mut State, before: &Evacuations) {
        let now = self.clock.now();
        let config = self.config.load();
        let restored = before
            .zones()
            .filter(|zone| !state.evacuations.contains(*zone));
        for zone in restored {
            let targets = state.targets.iter_mut();
            for target in targets.filter(|target| target.zone == zone) {
                if let Some(rule) = rule_of(&config, &target.entry.service) {
                    target.cold.assume(now, rule.span);
                }
            }
        }
    }

    /// Plans this gateway's turns at the cold targets.
    pub(super) fn plan_turns(&self, state: &mut State, now: Micros) -> ColdChanges {
        let config = self.config.load();
        let (peers, targets) = (&state.peers, &mut state.targets);
        if config.limits_cold_targets() {
            state.roster.update(now, peers.signs(), peers.seeds());
        }
        // The gateways number the slots alike only by the time of day, which the runtime does not have.
        let wall = opentelemetry::time::now().duration_since(UNIX_EPOCH);
        let mut input = TurnsInput {
            wall: wall.unwrap_or_default().into(),
            me: key_of(&peers.me().addr),
            others: state.roster.keys(),
            target: 0,
            knows_fleet: peers.seeds().is_empty() || now >= ROSTER_TIME,
        };
        let mut changes = ColdChanges::default();
        for target in targets.iter_mut() {
            input.target = mix(u64::from(target.tag.0));
            let rule = rule_of(&config, &target.entry.service);
            let changed = target.cold.plan(now, rule, &input);
            changes.cold += usize::from(target.cold.is_cold(now));
            if let Some(is_cold) = changed {
                changes.began += usize::from(is_cold);
                changes.ended += usize::from(!is_cold);
                changes.example = Some(target.id.clone());
            }
        }
        self.metrics()
            .set_gauge(Gauge::ColdTargets, changes.cold as i64);
        changes
    }
}

fn rule_of<'a>(config: &'a Config, service: &str) -> Option<&'a ColdRule> {
    config.service(service)?.cold.as_ref()
}
