//! The gateway: a router process on an entry host that sends client requests directly to targets,
//! without an agent on the target's host.
//!
//! It reads its configuration and the list of targets from the platform, the operator's
//! infrastructure service. A target may run a model inference engine (*engine*). Latency is
//! measured up to the *first event*: the first server-sent event of a streamed response, or the
//! whole of a response that is not streamed, which is buffered before it is forwarded.
//!
//! The decisions ([`selection`], [`prefix_transfer`], [`reservation`], [`regions`], [`source`],
//! [`overload`], [`admission`], [`fair_share`], [`retry`], [`retry_budget`] and [`health`]) do no I/O. [`state`] holds the state that all modules share; [`follow`] and
//! [`peers`] keep it up to date. A request arrives at [`http`], is parsed by [`request`], and is
//! sent to a target by [`forward`] and [`send`]; [`relay`] passes event streams back.

pub mod admission;
pub mod attempts;
pub mod body;
pub mod byte_budget;
pub mod cold_limit;
pub mod cold_probe;
pub mod config;
pub mod config_check;
pub mod connection_limits;
pub mod copies;
pub mod crash_tracker;
pub mod directory;
pub mod events;
pub mod evidence;
pub mod fair_share;
pub mod follow;
pub mod forward;
pub mod grace;
pub mod health;
pub mod http;
pub mod idle_timer;
pub mod in_flight;
pub mod list_view;
pub mod log_limiter;
pub mod monitoring;
pub mod notices;
pub mod overload;
pub mod part_quarantine;
pub mod peers;
pub mod pool;
pub mod position;
pub mod prefix_owner;
pub mod prefix_transfer;
pub mod prompts;
pub mod regions;
pub mod relay;
pub mod reload;
pub mod request;
pub mod request_log;
pub mod request_quarantine;
pub mod reservation;
pub mod reservation_call;
pub mod response;
pub mod restrictions;
pub mod resume;
pub mod resumption;
pub mod retry;
pub mod retry_budget;
pub mod run_check;
pub mod selection;
pub mod send;
pub mod service_demand;
pub mod sliding_count;
pub mod source;
pub mod state;
pub mod stream_book;
pub mod stream_questions;
pub mod supervise;
pub mod target_limit;
pub mod targets;
pub mod version_history;
pub mod versions;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::gateway::directory::Directory;
use crate::gateway::http::{ConnectionCount, HttpServer};
use crate::gateway::monitoring::MonitoringServer;
use crate::gateway::peers::Peers;
use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::gateway::supervise::{TaskFailed, keep_running};
use crate::listen;
use crate::platform::Store;
use crate::settings::GatewaySettings;
use crate::telemetry::Telemetry;
use crate::telemetry::logs::{self, Stream};
use crate::telemetry::scrape::ScrapeRegistry;

/// Delay before the process ends, so that responses that have been written reach the socket.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// Time between the deadline for running requests and the end of the grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// How much of it is for the answers to requests that were still running at their deadline.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Runs a gateway as a separate process.
///
/// # Errors
/// Returns an error if signals, logging or metrics cannot be set up, or if the process cannot
/// listen on one of its addresses.
pub async fn serve(
    settings: GatewaySettings,
    path: PathBuf,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    // Comes first, because a SIGHUP without a handler ends the process.
    let hangup = signal(SignalKind::hangup()).context("could not watch for SIGHUP")?;
    logs::init(
        settings.telemetry.logs,
        "balsampitch-gateway",
        Stream::Stdout,
    )?;
    let scrape = ScrapeRegistry::default();
    let telemetry = Telemetry::scraped(scrape.meter_provider()?);
    let store = Store::new(settings.platform);
    let limits = RetryLimits::from(&settings.retries);
    let regions = settings.region_table();
    regions::log_table(&regions);
    let gateway = GatewayState::new(&settings.zone, limits)
        .with_regions(regions)
        .cold_start(settings.first)
        .with_limits(settings.connection_limits())
        .with_bytes(settings.byte_budget())
        .with_engines(settings.engines)
        .with_telemetry(telemetry);
    let gateway = Arc::new(gateway);
    let reloads = tokio::spawn(reload::follow(path, hangup, gateway.clone()));
    let result = run(settings, gateway, scrape, store, drain).await;
    reloads.abort();
    result
}

/// Runs a gateway until `drain` is cancelled and its requests are finished.
///
/// # Errors
/// Returns an error if the process cannot listen on one of its addresses, or if one of its tasks
/// fails again and again.
pub async fn run<D: Directory>(
    settings: GatewaySettings,
    gateway: Arc<GatewayState>,
    scrape: ScrapeRegistry,
    directory: D,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    let clients = listen::tcp(settings.listen, "callers").await?;
    let ready = listen::tcp(settings.ready, "the load balancer").await?;
    let metrics = listen::tcp(settings.metrics, "metrics scrapers").await?;
    let handover = listen::tcp(settings.peer, "other gateways").await?;
    let gossip = listen::udp(settings.peer, "other gateways").await?;
    gateway.with_peers(|peers| *peers = Peers::new(settings.member(), settings.seed_peers()));
    let mut services = follow_and_exchange(&gateway, &directory, handover, gossip);
    let monitoring = MonitoringServer {
        gateway: gateway.clone(),
        drain: drain.clone(),
        scrape,
    };
    serve_monitoring(&mut services, &monitoring, ready);
    serve_monitoring(&mut services, &monitoring, metrics);
    spdlog::info!("started", kv: { name: = settings.name.as_str(), zone: = settings.zone.as_str() });

    let ending = gateway.clone();
    let server = HttpServer {
        gateway,
        drain: drain.clone(),
        connections: ConnectionCount::new(settings.connection_limits()),
        cores: settings.cores,
    };
    let grace = Duration::from_secs_f64(settings.grace).saturating_sub(GRACE_MARGIN);
    let grace_end = async {
        drain.cancelled().await;
        spdlog::info!("leaving", kv: { name: = settings.name.as_str() });
        ending.begin_grace(grace);
        tokio::time::sleep(grace).await;
        ending.end_grace();
        tokio::time::sleep(ANSWER_TIME).await;
    };
    tokio::select! {
        () = server.listen(clients) => {}
        () = grace_end => spdlog::warn!("requests were still running at the end of the grace period"),
        Some(Ok(failed)) = services.join_next() => return Err(failed.into()),
    }
    spdlog::info!("stopped", kv: { name: = settings.name.as_str() });
    tokio::time::sleep(FLUSH_DELAY).await;
    services.abort_all();
    Ok(())
}

/// Starts the tasks that keep the copies of the platform's lists up to date and talk to other
/// gateways.
fn follow_and_exchange<D: Directory>(
    gateway: &Arc<GatewayState>,
    directory: &D,
    handover: TcpListener,
    gossip: UdpSocket,
) -> JoinSet<TaskFailed> {
    let mut services = JoinSet::new();
    let (handover, gossip) = (Arc::new(handover), Arc::new(gossip));
    let context = (directory.clone(), gateway.clone());
    let (directory, state) = context.clone();
    services.spawn(keep_running("follow configuration", move || {
        follow::follow_config(directory.clone(), state.clone())
    }));
    let (directory, state) = context.clone();
    services.spawn(keep_running("follow targets", move || {
        follow::follow_targets(directory.clone(), state.clone())
    }));
    let (directory, state) = context.clone();
    services.spawn(keep_running("fetch configurations from peers", move || {
        peers::service::sync_configs(state.clone(), directory.clone())
    }));
    let state = gateway.clone();
    services.spawn(keep_running("hand over", move || {
        peers::handover::serve(handover.clone(), state.clone())
    }));
    let state = gateway.clone();
    services.spawn(keep_running("gossip", move || {
        peers::service::run(gossip.clone(), state.clone())
    }));
    services
}

fn serve_monitoring(
    services: &mut JoinSet<TaskFailed>,
    server: &MonitoringServer,
    listener: TcpListener,
) {
    let (server, listener) = (server.clone(), Arc::new(listener));
    services.spawn(keep_running("monitoring", move || {
        server.clone().serve(listener.clone())
    }));
}
