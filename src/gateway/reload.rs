//! Reloads the settings on SIGHUP.
//!
//! Retry limits and the regions of zones take effect at once. Changes to addresses and the availability zone need a restart.

use std::path::PathBuf;
use std::sync::Arc;

use tokio::signal::unix::Signal;

use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::settings::{self, GatewaySettings};

/// Reloads the settings at each signal. If they are invalid, the current ones remain active.
pub async fn follow(path: PathBuf, mut hangup: Signal, gateway: Arc<GatewayState>) {
    while hangup.recv().await.is_some() {
        match settings::read::<GatewaySettings>(&path) {
            Ok(settings) => {
                gateway.set_retry_limits(RetryLimits::from(&settings.retries));
                gateway.set_regions(settings.region_table());
                spdlog::info!("settings read anew", kv: { file: = path.display() });
            }
            Err(error) => {
                let error = format!("{error:#}");
                spdlog::error!("could not reload the settings", kv: { error: = error });
            }
        }
    }
}
