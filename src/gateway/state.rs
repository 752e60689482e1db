//! State shared by all tasks of a gateway: the active configuration, the known targets and their
//! estimated load, peer reports, and retry budgets.

mod cold;
mod crashes;
mod ending;
mod engines;
mod evacuations;
mod exchange;
mod notices;
mod regions;
mod streams;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::config::Config;
use crate::gateway::connection_limits::ConnectionLimits;
use crate::gateway::copies::Copies;
use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::fair_share::FairShare;
use crate::gateway::grace::RequestTimes;
use crate::gateway::log_limiter::LogLimiter;
use crate::gateway::overload::Overload;
use crate::gateway::part_quarantine::PartQuarantine;
use crate::gateway::peers::Peers;
use crate::gateway::peers::member::{Member, ZoneTag};
use crate::gateway::peers::roster::Roster;
use crate::gateway::peers::wire_targets::{Cursor, WireTargets};
use crate::gateway::pool::ConnectionPool;
use crate::gateway::position::Era;
use crate::gateway::regions::{AllowedZones, RegionTable, log_findings};
use crate::gateway::request::ClientRequest;
use crate::gateway::request_quarantine::RequestQuarantine;
use crate::gateway::reservation::ReservationContext;
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::restrictions::{self, Restriction};
use crate::gateway::retry_budget::{RetryBudget, RetryLimits};
use crate::gateway::selection::{self, Choice, Criteria};
use crate::gateway::service_demand::{ServiceDemand, ServiceTag};
use crate::gateway::stream_book::StreamBook;
use crate::gateway::stream_questions::StreamQuestions;
use crate::gateway::targets::{Entry, Target, TargetKey, Targets};
use crate::gateway::version_history::VersionHistory;
use crate::gateway::versions::VersionRule;
use crate::settings::EngineSettings;
use crate::telemetry::{Metrics, Telemetry};
use crate::units::{Clock, Micros};

/// Prefill rate per engine, in tokens per millisecond, that is assumed if the configuration does
/// not give the token rate of all engines.
const DEFAULT_PREFILL_RATE: f64 = 100.0;
/// Ratio of an engine's prefill rate to its rate over whole requests: prefill is faster.
const PREFILL_SPEEDUP: f64 = 1.8;

/// State shared by all tasks of a gateway.
#[derive(Debug)]
pub struct GatewayState {
    /// The process's clock.
    pub clock: Clock,
    /// This host's availability zone.
    pub zone: Box<str>,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// Bytes that are held for requests.
    pub bytes: ByteBudget,
    /// Notified when other gateways have reported their state.
    pub reports: Notify,
    /// Notified when a message on streams is to be sent.
    pub stream_sends: Notify,
    /// Notified when other gateways have told of streams.
    pub stream_answers: Notify,
    /// Random id of this process.
    pub boot: u64,
    /// Cancelled at the end of the grace period, when running requests must get their final answer.
    grace_over: CancellationToken,
    config: ArcSwap<Config>,
    /// The regions of the zones, from the settings.
    regions: ArcSwap<RegionTable>,
    telemetry: Telemetry,
    /// Whether the targets were started together with this process.
    cold: bool,
    engines: EngineSettings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limits: RetryLimits,
    shares: FairShare,
    log_limiter: LogLimiter,
    shed_log: LogLimiter,
    peers: Peers,
    roster: Roster,
    copies: Copies,
    overload: Overload,
    crashes: CrashTracker,
    requests: RequestQuarantine,
    parts: PartQuarantine,
    demand: ServiceDemand,
    times: RequestTimes,
    /// End of the grace period; `None` unless the gateway shuts down.
    grace_end: Option<Micros>,
    targets: Targets,
    /// Time of the first client request.
    first_request: Option<Micros>,
    evacuations: Evacuations,
    versions: VersionHistory,
    streams: StreamBook,
    questions: StreamQuestions,
    budgets: HashMap<Arc<str>, RetryBudget>,
}

impl GatewayState {
    /// Creates the state with no configuration and no targets.
    pub fn new(zone: &str, limits: RetryLimits) -> Self {
        GatewayState {
            clock: Clock::start(),
            zone: zone.into(),
            pool: ConnectionPool::default(),
            bytes: ByteBudget::default(),
            reports: Notify::new(),
            stream_sends: Notify::new(),
            stream_answers: Notify::new(),
            boot: rand::random(),
            grace_over: CancellationToken::new(),
            config: ArcSwap::default(),
            regions: ArcSwap::default(),
            telemetry: Telemetry::disabled(),
            cold: false,
            engines: EngineSettings::default(),
            state: Mutex::new(State {
                limits,
                shares: FairShare::default(),
                log_limiter: LogLimiter::default(),
                shed_log: LogLimiter::few_lines(),
                peers: Peers::new(unknown_member(zone), [].into_iter()),
                roster: Roster::default(),
                copies: Copies::default(),
                overload: Overload::default(),
                crashes: CrashTracker::default(),
                requests: RequestQuarantine::default(),
                parts: PartQuarantine::default(),
                demand: ServiceDemand::default(),
                times: RequestTimes::default(),
                grace_end: None,
                targets: Targets::default(),
                first_request: None,
                evacuations: Evacuations::default(),
                versions: VersionHistory::default(),
                streams: StreamBook::default(),
                questions: StreamQuestions::default(),
                budgets: HashMap::new(),
            }),
        }
    }

    /// Sets whether the whole system, including its targets, is starting for the first time.
    pub fn cold_start(mut self, cold: bool) -> Self {
        self.cold = cold;
        self
    }

    /// Sets the limits of this process's connections.
    pub fn with_limits(mut self, limits: ConnectionLimits) -> Self {
        self.pool = ConnectionPool::new(limits);
        self
    }

    /// Sets the limit of the bytes that are held for requests.
    pub fn with_bytes(mut self, bytes: ByteBudget) -> Self {
        self.bytes = bytes;
        self
    }

    /// Sets which abilities of engines are used.
    pub fn with_engines(mut self, engines: EngineSettings) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the telemetry to record to.
    pub fn with_telemetry(mut self, telemetry: Telemetry) -> Self {
        self.telemetry = telemetry;
        self
    }

    /// Returns the counters and latency histograms of this process.
    pub fn metrics(&self) -> &Metrics {
        self.telemetry.metrics()
    }

    /// Returns how many log lines were suppressed since the last one if a request may log a line
    /// now, `None` if the line must be suppressed.
    pub fn may_log(&self) -> Option<u64> {
        let now = self.clock.now();
        self.lock().log_limiter.try_log(now)
    }

    /// As [`GatewayState::may_log`], for requests that are turned away because of overload.
    pub fn may_log_shed(&self) -> Option<u64> {
        let now = self.clock.now();
        self.lock().shed_log.try_log(now)
    }

    /// Returns the active configuration; its version is 0 until one has been loaded.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Activates `config` if it is newer than the active configuration. Returns whether it was.
    pub fn apply_config(&self, config: Config) -> bool {
        let newer = config.version > self.config.load().version;
        if newer {
            log_findings(&config, &self.regions.load());
            self.config.store(Arc::new(config));
        }
        newer
    }

    /// Runs `act` on the target table.
    pub fn with_targets<T>(&self, act: impl FnOnce(&mut Targets) -> T) -> T {
        act(&mut self.lock().targets)
    }

    /// Runs `act` on a target; returns `None` if it is no longer listed.
    pub fn with_target<T>(&self, key: TargetKey, act: impl FnOnce(&mut Target) -> T) -> Option<T> {
        self.lock().targets.get_mut(key).map(act)
    }

    /// Runs `act` on the usage of client accounts.
    pub fn with_shares<T>(&self, act: impl FnOnce(&mut FairShare) -> T) -> T {
        act(&mut self.lock().shares)
    }

    /// Runs `act` on the table of peer gateways.
    pub fn with_peers<T>(&self, act: impl FnOnce(&mut Peers) -> T) -> T {
        act(&mut self.lock().peers)
    }

    /// Records how late a periodic task of this process ran.
    pub fn record_lag(&self, lag: Micros) {
        self.lock().overload.record_lag(lag);
    }

    /// Whether another gateway of this zone is alive.
    pub fn has_neighbours(&self) -> bool {
        let now = self.clock.now();
        self.with_peers(|peers| peers.has_neighbours(now))
    }

    /// How far this process is behind its work.
    pub fn overload(&self) -> Overload {
        self.lock().overload
    }

    /// Runs `act` on the state of this gateway's copies of the platform's lists.
    pub fn with_copies<T>(&self, act: impl FnOnce(&mut Copies) -> T) -> T {
        act(&mut self.lock().copies)
    }

    /// Returns the list of targets, or what has changed since the copy `seen`.
    pub fn target_list(&self, seen: Option<Cursor>) -> WireTargets {
        let now = self.clock.now();
        let state = self.lock();
        WireTargets::new(now, self.boot, &state.targets, seen)
    }

    /// Returns the token rate of all engines together, in tokens per second; `None` if it is not
    /// configured.
    pub fn token_rate(&self) -> Option<f64> {
        self.config.load().limits.token_rate
    }

    /// Returns whether a target is still listed.
    pub fn is_listed(&self, key: TargetKey) -> bool {
        self.lock().targets.get(key).is_some()
    }

    /// Whether a target is listed, is of one of these versions, and may be sent requests now.
    pub fn may_send_to(&self, key: TargetKey, versions: VersionRule) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let target = state.targets.get(key);
        let target = target.filter(|target| versions.allows(target.version));
        target.is_some_and(|target| state.restriction(target, now).is_none())
    }

    /// Returns the newest era of the platform's lists that is known here.
    pub fn list_era(&self) -> Era {
        let state = self.lock();
        let targets = state.targets.view().complete_to().era;
        targets.max(state.evacuations.as_of.era)
    }

    /// Returns a target's id and list entry; `None` if it is no longer listed.
    pub fn target_entry(&self, key: TargetKey) -> Option<(Arc<str>, Entry)> {
        let state = self.lock();
        let target = state.targets.get(key)?;
        Some((target.id.clone(), target.entry.clone()))
    }

    /// Chooses a target of these versions for a request, excluding those in `tried`; `None` if none is
    /// left.
    pub fn choose_target(
        &self,
        request: &ClientRequest,
        tried: &[TargetKey],
        versions: VersionRule,
    ) -> Option<Choice> {
        let service = request.service.as_ref();
        let zones = self.allowed_zones(request);
        let state = self.lock();
        let criteria = Criteria {
            service,
            prompt: request.prompt.as_ref(),
            zone: &self.zone,
            tried,
            versions,
            evacuations: &state.evacuations,
            allowed_zones: &zones,
            prefill_rate: self.prefill_rate(service, &state.targets),
            transfer_rate: self.transfer_rate(service),
            reservations: match &request.prompt {
                Some(_) => self.reservation_context(&state, service, &zones),
                None => ReservationContext::default(),
            },
            latency_objective: request.route.latency_objective.into(),
            body_bytes: request.body_len() as u64,
            emptied: state.first_request.filter(|_| self.cold),
            random: rand::random(),
        };
        selection::choose(&state.targets, self.clock.now(), &criteria)
    }

    /// Records a client's request in the demand for its service.
    pub fn record_demand(&self, service: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.first_request.get_or_insert(now);
        state.demand.record(now, ServiceTag::of(service));
    }

    /// Returns the time until this gateway has room at a service's targets in these zones: the mean
    /// time between two requests within the limits that they name, or the time until it has room at
    /// a cold one. `None` if none has a limit.
    pub fn room_interval(&self, service: &str, zones: &AllowedZones) -> Option<Micros> {
        let now = self.clock.now();
        let state = self.lock();
        let allowed = || {
            let targets = state.of_service(service, zones);
            targets.filter(|target| state.restriction(target, now).is_none())
        };
        let cold = allowed().filter_map(|target| target.cold.time_to_room(now));
        let rates = allowed().filter_map(|target| target.limit.own_rate());
        let rate = rates.reduce(|a, b| a + b);
        let named = rate.map(|rate| Micros((1e6 / rate) as u64));
        cold.chain(named).min()
    }

    /// Returns the time until the first of a service's targets in these zones takes requests again,
    /// if all that are neither leaving nor in an evacuated zone have asked for a pause; `None`
    /// otherwise.
    pub fn pause_of_all(&self, service: &str, zones: &AllowedZones) -> Option<Micros> {
        let now = self.clock.now();
        let state = self.lock();
        let mut first = None;
        for target in state.of_service(service, zones) {
            match state.restriction(target, now) {
                None => return None,
                Some(Restriction::Paused) => {
                    let pause = target.notices.remaining_pause(now);
                    first = pause.min(first.or(pause));
                }
                Some(_) => {}
            }
        }
        first
    }

    /// Takes the room for one request at a target within the limit that it names. Returns `false`
    /// if there is none, or the target is no longer listed.
    pub fn take_room(&self, key: TargetKey) -> bool {
        let now = self.clock.now();
        let taken = self.with_target(key, |target| target.limit.take(now));
        taken == Some(true)
    }

    /// Returns the mean prefill backlog per engine of a service in these zones, as the time needed to
    /// work it off.
    pub fn mean_backlog(&self, service: &str, zones: &AllowedZones) -> Micros {
        self.mean_backlog_of(&self.lock(), service, zones)
    }

    fn mean_backlog_of(&self, state: &State, service: &str, zones: &AllowedZones) -> Micros {
        let now = self.clock.now();
        let allowed = |target: &&Target| state.restriction(target, now).is_none();
        let (count, backlog) = state
            .of_service(service, zones)
            .filter(allowed)
            .fold((0, 0.0), |(count, sum), target| {
                (count + 1, sum + target.load.total_prefill())
            });
        let rate = self.prefill_rate(service, &state.targets) * f64::from(count.max(1));
        Micros((backlog / rate * 1_000.0) as u64)
    }

    /// Records the first attempt of a request in the service's retry budget.
    pub fn record_first_send(&self, service: &Arc<str>) {
        self.with_budget(service, RetryBudget::record_first);
    }

    /// Takes one retry from the service's budget. Returns whether one was available.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let gateways = self.with_peers(|peers| peers.addresses().count()) + 1;
        self.with_budget(service, |budget, now, limits| {
            budget.try_take(now, limits, gateways)
        })
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

    /// Replaces the retry limits, for example when the settings are reloaded.
    pub fn set_retry_limits(&self, limits: RetryLimits) {
        self.lock().limits = limits;
    }

    /// Returns the prefill rate of one engine of a service, in tokens per millisecond.
    fn prefill_rate(&self, service: &str, targets: &Targets) -> f64 {
        let count = targets.of_service(service).len().max(1);
        match self.config.load().limits.token_rate {
            Some(tokens) => tokens / 1_000.0 / count as f64 * PREFILL_SPEEDUP,
            None => DEFAULT_PREFILL_RATE,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }
}

impl State {
    /// Returns why a target may not be sent requests now; `None` if it may.
    fn restriction(&self, target: &Target, now: Micros) -> Option<Restriction> {
        restrictions::check(target, &self.evacuations, now)
    }

    /// The targets of a service in these zones, including those that may not be sent requests.
    fn of_service(&self, service: &str, zones: &AllowedZones) -> impl Iterator<Item = &Target> {
        let keys = self.targets.of_service(service).iter();
        let targets = keys.filter_map(|&key| self.targets.get(key));
        targets.filter(|target| zones.contains(target.zone))
    }
}

/// Stands for this gateway until its address is known.
fn unknown_member(zone: &str) -> Member {
    Member {
        addr: (Ipv4Addr::UNSPECIFIED, 0).into(),
        zone: ZoneTag::of(zone),
        capacity: 0,
    }
}
