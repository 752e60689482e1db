//! Settings files: JSON, one a process, checked as a whole before the process starts.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context;
use serde::Deserialize;
use serde::de::DeserializeOwned;

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

/// Logs and telemetry of a process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Form of log lines.
    pub logs: LogForm,
    /// OTLP endpoint for traces and metrics, as `http://ip:port`; none: no export.
    pub otlp: Option<String>,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Shortest shared key, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// A kind of settings that can check itself.
pub trait Check: DeserializeOwned {
    /// One message a fault, each naming its field.
    fn faults(&self) -> Vec<String>;
}

impl Check for EntrySettings {
    fn faults(&self) -> Vec<String> {
        let mut faults = common_faults(&self.zone, &self.entries, &self.secret);
        if !self.entries.contains(&self.peer) {
            faults.push(format!(
                "entries: must hold this entry's own peer address {}",
                self.peer
            ));
        }
        faults
    }
}

impl Check for AgentSettings {
    fn faults(&self) -> Vec<String> {
        let mut faults = common_faults(&self.zone, &self.entries, &self.secret);
        if self.slots == 0 {
            faults.push("slots: must be at least 1".into());
        }
        if self.service.is_empty() {
            faults.push("service: must not be empty".into());
        }
        faults
    }
}

fn common_faults(zone: &str, entries: &[SocketAddr], secret: &str) -> Vec<String> {
    let mut faults = Vec::new();
    if zone.is_empty() {
        faults.push("zone: must not be empty".into());
    }
    if entries.is_empty() {
        faults.push("entries: must name at least one entry".into());
    }
    if secret.len() < MIN_SECRET_BYTES {
        faults.push(format!(
            "secret: must be at least {MIN_SECRET_BYTES} bytes long"
        ));
    }
    faults
}

/// Reads and checks a settings file.
///
/// # Errors
/// When the file cannot be read, is not JSON of this kind, or has faults; all faults are named.
pub fn read<T: Check>(path: &Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read settings {}", path.display()))?;
    parse(&text).with_context(|| format!("could not use settings {}", path.display()))
}

/// Reads and checks settings from text.
///
/// # Errors
/// When the text is not JSON of this kind, or has faults; all faults are named.
pub fn parse<T: Check>(text: &str) -> anyhow::Result<T> {
    let settings: T = serde_json::from_str(text)?;
    let faults = settings.faults();
    anyhow::ensure!(faults.is_empty(), "{}", faults.join("; "));
    Ok(settings)
}
