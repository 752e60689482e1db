//! Reads the settings anew when the process is told that they have changed.
//!
//! Budgets change at once. Addresses and the zone change with the next start only.

use std::path::PathBuf;
use std::sync::Arc;

use tokio::signal::unix::Signal;

use crate::gateway::budget::Allowance;
use crate::gateway::gate::Gate;
use crate::settings::{self, GatewaySettings};

/// Waits for signals, for ever. Settings that cannot be used change nothing.
pub async fn follow(path: PathBuf, mut hangup: Signal, gate: Arc<Gate>) {
    while hangup.recv().await.is_some() {
        match settings::read::<GatewaySettings>(&path) {
            Ok(settings) => {
                gate.put_allowance(Allowance::from(&settings.retries));
                spdlog::info!("settings read anew", kv: { file: = path.display() });
            }
            Err(error) => {
                let error = format!("{error:#}");
                spdlog::error!("could not reload the settings", kv: { error: = error });
            }
        }
    }
}
