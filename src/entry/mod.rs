//! The entry: a router process that accepts requests of callers (HTTP clients that act for a client
//! account), queues the requests by client account, dispatches them to agents and streams the
//! responses back.
//!
//! An agent is the process beside a target that runs dispatched requests. A slot is room for one
//! concurrent request at a target. Agents send offers of free slots to the entries; an offer that
//! waits at an entry for a request is called parked. Usage is charged in slot time, the time for
//! which a request occupies a slot. The platform is the operator's infrastructure service, with an
//! append-only log, which also holds the rules (the operator's definitions of client accounts and
//! services), and a host list.

pub mod agents;
pub mod budgets;
pub mod dispatcher;
pub mod history;
pub mod hosts;
pub mod http;
pub mod idempotency;
pub mod messages;
pub mod peer_rules;
pub mod quarantine;
pub mod quarantine_sync;
pub mod replay;
pub mod request;
pub mod request_task;
pub mod response_cache;
pub mod routes;
pub mod rules_watch;
pub mod schedulers;
pub mod status;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use xtra::{Address, Mailbox};

use crate::admin;
use crate::auth::Secret;
use crate::conn::HEARTBEAT_PERIOD;
use crate::entry::agents::AgentListener;
use crate::entry::dispatcher::Dispatcher;
use crate::entry::history::RequestHistory;
use crate::entry::http::HttpServer;
use crate::entry::idempotency::KeyClaims;
use crate::entry::messages::{DISPATCHER, GetStatus, SendHeartbeats};
use crate::entry::peer_rules::{RulesFetcher, RulesServer};
use crate::entry::quarantine::SharedQuarantine;
use crate::entry::quarantine_sync::QuarantineSync;
use crate::entry::replay::ReplayClient;
use crate::entry::request_task::TaskContext;
use crate::entry::response_cache::ResponseCache;
use crate::entry::routes::Routes;
use crate::entry::schedulers::{ExchangeAdapter, SchedulerMap};
use crate::entry::status::EntryAdmin;
use crate::exchange::driver::{Exchange, ExchangeStatus};
use crate::ids::BootId;
use crate::listen;
use crate::log::Client;
use crate::registry::{Registry, ServiceName};
use crate::rules::renew::Timing;
use crate::rules::service::Handle;
use crate::settings::EntrySettings;
use crate::telemetry::{self, Telemetry};
use crate::units::Clock;

/// Name of the rules handle in the service registry.
pub const RULES: ServiceName = ServiceName("rules");

/// Polling interval of a draining entry for unfinished requests.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Capacity of the dispatcher's mailbox; senders wait while it is full.
const DISPATCHER_MAILBOX: usize = 4096;

/// Runs an entry as a separate process, with telemetry and the rules from the platform's log.
///
/// # Errors
/// Returns an error if telemetry cannot be set up, or an address cannot be bound.
pub async fn serve(settings: EntrySettings, drain: CancellationToken) -> anyhow::Result<()> {
    let telemetry = telemetry::init(&settings.telemetry, "balsampitch-entry")?;
    let rules = crate::rules::service::spawn(Client::new(settings.platform), Timing::random());
    run(settings, rules, telemetry.clone(), drain).await?;
    telemetry.shutdown().await
}

/// Runs an entry. Cancelling `drain` starts the shutdown; returns once all requests have finished.
///
/// # Errors
/// Returns an error if an address cannot be bound.
pub async fn run(
    settings: EntrySettings,
    rules: Handle,
    telemetry: Telemetry,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    let sockets = Sockets::bind(&settings).await?;
    let components = Components::new(&Registry::new(), settings, rules, telemetry);
    let http = components.http(drain.clone());
    let mut services = JoinSet::new();
    components.spawn_network(&mut services, sockets.peers, sockets.gossip);
    components.spawn_platform(&mut services);
    components.spawn_admin(&mut services, sockets.admin, drain);

    http.listen(sockets.callers).await;
    wait_until_drained(&components.dispatcher, &components.claims).await;
    services.abort_all();
    Ok(())
}

/// The entry's bound sockets.
struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
    gossip: UdpSocket,
}

impl Sockets {
    async fn bind(settings: &EntrySettings) -> anyhow::Result<Self> {
        let gossip = listen::udp(settings.peer, "entries").await?;
        Ok(Sockets {
            callers: listen::tcp(settings.listen, "callers").await?,
            peers: listen::tcp(settings.peer, "agents").await?,
            admin: listen::tcp(settings.admin, "operators").await?,
            gossip,
        })
    }
}

/// State shared by the tasks of an entry.
struct Components {
    settings: EntrySettings,
    rules: Handle,
    telemetry: Telemetry,
    clock: Clock,
    boot: BootId,
    routes: Routes,
    log: Client,
    claims: KeyClaims,
    schedulers: SchedulerMap,
    quarantine: SharedQuarantine,
    history: RequestHistory,
    dispatcher: Address<Dispatcher>,
    /// Channel on which the exchange publishes its status.
    exchange: watch::Sender<ExchangeStatus>,
}

impl Components {
    fn new(
        registry: &Registry,
        settings: EntrySettings,
        rules: Handle,
        telemetry: Telemetry,
    ) -> Self {
        let (clock, boot) = (Clock::start(), BootId::random());
        let routes = Routes::default();
        let log = Client::new(settings.platform);
        let claims = KeyClaims::new(log.clone(), clock, settings.listen, boot);
        let (schedulers, history) = (SchedulerMap::new(), RequestHistory::new(clock));
        let table = rules.table();
        let dispatcher = Dispatcher::new(
            clock,
            boot,
            table,
            routes.clone(),
            schedulers.clone(),
            claims.clone(),
        );
        let dispatcher = dispatcher.with_history(history.clone());
        let dispatcher = xtra::spawn_tokio(dispatcher, Mailbox::bounded(DISPATCHER_MAILBOX));
        registry.register(RULES, rules.clone());
        registry.register(DISPATCHER, dispatcher.clone());
        Components {
            settings,
            rules,
            telemetry,
            clock,
            boot,
            routes,
            log,
            claims,
            schedulers,
            quarantine: SharedQuarantine::new(clock),
            history,
            dispatcher,
            exchange: watch::Sender::default(),
        }
    }

    /// Spawns the tasks for agents, other entries and the exchange.
    fn spawn_network(&self, services: &mut JoinSet<()>, peers: TcpListener, gossip: UdpSocket) {
        let secret = Secret::new(&self.settings.secret);
        let agents = AgentListener {
            dispatcher: self.dispatcher.clone(),
            routes: self.routes.clone(),
            secret: secret.clone(),
            boot: self.boot,
            peers: RulesServer::new(self.rules.state()),
            telemetry: self.telemetry.clone(),
        };
        let fetcher = RulesFetcher {
            rules: self.rules.clone(),
            me: self.settings.peer,
            entries: self.settings.entries.clone(),
            secret,
            boot: self.boot,
        };
        let exchange = self.exchange(gossip);
        services.spawn(agents.listen(peers));
        services.spawn(send_heartbeats(self.dispatcher.clone()));
        services.spawn(fetcher.run());
        services.spawn(async move {
            exchange.run(CancellationToken::new()).await;
        });
    }

    fn exchange(&self, socket: UdpSocket) -> Exchange<ExchangeAdapter> {
        let (me, entries) = (self.settings.peer, &self.settings.entries);
        let sync = QuarantineSync::new(self.quarantine.clone(), self.clock, me, entries);
        let adapter = ExchangeAdapter::new(
            self.schedulers.clone(),
            self.rules.table(),
            entries.clone(),
            sync,
        );
        let secret = self.settings.secret.as_bytes();
        Exchange::new(socket, me, secret, adapter)
            .with_boot(secret, self.boot)
            .with_status_sender(self.exchange.clone())
    }

    /// Spawns the tasks that read the platform's log and host list.
    fn spawn_platform(&self, services: &mut JoinSet<()>) {
        let hosts = hosts::follow(
            self.log.clone(),
            self.dispatcher.clone(),
            self.telemetry.clone(),
        );
        services.spawn(rules_watch::follow(
            self.rules.clone(),
            self.telemetry.clone(),
        ));
        services.spawn(self.claims.clone().follow());
        services.spawn(hosts);
    }

    fn spawn_admin(
        &self,
        services: &mut JoinSet<()>,
        listener: TcpListener,
        drain: CancellationToken,
    ) {
        let (ready_in, ready) = watch::channel(false);
        let pages = EntryAdmin {
            dispatcher: self.dispatcher.clone(),
            rules: self.rules.clone(),
            telemetry: self.telemetry.clone(),
            boot: self.boot,
            quarantine: self.quarantine.clone(),
            history: self.history.clone(),
            exchange: self.exchange.subscribe(),
        };
        services.spawn(admin::serve(listener, Arc::new(pages), ready));
        services.spawn(update_readiness(self.rules.clone(), ready_in, drain));
    }

    fn http(&self, drain: CancellationToken) -> HttpServer {
        let context = TaskContext {
            dispatcher: self.dispatcher.clone(),
            routes: self.routes.clone(),
            clock: self.clock,
            telemetry: self.telemetry.clone(),
            claims: self.claims.clone(),
            quarantine: self.quarantine.clone(),
            history: self.history.clone(),
        };
        let cache = ResponseCache::new();
        let replay = ReplayClient::new(cache.clone(), self.boot);
        HttpServer {
            context,
            cache,
            replay,
            rules: self.rules.table(),
            drain,
        }
    }
}

/// Waits for requests whose callers have disconnected, and for reports that are being appended.
async fn wait_until_drained(dispatcher: &Address<Dispatcher>, claims: &KeyClaims) {
    while let Ok(status) = dispatcher.send(GetStatus).await
        && status.jobs > 0
    {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    claims.flush_reports().await;
    // Leave time to write the frames queued on agents' connections.
    tokio::time::sleep(DRAIN_POLL).await;
}

async fn send_heartbeats(dispatcher: Address<Dispatcher>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        if dispatcher.send(SendHeartbeats).await.is_err() {
            return;
        }
    }
}

/// Reports the entry ready from its first version of the rules until it drains.
async fn update_readiness(rules: Handle, ready: watch::Sender<bool>, drain: CancellationToken) {
    let mut table = rules.table();
    // The rules service outlives the entry.
    let _ = table.wait_for(|t| t.version() > 0).await;
    ready.send_replace(true);
    drain.cancelled().await;
    spdlog::info!("draining");
    ready.send_replace(false);
}
