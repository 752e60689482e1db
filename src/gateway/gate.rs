//! What the parts of a gateway share: the configuration in force, what is believed of the targets,
//! and the budgets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use smallvec::SmallVec;

use crate::gateway::budget::{Allowance, Budget};
use crate::gateway::config::Config;
use crate::gateway::fair::Fair;
use crate::gateway::limiter::Limiter;
use crate::gateway::order::Order;
use crate::gateway::peers::wire::{GossipMessage, WireTargets};
use crate::gateway::peers::{Peers, TargetLoad};
use crate::gateway::place::{self, Ask, Choice};
use crate::gateway::pool::ConnectionPool;
use crate::gateway::suspects::Suspects;
use crate::gateway::targets::{Entry, Target, TargetKey, Targets};
use crate::telemetry::{Metrics, Telemetry};
use crate::units::{Clock, Micros};

/// Prompt tokens that an engine reads in a millisecond, until the configuration tells the pace of
/// all engines together.
const USUAL_RATE: f64 = 100.0;
/// Engines read faster than the pace at which they serve whole requests.
const READ_SHARE: f64 = 1.8;
/// How long after the first start of the whole system its targets keep hardly any prompt; requests
/// come some ten seconds after the start.
const WARM_UP: Micros = Micros::from_secs(12);

/// What the parts of a gateway share.
#[derive(Debug)]
pub struct Gate {
    /// The process's clock.
    pub clock: Clock,
    /// This host's availability zone.
    pub zone: Box<str>,
    /// Connections to targets.
    pub pool: ConnectionPool,
    config: ArcSwap<Config>,
    telemetry: Telemetry,
    /// Whether the targets start with this process.
    cold: bool,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    allowance: Allowance,
    fair: Fair,
    lines: Limiter,
    peers: Peers,
    /// Where the list of targets is read on; `None` while the platform does not answer.
    listed: Option<u64>,
    suspects: Suspects,
    targets: Targets,
    budgets: HashMap<Arc<str>, Budget>,
}

impl Gate {
    /// A gateway that knows no configuration and no target.
    pub fn new(zone: &str, allowance: Allowance) -> Self {
        Gate {
            clock: Clock::start(),
            zone: zone.into(),
            pool: ConnectionPool::default(),
            config: ArcSwap::default(),
            telemetry: Telemetry::disabled(),
            cold: false,
            state: Mutex::new(State {
                allowance,
                fair: Fair::default(),
                lines: Limiter::default(),
                peers: Peers::default(),
                listed: None,
                suspects: Suspects::default(),
                targets: Targets::default(),
                budgets: HashMap::new(),
            }),
        }
    }

    /// Whether the whole system starts for the first time, its targets included.
    pub fn cold(mut self, cold: bool) -> Self {
        self.cold = cold;
        self
    }

    /// Counts in this telemetry.
    pub fn counting(mut self, telemetry: Telemetry) -> Self {
        self.telemetry = telemetry;
        self
    }

    /// The process's counters and latencies.
    pub fn metrics(&self) -> &Metrics {
        self.telemetry.metrics()
    }

    /// Whether a line about a request may be logged; then how many were left out before it.
    pub fn may_log(&self) -> Option<u64> {
        let now = self.clock.now();
        self.lock().lines.take(now)
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

    /// Acts on what client accounts ask for and get.
    pub fn with_fair<T>(&self, act: impl FnOnce(&mut Fair) -> T) -> T {
        act(&mut self.lock().fair)
    }

    /// Acts on the other gateways.
    pub fn with_peers<T>(&self, act: impl FnOnce(&mut Peers) -> T) -> T {
        act(&mut self.lock().peers)
    }

    /// Notes where the list of targets is read on; `None` when the platform does not answer.
    pub fn set_listed(&self, next: Option<u64>) {
        self.lock().listed = next;
    }

    /// The list of targets, for a gateway that cannot read it.
    pub fn list(&self) -> WireTargets {
        let state = self.lock();
        let targets = state.targets.iter();
        let targets = targets.map(|target| (target.id.as_ref(), &target.entry));
        WireTargets::new(state.listed.unwrap_or_default(), targets)
    }

    /// What to tell the other gateways, and whom: of the loads only, unless the message is `whole`.
    pub fn round(
        &self,
        hello: GossipMessage,
        whole: bool,
    ) -> (GossipMessage, SmallVec<[SocketAddr; 8]>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        state.peers.expire(now);
        take_others(state, now);
        let busy = state.targets.iter().filter(|t| t.load.active > 0);
        let held = busy.map(|target| {
            let (active, prefill_tokens) = (target.load.active, target.load.prefill_tokens);
            (
                target.tag,
                TargetLoad {
                    active,
                    prefill_tokens,
                },
            )
        });
        let mut hello = hello.with_loads(held);
        hello.version = self.config.load().version;
        hello.reads_directory = state.listed.is_some();
        if whole {
            hello = hello.with_usage(state.fair.own(now));
            hello = hello.with_crashes(state.suspects.sightings(now));
            hello.peers = state.peers.sample();
        }
        (hello, state.peers.recipients())
    }

    /// Takes in what the other gateways told of their requests.
    pub fn take_others(&self, now: Micros) {
        take_others(&mut self.lock(), now);
    }

    /// Acts on the requests that seem to crash targets.
    pub fn with_suspects<T>(&self, act: impl FnOnce(&mut Suspects) -> T) -> T {
        act(&mut self.lock().suspects)
    }

    /// A request was answered in full.
    pub fn answered(&self, order: &Order) {
        let now = self.clock.now();
        self.with_suspects(|suspects| {
            if !suspects.is_empty() {
                suspects.answered(now, order.digest());
            }
        });
    }

    /// When a request that crashes targets may come back; `None`: it may be sent.
    pub fn held(&self, order: &Order) -> Option<Micros> {
        let now = self.clock.now();
        self.with_suspects(|suspects| match suspects.is_empty() {
            true => None,
            false => suspects.held(now, order.digest()),
        })
    }

    /// Tokens that all targets of the engines make a second.
    pub fn pace(&self) -> Option<f64> {
        self.config.load().limits.token_rate
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

    /// Chooses a target for a request, other than those that it was sent to before.
    pub fn choose(&self, order: &Order, tried: &[TargetKey]) -> Option<Choice> {
        let service = order.service.as_ref();
        let state = self.lock();
        let ask = Ask {
            service,
            prompt: order.prompt.as_ref(),
            zone: &self.zone,
            tried,
            rate: self.rate(service, &state.targets),
            aim: order.route.latency_objective.into(),
            presumes: !self.cold || self.clock.now() > WARM_UP,
            random: rand::random(),
        };
        place::choose(&state.targets, self.clock.now(), &ask)
    }

    /// How long the engines of a service have to read what is with them, on average.
    pub fn pressure(&self, service: &str) -> Micros {
        let state = self.lock();
        let keys = state.targets.of_service(service);
        let targets = keys.iter().filter_map(|&key| state.targets.get(key));
        let reading: f64 = targets.map(|target| target.load.all_reading()).sum();
        let rate = self.rate(service, &state.targets) * keys.len().max(1) as f64;
        Micros((reading / rate * 1_000.0) as u64)
    }

    /// A request of a service is sent for the first time.
    pub fn sent_first(&self, service: &Arc<str>) {
        self.with_budget(service, Budget::first);
    }

    /// Whether a request of a service may be sent once more.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        self.with_budget(service, Budget::take)
    }

    fn with_budget<T>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut Budget, Micros, &Allowance) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let allowance = state.allowance;
        let budget = state.budgets.entry(service.clone()).or_default();
        act(budget, now, &allowance)
    }

    /// Changes what may be sent once more.
    pub fn put_allowance(&self, allowance: Allowance) {
        self.lock().allowance = allowance;
    }

    /// Prompt tokens that an engine of a service reads in a millisecond.
    fn rate(&self, service: &str, targets: &Targets) -> f64 {
        let count = targets.of_service(service).len().max(1);
        match self.config.load().limits.token_rate {
            Some(tokens) => tokens / 1_000.0 / count as f64 * READ_SHARE,
            None => USUAL_RATE,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }
}

fn take_others(state: &mut State, now: Micros) {
    let heard = state.peers.has_recent(now);
    let load = state.peers.total_load(now);
    for target in state.targets.iter_mut() {
        let others = load.get(&target.tag).copied().unwrap_or_default();
        target.load.peer_load = heard.then_some(others);
    }
}
