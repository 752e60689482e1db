//! The agent: the process beside a target that offers the target's free slots to the entries and
//! runs the requests that they dispatch. An entry is a router process that accepts client requests
//! and queues them; a slot is room for one concurrent request at the target. All requests to the
//! target go through the agent.

pub mod connector;
pub mod core;
pub mod messages;
pub mod probe;
pub mod run;
pub mod status;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xtra::{Address, Mailbox};

use crate::admin;
use crate::agent::connector::EntryConnector;
use crate::agent::core::{CORE, Core};
use crate::agent::messages::{Drain, GetStatus, SendHeartbeats};
use crate::agent::run::Target;
use crate::agent::status::AgentView;
use crate::auth::Secret;
use crate::conn::HEARTBEAT_PERIOD;
use crate::ids::BootId;
use crate::listen;
use crate::registry::Registry;
use crate::settings::AgentSettings;
use crate::telemetry::{self, Telemetry};
use crate::units::Clock;
use crate::wire::AgentInfo;

/// Capacity of the core's mailbox; senders wait while it is full.
const MAILBOX_CAPACITY: usize = 4096;
/// Interval at which a draining agent checks whether it may exit.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Runs an agent as a process of its own, with logs and telemetry.
///
/// # Errors
/// Returns an error if telemetry cannot be set up or the admin address cannot be listened on.
pub async fn serve(settings: AgentSettings, drain: CancellationToken) -> anyhow::Result<()> {
    let telemetry = telemetry::init(&settings.telemetry, "balsampitch-agent")?;
    run(settings, telemetry.clone(), drain).await?;
    telemetry.shutdown().await
}

/// Runs an agent until `drain` is triggered and all runs are finished.
///
/// # Errors
/// Returns an error if the admin address cannot be listened on.
pub async fn run(
    settings: AgentSettings,
    telemetry: Telemetry,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    let admin = listen::tcp(settings.admin, "operators").await?;
    let registry = Registry::new();
    let target = Target::new(settings.target, settings.slots, telemetry.clone());
    let core = Core::new(Clock::start(), target, settings.slots, telemetry.clone());
    let core = xtra::spawn_tokio(core, Mailbox::bounded(MAILBOX_CAPACITY));
    registry.register(CORE, core.clone());
    let info = AgentInfo {
        host: settings.target,
        boot: BootId::random(),
        zone: settings.zone,
        service: settings.service,
        slots: settings.slots,
    };
    let view = AgentView {
        core: core.clone(),
        telemetry: telemetry.clone(),
        info: info.clone(),
    };
    let (ready_sender, ready) = watch::channel(true);
    let connector = EntryConnector {
        core: core.clone(),
        info,
        secret: Secret::new(&settings.secret),
        telemetry,
    };
    let mut tasks = vec![
        tokio::spawn(admin::serve(admin, Arc::new(view), ready)),
        tokio::spawn(send_heartbeats(core.clone())),
    ];
    tasks.extend(
        settings
            .entries
            .iter()
            .map(|&entry| tokio::spawn(connector.clone().run(entry))),
    );

    drain.cancelled().await;
    spdlog::info!("draining");
    ready_sender.send_replace(false);
    drain_runs(&core).await;
    tasks.iter().for_each(|t| t.abort());
    Ok(())
}

/// Withdraws all offers and waits until no entry sends new dispatches and all responses are
/// delivered or discarded.
async fn drain_runs(core: &Address<Core>) {
    if core.send(Drain).await.is_err() {
        return;
    }
    while let Ok(status) = core.send(GetStatus).await {
        if status.runs == 0 && status.senders == 0 {
            // Leaves time for queued frames to be sent.
            tokio::time::sleep(DRAIN_POLL).await;
            return;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

async fn send_heartbeats(core: Address<Core>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        if core.send(SendHeartbeats).await.is_err() {
            return;
        }
    }
}
