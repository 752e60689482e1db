//! The agent's status, served at its admin address.

use serde::Serialize;
use serde_json::Value;
use xtra::Address;

use crate::admin::Status;
use crate::agent::core::Core;
use crate::agent::messages::{CoreStatus, GetStatus};
use crate::telemetry::Telemetry;
use crate::telemetry::metrics::Snapshot;
use crate::wire::AgentInfo;

/// Provides the agent's status.
#[derive(Clone)]
pub struct AgentView {
    /// Address of the agent's core actor.
    pub core: Address<Core>,
    /// Source of the metrics.
    pub telemetry: Telemetry,
    /// Address of the agent's target, and the agent's boot id, zone, service and number of slots.
    pub info: AgentInfo,
}

/// Body of `/status`.
#[derive(Debug, Serialize)]
struct AgentStatus<'a> {
    role: &'static str,
    info: &'a AgentInfo,
    /// `None` if the core actor has stopped.
    core: Option<CoreStatus>,
    metrics: Snapshot,
}

impl Status for AgentView {
    async fn status(&self) -> Value {
        let status = AgentStatus {
            role: "agent",
            info: &self.info,
            core: self.core.send(GetStatus).await.ok(),
            metrics: self.telemetry.metrics().snapshot(),
        };
        serde_json::to_value(status).unwrap_or_default()
    }
}
