//! Settings files: JSON, one a process, checked as a whole before the process starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::gateway::retry_budget::RetryLimits;
use crate::rules::parse::MAX_NAME_BYTES;

/// Settings of `balsampitch-entry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where agents connect, and where peers send datagrams.
    pub peer: SocketAddr,
    /// Where `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// Availability zone of this host.
    pub zone: String,
    /// Peer addresses of all entries, this one included.
    pub entries: Vec<SocketAddr>,
    /// Address of the platform's services (log and host list).
    pub platform: SocketAddr,
    /// Key that the system's processes share, at least [`MIN_SECRET_BYTES`] long.
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
    /// Service that the target runs.
    pub service: String,
    /// Requests that the target runs at a time.
    pub slots: u16,
    /// Availability zone of this host.
    pub zone: String,
    /// Where `/healthz`, `/readyz` and `/status` are served.
    pub admin: SocketAddr,
    /// Peer addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Address of the platform's services (log and host list).
    pub platform: SocketAddr,
    /// Key that the system's processes share, at least [`MIN_SECRET_BYTES`] long.
    pub secret: String,
    /// Logs and telemetry.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Settings of `balsampitch-gateway`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// This host's name, for logs.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the gateway takes connections.
    pub ready: SocketAddr,
    /// Where the metrics are fetched.
    pub metrics: SocketAddr,
    /// Where other gateways connect and send datagrams.
    pub peer: SocketAddr,
    /// Addresses on hosts that may run gateways; only the hosts matter, all gateways use one port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, its targets included.
    #[serde(default)]
    pub first: bool,
    /// Availability zone of this host.
    pub zone: String,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Longest time from SIGTERM to the end of the process, in seconds.
    pub grace: f64,
    /// File descriptors that the process may have.
    pub descriptors: usize,
    /// What all gateways together may send once more.
    pub retries: RetrySettings,
    /// Logs and telemetry.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

impl GatewaySettings {
    /// Where other gateways may be.
    pub fn seed_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let port = self.peer.port();
        self.seeds.iter().map(move |seed| (seed.ip(), port).into())
    }
}

/// What all entries or gateways together may send once more.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats for each request of a service.
    pub ratio: f64,
    /// Repeats on top, in each window.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window: f64,
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
    /// Address of the platform's log.
    pub platform: Option<SocketAddr>,
    /// Admin addresses of entries.
    pub admin: Vec<SocketAddr>,
}

/// Logs and telemetry of a process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Form of log lines.
    pub logs: LogFormat,
    /// OTLP endpoint for traces and metrics, as `http://ip:port`; none: no export.
    pub otlp: Option<String>,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Fewest file descriptors that a gateway works with.
const MIN_DESCRIPTORS: usize = 128;
/// Longest span that settings may name, in seconds.
const MAX_SECONDS: f64 = 86_400.0;
/// Shortest shared key, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// A kind of settings that can check itself.
pub trait Validate: DeserializeOwned {
    /// One message a fault, each naming its field.
    fn errors(&self) -> Vec<String>;
}

impl Validate for EntrySettings {
    fn errors(&self) -> Vec<String> {
        let mut faults = Faults::default();
        faults.bind("listen", self.listen);
        faults.bind("peer", self.peer);
        faults.bind("admin", self.admin);
        faults.distinct(&[
            ("listen", self.listen),
            ("peer", self.peer),
            ("admin", self.admin),
        ]);
        faults.connect("peer", self.peer);
        faults.connect("platform", self.platform);
        faults.word("zone", &self.zone);
        faults.entries(&self.entries);
        faults.secret(&self.secret);
        faults.telemetry(&self.telemetry);
        if !self.entries.contains(&self.peer) {
            let peer = self.peer;
            faults.push(
                "entries",
                format!("expected this entry's own peer address {peer}"),
            );
        }
        faults.0
    }
}

impl Validate for GatewaySettings {
    fn errors(&self) -> Vec<String> {
        let mut faults = Faults::default();
        faults.bind("listen", self.listen);
        faults.bind("ready", self.ready);
        faults.bind("metrics", self.metrics);
        faults.bind("peer", self.peer);
        faults.distinct(&[
            ("listen", self.listen),
            ("ready", self.ready),
            ("metrics", self.metrics),
            ("peer", self.peer),
        ]);
        faults.connect("peer", self.peer);
        faults.connect("platform", self.platform);
        faults.word("zone", &self.zone);
        faults.positive("grace", self.grace);
        if self.descriptors < MIN_DESCRIPTORS {
            let expected = format!("expected at least {MIN_DESCRIPTORS}");
            faults.push(
                "descriptors",
                format!("is {}, {expected}", self.descriptors),
            );
        }
        faults.positive("retries.window", self.retries.window);
        faults.not_negative("retries.ratio", self.retries.ratio);
        faults.not_negative("retries.slack", self.retries.slack);
        faults.telemetry(&self.telemetry);
        faults.0
    }
}

impl Validate for AgentSettings {
    fn errors(&self) -> Vec<String> {
        let mut faults = Faults::default();
        faults.bind("admin", self.admin);
        faults.connect("target", self.target);
        faults.connect("platform", self.platform);
        faults.distinct(&[("target", self.target), ("admin", self.admin)]);
        faults.word("service", &self.service);
        faults.word("zone", &self.zone);
        if self.slots == 0 {
            faults.push("slots", "is 0, expected at least 1".to_owned());
        }
        faults.entries(&self.entries);
        faults.secret(&self.secret);
        faults.telemetry(&self.telemetry);
        faults.0
    }
}

impl Validate for CtlSettings {
    fn errors(&self) -> Vec<String> {
        let mut faults = Faults::default();
        if let Some(platform) = self.platform {
            faults.connect("platform", platform);
        }
        faults.addrs("admin", &self.admin);
        faults.0
    }
}

/// Faults of one file, each a field and what was expected of it.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    fn push(&mut self, field: &str, fault: String) {
        self.0.push(format!("{field}: {fault}"));
    }

    /// An address to listen on: its port must be known to others.
    fn bind(&mut self, field: &str, addr: SocketAddr) {
        if addr.port() == 0 {
            self.push(field, format!("{addr} has port 0, expected 1 to 65535"));
        }
    }

    /// An address to connect to.
    fn connect(&mut self, field: &str, addr: SocketAddr) {
        let ip = addr.ip();
        if ip.is_unspecified() || ip.is_multicast() {
            self.push(
                field,
                format!("{addr} is no host's address, expected one to connect to"),
            );
        }
        if addr.port() == 0 {
            let fault = format!("{addr} has port 0, expected 1 to 65535");
            if !self.0.contains(&format!("{field}: {fault}")) {
                self.push(field, fault);
            }
        }
    }

    fn addrs(&mut self, field: &str, addrs: &[SocketAddr]) {
        for (index, &addr) in addrs.iter().enumerate() {
            self.connect(&format!("{field}[{index}]"), addr);
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
        self.addrs("entries", entries);
    }

    fn distinct(&mut self, fields: &[(&str, SocketAddr)]) {
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

    fn word(&mut self, field: &str, word: &str) {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if word.is_empty() || word.len() > MAX_NAME_BYTES || !word.bytes().all(plain) {
            let expected = "letters, digits, `-`, `_` or `.`";
            self.push(
                field,
                format!("{word:?} is not a name, expected 1 to {MAX_NAME_BYTES} {expected}"),
            );
        }
    }

    /// A span of seconds that is longer than none.
    fn positive(&mut self, field: &str, span: f64) {
        if !(span > 0.0 && span <= MAX_SECONDS) {
            let fault = format!("is {span}, expected more than 0 and at most {MAX_SECONDS}");
            self.push(field, fault);
        }
    }

    /// A number that is not negative.
    fn not_negative(&mut self, field: &str, number: f64) {
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
            let fault = format!("{otlp:?} is not an endpoint, expected http://ip:port");
            self.push("telemetry.otlp", fault);
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// When the file cannot be read, is not JSON of this kind, or has faults; all faults are named.
pub fn read<T: Validate>(path: &Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read settings {}", path.display()))?;
    parse(&text).with_context(|| format!("could not use settings {}", path.display()))
}

/// Reads and checks settings from text.
///
/// # Errors
/// When the text is not JSON of this kind, or has faults; all faults are named.
pub fn parse<T: Validate>(text: &str) -> anyhow::Result<T> {
    let settings: T = serde_json::from_str(text).map_err(|error| name_field(text, error))?;
    let faults = settings.errors();
    anyhow::ensure!(faults.is_empty(), "{}", faults.join("; "));
    Ok(settings)
}

/// Adds the field to an error about a field's value, found from the error's place in the text. A
/// value that fits no kind is reported as an error of syntax.
fn name_field(text: &str, error: serde_json::Error) -> anyhow::Error {
    let message = error.to_string();
    let names_it = ["unknown field", "missing field", "duplicate field"];
    if error.is_eof() || names_it.iter().any(|start| message.starts_with(start)) {
        return anyhow::Error::new(error);
    }
    let lines = text.split_inclusive('\n').take(error.line() - 1);
    let end = lines.map(str::len).sum::<usize>() + error.column();
    match text.get(..end).and_then(last_field) {
        Some(field) => anyhow::anyhow!("{field}: {message}"),
        None => anyhow::Error::new(error),
    }
}

/// The last name in JSON text that is followed by a colon.
fn last_field(text: &str) -> Option<&str> {
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
