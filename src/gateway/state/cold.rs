//! What a gateway knows of cold targets, and the time slots granted to it at them.

use std::sync::Arc;
use std::time::UNIX_EPOCH;

use crate::gateway::cold_limit::ColdRule;
use crate::gateway::cold_limit::grants::GrantInput;
use crate::gateway::cold_probe::Answer;
use crate::gateway::config::Config;
use crate::gateway::peers::roster::key_of;
use crate::gateway::prompts::mix;
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::state::{GatewayState, State};
use crate::gateway::targets::TargetKey;
use crate::telemetry::Gauge;
use crate::units::Micros;

/// Minimum time from a target's last answer until it can have started again.
const MIN_RESTART_TIME: Micros = Micros::from_ms(100);

/// Time after its start in which a process with seeds hears of the other gateways. Until then, it sends
/// nothing to cold targets.
const ROSTER_TIME: Micros = Micros::from_secs(2);

/// The numbers of targets that began or ceased to count as cold at the same time.
#[derive(Debug, Default)]
pub struct ColdChanges {
    began: usize,
    ended: usize,
    /// Number of all cold targets.
    total: usize,
    /// One of the targets that changed.
    example: Option<Arc<str>>,
}

impl ColdChanges {
    /// Logs the changes in one line, since all targets of a zone may start together.
    pub fn log(&self) {
        let Some(example) = &self.example else {
            return;
        };
        spdlog::info!("cold targets", kv: {
            began = self.began, ended = self.ended, cold = self.total, target: = example.as_ref(),
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
        let recent = |at: Micros| now.saturating_sub(at) < MIN_RESTART_TIME;
        let last = self.with_target(key, |target| target.cold.last_answer());
        last.flatten().is_some_and(recent)
    }

    /// Records that a target has closed connections, as it does when it ends. Has no effect while the
    /// target is known to be cold.
    pub fn record_closed(&self, key: TargetKey) {
        let now = self.clock.now();
        self.with_target(key, |target| target.cold.closed(now));
    }

    /// Records that a connection to a target was opened, and what the target answered when it was asked
    /// for its cold time. A target that does not answer counts as cold, since it may just have started.
    pub fn record_reached(&self, key: TargetKey, answer: Answer, rule: &ColdRule) {
        let now = self.clock.now();
        self.with_target(key, |target| match answer {
            Answer::Told(remaining) => target.cold.reported(now, remaining),
            Answer::NotTold => target.cold.reached(now, rule.span),
            Answer::Failed if target.cold.is_cold(now) => {}
            Answer::Failed => target.cold.assume(now, rule.span),
            Answer::Moved => {}
        });
    }

    /// Assumes that the targets are cold in the zones whose evacuation has ended.
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

    /// Plans the time slots granted to this gateway at the cold targets.
    pub(super) fn plan_cold_grants(&self, state: &mut State, now: Micros) -> ColdChanges {
        let config = self.config.load();
        let (peers, targets) = (&state.peers, &mut state.targets);
        if config.limits_cold_targets() {
            state.roster.update(now, peers.signs(), peers.seeds());
        }
        // All gateways number the slots by the time of day, which the runtime's clock does not have.
        let wall = opentelemetry::time::now().duration_since(UNIX_EPOCH);
        let mut input = GrantInput {
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
            changes.total += usize::from(target.cold.is_cold(now));
            if let Some(is_cold) = changed {
                changes.began += usize::from(is_cold);
                changes.ended += usize::from(!is_cold);
                changes.example = Some(target.id.clone());
            }
        }
        self.metrics()
            .set_gauge(Gauge::ColdTargets, changes.total as i64);
        changes
    }
}

fn rule_of<'a>(config: &'a Config, service: &str) -> Option<&'a ColdRule> {
    config.service(service)?.cold.as_ref()
}
