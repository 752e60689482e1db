//! Replays the load that notices answer: requests at full rate while a target leaves, targets are
//! overloaded one after the other, and old copies of the list come in between.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::advance;

use super::entry;
use crate::gateway::regions::AllowedZones;
use crate::gateway::request::tests::{config, request};
use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::Entry;
use crate::gateway::versions::VersionRule;
use crate::units::Micros;

const TARGETS: usize = 4;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(5);
/// Time from a request to its answer.
const ANSWER_TIME: Micros = Micros::from_ms(60);
/// Number of requests in [`WINDOW`] beyond which a target asks for a pause: little more than its part.
const MAX_IN_WINDOW: usize = 7;
const WINDOW: Micros = Micros::from_ms(100);
const PAUSE: Duration = Duration::from_secs(1);
/// The first target leaves at this time, and its next run starts at [`RESTARTS_AT`].
const LEAVES_AT: Micros = Micros::from_secs(2);
const RESTARTS_AT: Micros = Micros::from_secs(6);
const END: Micros = Micros::from_secs(9);

/// An answer that is under way.
struct Answer {
    due: Micros,
    target: usize,
    entry: Entry,
    leaving: bool,
    overloaded: bool,
}

#[derive(Default)]
struct Simulation {
    answers: VecDeque<Answer>,
    /// Times of the requests to each target.
    requests: [Vec<Micros>; TARGETS],
    /// Times at which the gateway got an answer that asks for a pause.
    pauses: [Vec<Micros>; TARGETS],
    /// Time at which the gateway first got an answer that says the first target is leaving.
    left: Option<Micros>,
    /// Number of requests that found no target because all had asked for a pause.
    all_paused: usize,
}

fn id(target: usize) -> Arc<str> {
    Arc::from(format!("t{target}"))
}

fn current(target: usize, now: Micros) -> Entry {
    let restarted = target == 0 && now >= RESTARTS_AT;
    entry(if restarted { 2 } else { 1 })
}

impl Simulation {
    /// Sends a request, as the gateway does, and prepares the target's answer.
    fn send(&mut self, gateway: &GatewayState, now: Micros) {
        let Some(choice) = gateway.choose_target(&request(), &[], VersionRule::Any) else {
            self.all_paused +=
                usize::from(gateway.pause_of_all("desk", &AllowedZones::All).is_some());
            return;
        };
        assert!(gateway.may_send_to(choice.target, VersionRule::Any));
        let (id, entry) = gateway.target_entry(choice.target).expect("it is listed");
        let target: usize = id[1..].parse().expect("ids end with a number");
        let requests = &mut self.requests[target];
        requests.push(now);
        let recent = requests.iter().filter(|at| now - **at < WINDOW).count();
        self.answers.push_back(Answer {
            due: now + ANSWER_TIME,
            target,
            leaving: target == 0 && now >= LEAVES_AT && now < RESTARTS_AT,
            overloaded: recent > MAX_IN_WINDOW,
            entry,
        });
    }

    /// Processes the answers that have arrived.
    fn receive(&mut self, gateway: &GatewayState, now: Micros) {
        while self.answers.front().is_some_and(|answer| answer.due <= now) {
            let answer = self.answers.pop_front().expect("there is one");
            if answer.leaving {
                gateway.record_leaving(&id(answer.target), &answer.entry);
                self.left.get_or_insert(now);
            }
            if answer.overloaded {
                gateway.record_pause(&id(answer.target), &answer.entry, PAUSE);
                self.pauses[answer.target].push(now);
            }
        }
    }

    fn requests_between(&self, target: usize, from: Micros, to: Micros) -> usize {
        let requests = self.requests[target].iter();
        requests.filter(|at| (from..to).contains(*at)).count()
    }
}

/// The list changes: every 300 ms an entry of the present run; every 700 ms the entry is removed and
/// put back, as after a copy of an older list.
fn change_list(gateway: &GatewayState, step: usize, now: Micros) {
    for target in 0..TARGETS {
        let entry = Entry {
            slots: 4 + (step % 2) as u32,
            ..current(target, now)
        };
        gateway.with_targets(|targets| {
            if step.is_multiple_of(140) {
                targets.remove(&id(target));
            }
            if step.is_multiple_of(60) || step.is_multiple_of(140) {
                targets.put(&id(target), entry);
            }
        });
    }
}

/// Guards against requests to a target that has left or pauses, whatever the load and the list say.
#[tokio::test(start_paused = true)]
async fn no_notice_is_ignored_under_load() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: Micros::from_secs(10),
    };
    let gateway = GatewayState::new("a", limits);
    gateway.apply_config(config(1, "/read/", "desk", "school-key"));
    let mut simulation = Simulation::default();
    let mut step = 0;
    while gateway.clock.now() < END {
        let now = gateway.clock.now();
        change_list(&gateway, step, now);
        simulation.receive(&gateway, now);
        simulation.send(&gateway, now);
        step += 1;
        advance(INTERVAL).await;
    }
    let left = simulation.left.expect("the target said that it is leaving");
    assert_eq!(simulation.requests_between(0, left, RESTARTS_AT), 0);
    assert!(simulation.requests_between(0, RESTARTS_AT, END) > 0);
    for (target, pauses) in simulation.pauses.iter().enumerate() {
        assert!(!pauses.is_empty(), "target {target} is overloaded");
        for &from in pauses {
            let to = from + PAUSE.into();
            let to = if target == 0 && from < RESTARTS_AT {
                to.min(RESTARTS_AT)
            } else {
                to
            };
            assert_eq!(simulation.requests_between(target, from, to), 0);
        }
    }
    assert!(simulation.all_paused > 0, "all targets pause at once");
}
