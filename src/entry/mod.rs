//! The entry: takes callers' requests, queues them by client account, streams answers back.

pub mod agents;
pub mod answers;
pub mod budgets;
pub mod changes;
pub mod desk;
pub mod figures;
pub mod flight;
pub mod guard;
pub mod hosts;
pub mod http;
pub mod join;
pub mod keyed;
pub mod messages;
pub mod peers;
pub mod pool;
pub mod request;
pub mod routes;
pub mod sightings;
pub mod status;
pub mod trail;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xtra::{Address, Mailbox};

use crate::admin;
use crate::auth::Secret;
use crate::conn::HEARTBEAT_PERIOD;
use crate::entry::agents::Agents;
use crate::entry::answers::Answers;
use crate::entry::desk::Desk;
use crate::entry::flight::Tools;
use crate::entry::guard::Guard;
use crate::entry::http::Http;
use crate::entry::join::Joiner;
use crate::entry::keyed::Keyed;
use crate::entry::messages::{Beat, DESK, Inspect};
use crate::entry::peers::{Answerer, Fetcher};
use crate::entry::pool::{Bridge, Pool};
use crate::entry::routes::Routes;
use crate::entry::sightings::Sightings;
use crate::entry::status::EntryView;
use crate::entry::trail::Trail;
use crate::exchange::service::Exchange;
use crate::ids::BootId;
use crate::kernel::{Kernel, ServiceName};
use crate::platform::Client;
use crate::rules::renew::Timing;
use crate::rules::service::Handle;
use crate::settings::EntrySettings;
use crate::telemetry::{self, Telemetry};
use crate::units::Clock;

/// Name under which the rules' handle is registered.
pub const RULES: ServiceName = ServiceName("rules");

/// Name under which the exchange's status is registered.
pub const EXCHANGE: ServiceName = ServiceName("exchange");

/// How often a draining entry looks whether it is done.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Messages that wait for the desk before senders wait too.
const DESK_MAILBOX: usize = 4096;

/// Runs an entry as a process of its own: logs, telemetry, and the rules from the log.
///
/// # Errors
/// When telemetry cannot be set up or an address cannot be listened on.
pub async fn serve(settings: EntrySettings, drain: CancellationToken) -> anyhow::Result<()> {
    let telemetry = telemetry::init(&settings.telemetry, "balsampitch-entry")?;
    let rules = crate::rules::service::spawn(Client::new(settings.platform), Timing::random());
    run(settings, rules, telemetry.clone(), drain).await?;
    telemetry.shutdown().await
}

/// Runs an entry until `drain` is cancelled and all its requests are finished.
///
/// # Errors
/// When an address cannot be listened on.
pub async fn run(
    settings: EntrySettings,
    rules: Handle,
    telemetry: Telemetry,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    let callers = listen(settings.listen, "callers").await?;
    let peers = listen(settings.peer, "agents").await?;
    let admin = listen(settings.admin, "operators").await?;
    let kernel = Kernel::new();
    let clock = Clock::start();
    let boot = BootId::random();
    let routes = Routes::default();
    kernel.register(RULES, rules.clone());

    let log = Client::new(settings.platform);
    let keyed = Keyed::new(log.clone(), clock, settings.listen, boot);
    let pool = Pool::new();
    let trail = Trail::new(clock);
    let desk = Desk::new(
        clock,
        boot,
        rules.table(),
        routes.clone(),
        pool.clone(),
        keyed.clone(),
    )
    .recording(trail.clone());
    let desk = xtra::spawn_tokio(desk, Mailbox::bounded(DESK_MAILBOX));
    kernel.register(DESK, desk.clone());

    let socket = UdpSocket::bind(settings.peer)
        .await
        .with_context(|| format!("could not listen for entries on {}", settings.peer))?;
    let guard = Guard::new(clock);
    let sightings = Sightings::new(guard.clone(), clock, settings.peer, &settings.entries);
    let bridge = Bridge::new(pool, rules.table(), settings.entries.clone(), sightings);
    let key = settings.secret.as_bytes();
    let exchange = Exchange::new(socket, settings.peer, key, bridge).with_boot(key, boot);
    kernel.register(EXCHANGE, exchange.status());

    let secret = Secret::new(&settings.secret);
    let fetcher = Fetcher {
        rules: rules.clone(),
        me: settings.peer,
        entries: settings.entries,
        secret: secret.clone(),
        boot,
    };
    let agents = Agents {
        desk: desk.clone(),
        routes: routes.clone(),
        secret,
        boot,
        peers: Answerer::new(rules.view()),
        telemetry: telemetry.clone(),
    };
    let (ready_in, ready) = watch::channel(false);
    let view = EntryView {
        desk: desk.clone(),
        rules: rules.clone(),
        telemetry: telemetry.clone(),
        boot,
        guard: guard.clone(),
        trail: trail.clone(),
        exchange: exchange.status(),
    };
    let services = [
        tokio::spawn(agents.listen(peers)),
        tokio::spawn(beat(desk.clone())),
        tokio::spawn(fetcher.run()),
        tokio::spawn(changes::follow(rules.clone(), telemetry.clone())),
        tokio::spawn(keyed.clone().follow()),
        tokio::spawn(hosts::follow(log, desk.clone(), telemetry.clone())),
        tokio::spawn(async move {
            exchange.run(CancellationToken::new()).await;
        }),
        tokio::spawn(admin::serve(admin, Arc::new(view), ready)),
        tokio::spawn(readiness(rules.clone(), ready_in, drain.clone())),
    ];

    let tools = Tools {
        desk: desk.clone(),
        routes,
        clock,
        telemetry,
        keyed: keyed.clone(),
        guard,
        trail,
    };
    let answers = Answers::new();
    let joiner = Joiner::new(answers.clone(), boot);
    Http {
        tools,
        answers,
        joiner,
        rules: rules.table(),
        drain,
    }
    .listen(callers)
    .await;
    finish(&desk, &keyed).await;
    services.iter().for_each(|s| s.abort());
    Ok(())
}

/// Waits for requests whose callers are gone, and for what the log is still to be told.
async fn finish(desk: &Address<Desk>, keyed: &Keyed) {
    while let Ok(status) = desk.send(Inspect).await
        && status.jobs > 0
    {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    keyed.reported().await;
    // The agents' connections write what is queued for them.
    tokio::time::sleep(DRAIN_POLL).await;
}

async fn listen(address: SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen for {whom} on {address}"))
}

async fn beat(desk: Address<Desk>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        if desk.send(Beat).await.is_err() {
            return;
        }
    }
}

/// An entry is ready while it has rules and does not drain.
async fn readiness(rules: Handle, ready: watch::Sender<bool>, drain: CancellationToken) {
    let mut table = rules.table();
    // The service outlives the entry.
    let _ = table.wait_for(|t| t.version() > 0).await;
    ready.send_replace(true);
    drain.cancelled().await;
    spdlog::info!("draining");
    ready.send_replace(false);
}
