//! The agent: the only way to its target. Offers free slots to entries and runs what they send.

pub mod core;
pub mod dial;
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
use crate::agent::core::{CORE, Core};
use crate::agent::dial::Dial;
use crate::agent::messages::{Beat, Drain, Inspect};
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

/// Messages that wait for the core before senders wait too.
const CORE_MAILBOX: usize = 4096;
/// How often a draining agent looks whether it is done.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Runs an agent as a process of its own, with logs and telemetry.
///
/// # Errors
/// When telemetry cannot be set up or the admin address cannot be listened on.
pub async fn serve(settings: AgentSettings, drain: CancellationToken) -> anyhow::Result<()> {
    let telemetry = telemetry::init(&settings.telemetry, "balsampitch-agent")?;
    run(settings, telemetry.clone(), drain).await?;
    telemetry.shutdown().await
}

/// Runs an agent until `drain` is cancelled and all its runs are finished.
///
/// # Errors
/// When the admin address cannot be listened on.
pub async fn run(
    settings: AgentSettings,
    telemetry: Telemetry,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    let admin = listen::tcp(settings.admin, "operators").await?;
    let registry = Registry::new();
    let target = Target::new(settings.target, settings.slots, telemetry.clone());
    let core = Core::new(Clock::start(), target, settings.slots, telemetry.clone());
    let core = xtra::spawn_tokio(core, Mailbox::bounded(CORE_MAILBOX));
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
    let (ready_in, ready) = watch::channel(true);
    let dial = Dial {
        core: core.clone(),
        info,
        secret: Secret::new(&settings.secret),
        telemetry,
    };
    let mut services = vec![
        tokio::spawn(admin::serve(admin, Arc::new(view), ready)),
        tokio::spawn(beat(core.clone())),
    ];
    services.extend(
        settings
            .entries
            .iter()
            .map(|&entry| tokio::spawn(dial.clone().run(entry))),
    );

    drain.cancelled().await;
    spdlog::info!("draining");
    ready_in.send_replace(false);
    finish(&core).await;
    services.iter().for_each(|s| s.abort());
    Ok(())
}

/// Withdraws all offers and waits until no entry sends any more and every answer is with its entry.
async fn finish(core: &Address<Core>) {
    if core.send(Drain).await.is_err() {
        return;
    }
    while let Ok(status) = core.send(Inspect).await {
        if status.runs == 0 && status.senders == 0 {
            // What is queued for the entries goes out first.
            tokio::time::sleep(DRAIN_POLL).await;
            return;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

async fn beat(core: Address<Core>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        if core.send(Beat).await.is_err() {
            return;
        }
    }
}
