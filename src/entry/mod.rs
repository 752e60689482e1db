//! The entry: takes callers' requests, queues them by client account, streams answers back.

pub mod agents;
pub mod desk;
pub mod flight;
pub mod http;
pub mod request;
pub mod routes;

use std::sync::Arc;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xtra::Mailbox;

use crate::auth::Secret;
use crate::conn::HEARTBEAT_PERIOD;
use crate::entry::agents::Agents;
use crate::entry::desk::{Beat, DESK, Desk};
use crate::entry::http::Http;
use crate::entry::routes::Routes;
use crate::ids::BootId;
use crate::kernel::Kernel;
use crate::rules::Table;
use crate::settings::EntrySettings;
use crate::units::Clock;

/// Messages that wait for the desk before senders wait too.
const DESK_MAILBOX: usize = 4096;

/// Runs an entry until `drain` is cancelled and all its requests are finished.
///
/// # Errors
/// When an address cannot be listened on.
pub async fn run(
    settings: EntrySettings,
    rules: watch::Receiver<Arc<Table>>,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    let callers = listen(settings.listen, "callers").await?;
    let peers = listen(settings.peer, "agents").await?;
    let kernel = Kernel::new();
    let clock = Clock::start();
    let boot = BootId::random();
    let routes = Routes::default();

    let desk = Desk::new(clock, boot, rules.clone(), routes.clone());
    let desk = xtra::spawn_tokio(desk, Mailbox::bounded(DESK_MAILBOX));
    kernel.register(DESK, desk.clone());

    let secret = Secret::new(&settings.secret);
    let agents = Agents {
        desk: desk.clone(),
        routes,
        secret,
        boot,
    };
    let listener = tokio::spawn(agents.listen(peers));
    let beat = tokio::spawn(beat(desk.clone()));

    Http {
        desk,
        rules,
        clock,
        drain,
    }
    .listen(callers)
    .await;
    beat.abort();
    listener.abort();
    Ok(())
}

async fn listen(address: std::net::SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen for {whom} on {address}"))
}

async fn beat(desk: xtra::Address<Desk>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        if desk.send(Beat).await.is_err() {
            return;
        }
    }
}
