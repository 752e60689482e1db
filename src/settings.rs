//! Settings files: one JSON file per process, validated completely before the process starts.
//!
//! An entry is a router process that dispatches client requests to agents. An agent is the process
//! beside a target that runs them. A gateway is a router process that sends requests directly to
//! targets. The platform is the operator's infrastructure service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::gateway::byte_budget::ByteBudget;
use crate::gateway::connection_limits::ConnectionLimits;
use crate::gateway::peers::member::{Member, ZoneTag};
use crate::gateway::regions::RegionTable;
use crate::gateway::retry_budget::RetryLimits;
use crate::rules::parse::MAX_NAME_BYTES;

/// Settings of `balsampitch-entry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address to which callers connect.
    pub listen: SocketAddr,
    /// Address to which agents connect, and to which other entries send datagrams.
    pub peer: SocketAddr,
    /// Address at which `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// Availability zone of this host.
    pub zone: String,
    /// Peer addresses of all entries, including this one.
    pub entries: Vec<SocketAddr>,
    /// Address of the platform's services (log and host list).
    pub platform: SocketAddr,
    /// Key shared by all processes of the system, at least [`MIN_SECRET_BYTES`] long.
    pub secret: String,
    /// Logs and telemetry.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Settings of `balsampitch-agent`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The target on this host.
    pub target: SocketAddr,
    /// Service that the target provides.
    pub service: String,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u16,
    /// Availability zone of this host.
    pub zone: String,
    /// Address at which `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// Peer addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Address of the platform's services (log and host list).
    pub platform: SocketAddr,
    /// Key shared by all processes of the system, at least [`MIN_SECRET_BYTES`] long.
    pub secret: String,
    /// Logs and telemetry.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Settings of `balsampitch-gateway`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this host in logs.
    pub name: String,
    /// Address to which callers connect.
    pub listen: SocketAddr,
    /// Address at which the load balancer checks whether the gateway is ready.
    pub ready: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address to which other gateways connect and send datagrams.
    pub peer: SocketAddr,
    /// Addresses of hosts that may run gateways. Their ports are ignored, all gateways use the same
    /// one.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the system, including its targets, starts for the first time.
    #[serde(default)]
    pub first: bool,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of this host's zone; `None` or empty if it is not known.
    #[serde(default)]
    pub region: Option<String>,
    /// Regions of the availability zones by name; a zone without one belongs to no region.
    #[serde(default)]
    pub zones: Option<BTreeMap<String, Option<String>>>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Maximum time from SIGTERM to the end of the process, in seconds.
    pub grace: f64,
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
    /// Maximum memory of the process, in megabytes.
    #[serde(default = "default_memory")]
    pub memory: usize,
    /// Processor time of this host, in cores. Gateways on hosts with more of it aggregate the
    /// reports of the others.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Limits of the retries of all gateways together.
    pub retries: RetrySettings,
    /// Which abilities of model inference engines are used.
    #[serde(default)]
    pub engines: EngineSettings,
    /// Logs and telemetry.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

impl GatewaySettings {
    /// Limits of the connections of this process.
    pub fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::new(self.descriptors, self.memory << 20)
    }

    /// Limit of the bytes that this process holds for requests.
    pub fn byte_budget(&self) -> ByteBudget {
        let limits = self.connection_limits();
        ByteBudget::new(limits.body_bytes(self.memory << 20))
    }

    /// The regions of the zones, with that of this host's own.
    pub fn region_table(&self) -> RegionTable {
        let zones = self.zones.iter().flatten();
        let zones = zones.filter_map(|(zone, region)| Some((zone.as_str(), region.as_deref()?)));
        let own = self.region.iter();
        let own = own.map(|region| (self.zone.as_str(), region.as_str()));
        zones.chain(own).collect()
    }

    /// This gateway, as it introduces itself to others.
    pub fn member(&self) -> Member {
        Member {
            addr: self.peer,
            zone: ZoneTag::of(&self.zone),
            capacity: (self.cores * 100.0) as u32,
        }
    }

    /// Addresses where other gateways may listen.
    pub fn seed_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let port = self.peer.port();
        self.seeds.iter().map(move |seed| (seed.ip(), port).into())
    }
}

fn default_memory() -> usize {
    DEFAULT_MEMORY_MB
}

fn one_core() -> f64 {
    1.0
}

/// Limits of the retries of all gateways together.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Maximum ratio of retries to requests of a service.
    pub ratio: f64,
    /// Number of retries allowed in each window in addition to the ratio.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window: f64,
}

/// Which abilities of model inference engines are used, where the configuration says that a service's
/// engines have them.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Engines fetch cached prompt prefixes from each other.
    pub fetch: bool,
    /// Short prompts reserve room, so that they do not wait behind long ones.
    pub reserve: bool,
}

impl From<&RetrySettings> for RetryLimits {
    fn from(settings: &RetrySettings) -> Self {
        RetryLimits {
            ratio: settings.ratio,
            slack: settings.slack,
            window: Duration::from_secs_f64(settings.window).into(),
        }
    }
}

/// Settings of `balsampitch-ctl`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CtlSettings {
    /// Address of the platform's log; `None` if it is not set.
    pub platform: Option<SocketAddr>,
    /// Admin addresses of entries.
    pub admin: Vec<SocketAddr>,
}

/// Log and telemetry settings of a process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Format of log lines.
    pub logs: LogFormat,
    /// OTLP endpoint for traces and metrics, as `http://ip:port`; `None` disables the export.
    pub otlp: Option<String>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Memory of a gateway whose settings do not say how much it has, in megabytes.
const DEFAULT_MEMORY_MB: usize = 512;
/// Minimum of `memory`, below which a gateway cannot work, in megabytes.
const MIN_MEMORY_MB: usize = 64;
/// Minimum of `descriptors`, below which a gateway cannot work.
const MIN_DESCRIPTORS: usize = 128;
/// Maximum of durations in settings, in seconds.
const MAX_SECONDS: f64 = 86_400.0;
/// Minimum length of the shared key, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Settings that can be validated.
pub trait Validate: DeserializeOwned {
    /// Returns all errors; each message starts with the name of the field. Empty if the settings
    /// are valid.
    fn errors(&self) -> Vec<String>;
}

impl Validate for EntrySettings {
    fn errors(&self) -> Vec<String> {
        let mut errors = FieldErrors::default();
        errors.bind_addr("listen", self.listen);
        errors.bind_addr("peer", self.peer);
        errors.bind_addr("admin", self.admin);
        errors.distinct_addrs(&[
            ("listen", self.listen),
            ("peer", self.peer),
            ("admin", self.admin),
        ]);
        errors.connect_addr("peer", self.peer);
        errors.connect_addr("platform", self.platform);
        errors.name("zone", &self.zone);
        errors.entries(&self.entries);
        errors.secret(&self.secret);
        errors.telemetry(&self.telemetry);
        if !self.entries.contains(&self.peer) {
            let peer = self.peer;
            errors.push(
                "entries",
                format!("expected this entry's own peer address {peer}"),
            );
        }
        errors.0
    }
}

impl Validate for GatewaySettings {
    fn errors(&self) -> Vec<String> {
        let mut errors = FieldErrors::default();
        errors.bind_addr("listen", self.listen);
        errors.bind_addr("ready", self.ready);
        errors.bind_addr("metrics", self.metrics);
        errors.bind_addr("peer", self.peer);
        errors.distinct_addrs(&[
            ("listen", self.listen),
            ("ready", self.ready),
            ("metrics", self.metrics),
            ("peer", self.peer),
        ]);
        errors.connect_addr("peer", self.peer);
        errors.connect_addr("platform", self.platform);
        errors.name("zone", &self.zone);
        errors.positive_secs("grace", self.grace);
        if self.descriptors < MIN_DESCRIPTORS {
            let expected = format!("expected at least {MIN_DESCRIPTORS}");
            errors.push(
                "descriptors",
                format!("is {}, {expected}", self.descriptors),
            );
        }
        if self.memory < MIN_MEMORY_MB {
            let expected = format!("expected at least {MIN_MEMORY_MB}");
            errors.push("memory", format!("is {}, {expected}", self.memory));
        }
        errors.non_negative("cores", self.cores);
        errors.positive_secs("retries.window", self.retries.window);
        errors.non_negative("retries.ratio", self.retries.ratio);
        errors.non_negative("retries.slack", self.retries.slack);
        errors.telemetry(&self.telemetry);
        errors.0
    }
}

impl Validate for AgentSettings {
    fn errors(&self) -> Vec<String> {
        let mut errors = FieldErrors::default();
        errors.bind_addr("admin", self.admin);
        errors.connect_addr("target", self.target);
        errors.connect_addr("platform", self.platform);
        errors.distinct_addrs(&[("target", self.target), ("admin", self.admin)]);
        errors.name("service", &self.service);
        errors.name("zone", &self.zone);
        if self.slots == 0 {
            errors.push("slots", "is 0, expected at least 1".to_owned());
        }
        errors.entries(&self.entries);
        errors.secret(&self.secret);
        errors.telemetry(&self.telemetry);
        errors.0
    }
}

impl Validate for CtlSettings {
    fn errors(&self) -> Vec<String> {
        let mut errors = FieldErrors::default();
        if let Some(platform) = self.platform {
            errors.connect_addr("platform", platform);
        }
        errors.addr_list("admin", &self.admin);
        errors.0
    }
}

/// Errors of one file, each with its field and what was expected.
#[derive(Default)]
struct FieldErrors(Vec<String>);

impl FieldErrors {
    fn push(&mut self, field: &str, error: String) {
        self.0.push(format!("{field}: {error}"));
    }

    /// Checks an address to listen on. The port must not be 0, since others need to know it.
    fn bind_addr(&mut self, field: &str, addr: SocketAddr) {
        if addr.port() == 0 {
            self.push(field, format!("{addr} has port 0, expected 1 to 65535"));
        }
    }

    /// Checks an address to connect to.
    fn connect_addr(&mut self, field: &str, addr: SocketAddr) {
        let ip = addr.ip();
        if ip.is_unspecified() || ip.is_multicast() {
            self.push(
                field,
                format!("{addr} is not a host's address, expected one that can be connected to"),
            );
        }
        if addr.port() == 0 {
            let error = format!("{addr} has port 0, expected 1 to 65535");
            if !self.0.contains(&format!("{field}: {error}")) {
                self.push(field, error);
            }
        }
    }

    fn addr_list(&mut self, field: &str, addrs: &[SocketAddr]) {
        for (index, &addr) in addrs.iter().enumerate() {
            self.connect_addr(&format!("{field}[{index}]"), addr);
            if addrs[..index].contains(&addr) {
                self.push(
                    field,
                    format!("{addr} is given twice, expected each address once"),
                );
            }
        }
    }

    fn entries(&mut self, entries: &[SocketAddr]) {
        if entries.is_empty() {
            self.push(
                "entries",
                "is empty, expected at least one entry".to_owned(),
            );
        }
        self.addr_list("entries", entries);
    }

    fn distinct_addrs(&mut self, fields: &[(&str, SocketAddr)]) {
        for (index, (field, addr)) in fields.iter().enumerate() {
            let same = fields[..index].iter().find(|(_, other)| other == addr);
            if let Some((other, _)) = same {
                self.push(
                    field,
                    format!("{addr} is also `{other}`, expected another address"),
                );
            }
        }
    }

    fn name(&mut self, field: &str, name: &str) {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(plain) {
            let expected = "letters, digits, `-`, `_` or `.`";
            self.push(
                field,
                format!("{name:?} is not a name, expected 1 to {MAX_NAME_BYTES} {expected}"),
            );
        }
    }

    /// Checks a duration in seconds, which must be positive.
    fn positive_secs(&mut self, field: &str, span: f64) {
        if !(span > 0.0 && span <= MAX_SECONDS) {
            let error = format!("is {span}, expected more than 0 and at most {MAX_SECONDS}");
            self.push(field, error);
        }
    }

    /// Checks a number, which must not be negative.
    fn non_negative(&mut self, field: &str, number: f64) {
        if !(number >= 0.0 && number.is_finite()) {
            self.push(field, format!("is {number}, expected 0 or more"));
        }
    }

    fn secret(&mut self, secret: &str) {
        let length = secret.len();
        if length < MIN_SECRET_BYTES {
            let expected = format!("expected at least {MIN_SECRET_BYTES}");
            self.push("secret", format!("is {length} bytes long, {expected}"));
        }
    }

    fn telemetry(&mut self, telemetry: &TelemetrySettings) {
        let Some(otlp) = &telemetry.otlp else {
            return;
        };
        let addr = otlp
            .strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'));
        if addr
            .and_then(|addr| addr.parse::<SocketAddr>().ok())
            .is_none()
        {
            let error = format!("{otlp:?} is not an endpoint, expected http://ip:port");
            self.push("telemetry.otlp", error);
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
/// Returns an error if the file cannot be read, is not the expected JSON, or has invalid fields,
/// all of which are listed.
pub fn read<T: Validate>(path: &Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read settings {}", path.display()))?;
    parse(&text).with_context(|| format!("could not use settings {}", path.display()))
}

/// Parses and validates settings.
///
/// # Errors
/// Returns an error if the text is not the expected JSON or has invalid fields, all of which are
/// listed.
pub fn parse<T: Validate>(text: &str) -> anyhow::Result<T> {
    let settings: T = serde_json::from_str(text).map_err(|error| add_field_name(text, error))?;
    let errors = settings.errors();
    anyhow::ensure!(errors.is_empty(), "{}", errors.join("; "));
    Ok(settings)
}

/// Adds the name of the field to an error about its value. The field is found by the position of
/// the error in the text. `serde_json` may report a value of an unexpected type as a syntax error.
fn add_field_name(text: &str, error: serde_json::Error) -> anyhow::Error {
    let message = error.to_string();
    let names_field = ["unknown field", "missing field", "duplicate field"];
    if error.is_eof() || names_field.iter().any(|start| message.starts_with(start)) {
        return anyhow::Error::new(error);
    }
    let lines = text.split_inclusive('\n').take(error.line() - 1);
    let end = lines.map(str::len).sum::<usize>() + error.column();
    match text.get(..end).and_then(last_key) {
        Some(field) => anyhow::anyhow!("{field}: {message}"),
        None => anyhow::Error::new(error),
    }
}

/// The last key in a JSON text that is followed by a colon.
fn last_key(text: &str) -> Option<&str> {
    let mut end = text.len();
    while let Some(colon) = text[..end].rfind(':') {
        let name = text[..colon].trim_end().strip_suffix('"');
        if let Some((_, name)) = name.and_then(|name| name.rsplit_once('"')) {
            return Some(name);
        }
        end = colon;
    }
    None
}

#[cfg(test)]
mod tests;
