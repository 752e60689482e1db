//! JSON formats of the records in the platform's store: the operator's configuration and the
//! targets' entries.

pub mod draft;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hyper::Uri;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::gateway::cold_limit::{self, ColdReport, ColdRule};
use crate::gateway::config::{self, Account, EngineCapacity, Limits, Route, RouteClass, Service};
use crate::gateway::prefix_transfer::TransferRate;
use crate::gateway::regions::RegionRule;
use crate::gateway::targets::Entry;
use crate::units::Micros;

/// The operator's configuration.
#[derive(Debug, Deserialize)]
pub struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    limits: WireLimits,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    #[serde(default)]
    name: Box<str>,
    authority: Box<str>,
    path_prefix: Box<str>,
    route_class: Box<str>,
    timeout_ms: f64,
    #[serde(rename = "targetLatencyMs")]
    aim_ms: Option<f64>,
    backend: Option<Box<str>>,
    #[serde(default)]
    weighted_backends: Vec<WireBackend>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    anonymous_access: bool,
    #[serde(default)]
    stream_resume: bool,
    #[serde(rename = "allowedRegions")]
    regions: Option<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct WireBackend {
    backend: Box<str>,
    weight: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: Box<str>,
    #[serde(default)]
    max_connections: usize,
    engine: Option<WireEngine>,
    health_path: Option<Box<RawValue>>,
    #[serde(rename = "coldS")]
    cold_span: Option<Box<RawValue>>,
    #[serde(rename = "coldPerS")]
    cold_rate: Option<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEngine {
    #[serde(default = "one")]
    slots: u32,
    /// Tokens, not bytes.
    #[serde(default)]
    kv_capacity: u64,
    /// Of each token.
    kv_bytes: Option<Box<RawValue>>,
    link_mbps: Option<Box<RawValue>>,
    hold_ms: Option<Box<RawValue>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    header_bytes: Option<usize>,
    #[serde(rename = "maxBodyBytes")]
    body_bytes: Option<usize>,
    #[serde(rename = "headerTimeoutMs")]
    read_ms: Option<u64>,
    #[serde(rename = "idleTimeoutMs")]
    idle_ms: Option<u64>,
    #[serde(rename = "tokensPerS")]
    tokens: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    name: Box<str>,
    #[serde(default)]
    api_keys: Vec<Box<str>>,
    #[serde(rename = "allowedRegions")]
    regions: Option<Box<RawValue>>,
}

/// A target's entry, as the target writes it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireTarget {
    backend: Box<str>,
    address: SocketAddr,
    zone: Box<str>,
    slots: u32,
    state: WireState,
    version: Option<Box<RawValue>>,
    born: Option<u64>,
    #[serde(rename = "coldRemainingMs")]
    cold_ms: Option<Box<RawValue>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

fn one() -> u32 {
    1
}

/// Longest time that a configuration can set.
const MAX_SPAN: Duration = Duration::from_secs(24 * 3_600);

fn millis(ms: f64) -> Duration {
    let span = Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default();
    span.min(MAX_SPAN)
}

/// Converts a route class; `None` if it is unknown, in which case requests run at most once.
fn route_class(name: &str, resume: bool) -> Option<RouteClass> {
    match (name, resume) {
        ("idempotent", _) => Some(RouteClass::Idempotent),
        ("streaming", true) => Some(RouteClass::ResumableStream),
        ("streaming", false) => Some(RouteClass::Stream),
        ("non_idempotent", _) => Some(RouteClass::Once),
        _ => None,
    }
}

impl From<WireConfig> for config::Config {
    fn from(wire: WireConfig) -> Self {
        let parts = config::ConfigParts {
            version: wire.version,
            routes: wire.routes.into_iter().map(Route::from).collect(),
            services: wire.services.into_iter().map(to_service).collect(),
            accounts: wire.tenants.into_iter().map(to_account).collect(),
            limits: wire.limits.into(),
        };
        parts.into()
    }
}

impl From<WireRoute> for Route {
    fn from(wire: WireRoute) -> Self {
        let class = route_class(&wire.route_class, wire.stream_resume);
        let single = wire.backend.map(|name| (Arc::from(name), 1));
        let weighted = wire.weighted_backends.into_iter();
        let weighted = weighted.map(|entry| (Arc::from(entry.backend), entry.weight));
        Route {
            name: wire.name,
            authority: wire.authority,
            path_prefix: wire.path_prefix,
            services: single.into_iter().chain(weighted).collect(),
            class: class.unwrap_or(RouteClass::Once),
            timeout: millis(wire.timeout_ms),
            latency_objective: millis(wire.aim_ms.unwrap_or(wire.timeout_ms)),
            max_attempts: wire.max_attempts,
            allow_anonymous: wire.anonymous_access,
            regions: to_region_rule(wire.regions.as_deref()),
        }
    }
}

impl From<WireLimits> for Limits {
    fn from(wire: WireLimits) -> Self {
        let defaults = Limits::default();
        Limits {
            max_head: wire.header_bytes.unwrap_or(defaults.max_head),
            max_body: wire.body_bytes.unwrap_or(defaults.max_body),
            head_timeout: wire.read_ms.map_or(defaults.head_timeout, |ms| {
                Duration::from_millis(ms).min(MAX_SPAN)
            }),
            idle_timeout: wire.idle_ms.map_or(defaults.idle_timeout, |ms| {
                Duration::from_millis(ms).min(MAX_SPAN)
            }),
            token_rate: wire.tokens,
        }
    }
}

impl WireTarget {
    /// Whether its address can be that of one target.
    pub fn is_usable(&self) -> bool {
        let ip = self.address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        self.address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
    }
}

impl From<WireTarget> for Entry {
    fn from(wire: WireTarget) -> Self {
        Entry {
            service: wire.backend.into(),
            addr: wire.address,
            zone: wire.zone,
            slots: wire.slots,
            draining: wire.state == WireState::Draining,
            version: wire.version.as_deref().and_then(to_version),
            started_at: wire.born,
            cold: to_cold(wire.cold_ms.as_deref()),
        }
    }
}

fn to_service(wire: WireService) -> (Arc<str>, Service) {
    let health_path = wire.health_path.as_deref().and_then(to_path);
    let cold = to_cold_rule(&wire, health_path.is_some());
    let engine = wire.engine.map(|engine| EngineCapacity {
        slots: engine.slots,
        kv_capacity: engine.kv_capacity,
        transfer: to_transfer_rate(&engine),
        max_reservation: to_max_reservation(&engine),
    });
    let service = Service {
        max_connections: wire.max_connections,
        engine,
        cold,
        health_path,
    };
    (wire.name.into(), service)
}

/// Reads a figure. One that is missing, odd, negative or not finite counts as missing, so that the
/// rest of the record is used.
fn figure(raw: Option<&RawValue>) -> Option<f64> {
    let figure: f64 = serde_json::from_str(raw?.get()).ok()?;
    (figure.is_finite() && figure >= 0.0).then_some(figure)
}

fn to_transfer_rate(wire: &WireEngine) -> Option<TransferRate> {
    let token_bytes = figure(wire.kv_bytes.as_deref())?;
    let megabits = figure(wire.link_mbps.as_deref())?;
    TransferRate::new(token_bytes, megabits * 1e6)
}

fn to_max_reservation(wire: &WireEngine) -> Option<Micros> {
    let ms = figure(wire.hold_ms.as_deref()).filter(|ms| *ms > 0.0)?;
    // A value that is too large for a duration is longer than any reservation.
    let span = Duration::try_from_secs_f64(ms / 1e3).unwrap_or(MAX_SPAN);
    Some(span.min(MAX_SPAN).into())
}

fn to_path(raw: &RawValue) -> Option<Uri> {
    let path: &str = serde_json::from_str(raw.get()).ok()?;
    let path = path.starts_with('/').then_some(path)?;
    path.parse().ok()
}

/// Maximum rate of requests to a cold target that is read as a limit.
const MAX_COLD_RATE: f64 = 1e6;
/// Minimum rate of requests to a cold target; a lower one is raised to it.
const MIN_COLD_RATE: f64 = 0.01;

fn to_cold_rule(wire: &WireService, asks: bool) -> Option<ColdRule> {
    let rate = figure(wire.cold_rate.as_deref()).filter(|rate| *rate > 0.0)?;
    let span = figure(wire.cold_span.as_deref()).filter(|span| *span > 0.0);
    let span =
        span.map(|span| Duration::from_secs_f64(span.min(cold_limit::MAX_SPAN.as_secs_f64())));
    Some(ColdRule {
        span: span.map_or(cold_limit::DEFAULT_SPAN, Micros::from),
        rate: rate.clamp(MIN_COLD_RATE, MAX_COLD_RATE),
        asks,
    })
}

/// Reads the version of a target's software; `None` if it is odd, so that the rest of the entry is used.
fn to_version(raw: &RawValue) -> Option<Arc<str>> {
    let version: String = serde_json::from_str(raw.get()).ok()?;
    (!version.is_empty()).then(|| version.into())
}

fn to_cold(raw: Option<&RawValue>) -> Option<ColdReport> {
    Some(ColdReport {
        remaining: cold_time(figure(raw)?),
        age: cold_limit::ENTRY_DELAY,
    })
}

/// Converts a cold time in milliseconds, up to the longest that is believed.
pub fn cold_time(ms: f64) -> Micros {
    Micros((ms * 1e3).min(cold_limit::MAX_SPAN.0 as f64) as u64)
}

fn to_account(wire: WireTenant) -> (Account, Vec<Box<str>>) {
    let account = Account {
        regions: to_region_rule(wire.regions.as_deref()),
        name: wire.name,
    };
    (account, wire.api_keys)
}

/// Reads a list of allowed regions. Whatever is present and not a list of strings allows no region,
/// so that a mistake in a restriction does not lift it.
fn to_region_rule(raw: Option<&RawValue>) -> RegionRule {
    let Some(raw) = raw else {
        return RegionRule::Unrestricted;
    };
    match serde_json::from_str::<Vec<Box<str>>>(raw.get()) {
        Ok(names) => names.iter().collect(),
        Err(_) => RegionRule::Unreadable,
    }
}
