//! Reads the settings anew when the process is told that they have changed.
//!
//! Budgets change at once. Addresses and the zone change with the next start only.

use std::path::PathBuf;
use std::sync::Arc;

use tokio::signal::unix::Signal;

use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::settings::{self, GatewaySettings};

/// Waits for signals, for ever. Settings that cannot be used change nothing.
pub async fn follow(path: PathBuf, mut hangup: Signal, gateway: Arc<GatewayState>) {
    while hangup.recv().await.is_some() {
        match settings::read::<GatewaySettings>(&path) {
            Ok(settings) => {
                gateway.set_retry_limits(RetryLimits::from(&settings.retries));
                spdlog::info!("settings read anew", kv: { file: = path.display() });
            }
            Err(error) => {
                let error = format!("{error:#}");
                spdlog::error!("could not reload the settings", kv: { error: = error });
            }
        }
    }
}
