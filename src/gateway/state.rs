//! What the parts of a gateway share: the configuration in force, what is believed of the targets,
//! and the budgets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use smallvec::SmallVec;

use crate::gateway::config::Config;
use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::fair_share::FairShare;
use crate::gateway::log_limiter::LogLimiter;
use crate::gateway::peers::wire::{GossipMessage, WireTargets};
use crate::gateway::peers::{Peers, TargetLoad};
use crate::gateway::pool::ConnectionPool;
use crate::gateway::request::ClientRequest;
use crate::gateway::retry_budget::{RetryBudget, RetryLimits};
use crate::gateway::selection::{self, Choice, Criteria};
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
pub struct GatewayState {
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
    limits: RetryLimits,
    shares: FairShare,
    log_limiter: LogLimiter,
    peers: Peers,
    /// Where the list of targets is read on; `None` while the platform does not answer.
    list_offset: Option<u64>,
    crashes: CrashTracker,
    targets: Targets,
    budgets: HashMap<Arc<str>, RetryBudget>,
}

impl GatewayState {
    /// A gateway that knows no configuration and no target.
    pub fn new(zone: &str, limits: RetryLimits) -> Self {
        GatewayState {
            clock: Clock::start(),
            zone: zone.into(),
            pool: ConnectionPool::default(),
            config: ArcSwap::default(),
            telemetry: Telemetry::disabled(),
            cold: false,
            state: Mutex::new(State {
                limits,
                shares: FairShare::default(),
                log_limiter: LogLimiter::default(),
                peers: Peers::default(),
                list_offset: None,
                crashes: CrashTracker::default(),
                targets: Targets::default(),
                budgets: HashMap::new(),
            }),
        }
    }

    /// Whether the whole system starts for the first time, its targets included.
    pub fn cold_start(mut self, cold: bool) -> Self {
        self.cold = cold;
        self
    }

    /// Counts in this telemetry.
    pub fn with_telemetry(mut self, telemetry: Telemetry) -> Self {
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
        self.lock().log_limiter.try_log(now)
    }

    /// The configuration in force; its version is 0 while none is known.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Puts a configuration in force, unless a newer one is. Returns whether it was.
    pub fn apply_config(&self, config: Config) -> bool {
        let newer = config.version > self.config.load().version;
        if newer {
            self.config.store(Arc::new(config));
        }
        newer
    }

    /// Acts on what is believed of the targets.
    pub fn with_targets<T>(&self, act: impl FnOnce(&mut Targets) -> T) -> T {
        act(&mut self.lock().targets)
    }

    /// Acts on a target, if it is still there.
    pub fn with_target<T>(&self, key: TargetKey, act: impl FnOnce(&mut Target) -> T) -> Option<T> {
        self.lock().targets.get_mut(key).map(act)
    }

    /// Acts on what client accounts ask for and get.
    pub fn with_shares<T>(&self, act: impl FnOnce(&mut FairShare) -> T) -> T {
        act(&mut self.lock().shares)
    }

    /// Acts on the other gateways.
    pub fn with_peers<T>(&self, act: impl FnOnce(&mut Peers) -> T) -> T {
        act(&mut self.lock().peers)
    }

    /// Notes where the list of targets is read on; `None` when the platform does not answer.
    pub fn set_list_offset(&self, next: Option<u64>) {
        self.lock().list_offset = next;
    }

    /// The list of targets, for a gateway that cannot read it.
    pub fn target_list(&self) -> WireTargets {
        let state = self.lock();
        let targets = state.targets.iter();
        let targets = targets.map(|target| (target.id.as_ref(), &target.entry));
        WireTargets::new(state.list_offset.unwrap_or_default(), targets)
    }

    /// What to tell the other gateways, and whom: of the loads only, unless the message is `whole`.
    pub fn gossip_round(
        &self,
        hello: GossipMessage,
        whole: bool,
    ) -> (GossipMessage, SmallVec<[SocketAddr; 8]>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        state.peers.expire(now);
        update_peer_load(state, now);
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
        hello.reads_directory = state.list_offset.is_some();
        if whole {
            hello = hello.with_usage(state.shares.local_usage(now));
            hello = hello.with_crashes(state.crashes.events(now));
            hello.peers = state.peers.sample();
        }
        (hello, state.peers.recipients())
    }

    /// Takes in what the other gateways told of their requests.
    pub fn update_peer_load(&self, now: Micros) {
        update_peer_load(&mut self.lock(), now);
    }

    /// Acts on the requests that seem to crash targets.
    pub fn with_crashes<T>(&self, act: impl FnOnce(&mut CrashTracker) -> T) -> T {
        act(&mut self.lock().crashes)
    }

    /// A request was answered in full.
    pub fn record_success(&self, request: &ClientRequest) {
        let now = self.clock.now();
        self.with_crashes(|crashes| {
            if !crashes.is_empty() {
                crashes.clear(now, request.digest());
            }
        });
    }

    /// When a request that crashes targets may come back; `None`: it may be sent.
    pub fn quarantined_until(&self, request: &ClientRequest) -> Option<Micros> {
        let now = self.clock.now();
        self.with_crashes(|crashes| match crashes.is_empty() {
            true => None,
            false => crashes.quarantined_until(now, request.digest()),
        })
    }

    /// Tokens that all targets of the engines make a second.
    pub fn token_rate(&self) -> Option<f64> {
        self.config.load().limits.token_rate
    }

    /// Whether a target is in the list.
    pub fn is_listed(&self, key: TargetKey) -> bool {
        self.lock().targets.get(key).is_some()
    }

    /// What the list says of a target, and its id.
    pub fn target_entry(&self, key: TargetKey) -> Option<(Arc<str>, Entry)> {
        let state = self.lock();
        let target = state.targets.get(key)?;
        Some((target.id.clone(), target.entry.clone()))
    }

    /// Chooses a target for a request, other than those that it was sent to before.
    pub fn choose_target(&self, request: &ClientRequest, tried: &[TargetKey]) -> Option<Choice> {
        let service = request.service.as_ref();
        let state = self.lock();
        let criteria = Criteria {
            service,
            prompt: request.prompt.as_ref(),
            zone: &self.zone,
            tried,
            prefill_rate: self.prefill_rate(service, &state.targets),
            latency_objective: request.route.latency_objective.into(),
            assume_cached: !self.cold || self.clock.now() > WARM_UP,
            random: rand::random(),
        };
        selection::choose(&state.targets, self.clock.now(), &criteria)
    }

    /// How long the engines of a service have to read what is with them, on average.
    pub fn mean_backlog(&self, service: &str) -> Micros {
        let state = self.lock();
        let keys = state.targets.of_service(service);
        let targets = keys.iter().filter_map(|&key| state.targets.get(key));
        let reading: f64 = targets.map(|target| target.load.total_prefill()).sum();
        let rate = self.prefill_rate(service, &state.targets) * keys.len().max(1) as f64;
        Micros((reading / rate * 1_000.0) as u64)
    }

    /// A request of a service is sent for the first time.
    pub fn record_first_send(&self, service: &Arc<str>) {
        self.with_budget(service, RetryBudget::record_first);
    }

    /// Whether a request of a service may be sent once more.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        self.with_budget(service, RetryBudget::try_take)
    }

    fn with_budget<T>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut RetryBudget, Micros, &RetryLimits) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let limits = state.limits;
        let budget = state.budgets.entry(service.clone()).or_default();
        act(budget, now, &limits)
    }

    /// Changes what may be sent once more.
    pub fn set_retry_limits(&self, limits: RetryLimits) {
        self.lock().limits = limits;
    }

    /// Prompt tokens that an engine of a service reads in a millisecond.
    fn prefill_rate(&self, service: &str, targets: &Targets) -> f64 {
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

fn update_peer_load(state: &mut State, now: Micros) {
    let heard = state.peers.has_recent(now);
    let load = state.peers.total_load(now);
    for target in state.targets.iter_mut() {
        let others = load.get(&target.tag).copied().unwrap_or_default();
        target.load.peer_load = heard.then_some(others);
    }
}
