//! Small fleet in a single process, to try the router on a developer's machine.
//!
//! Runs entries, agents, and a simulated platform and targets (stand-ins) on the loopback
//! interface.
//!
//! An entry is a router process that accepts client requests, queues them and dispatches them to
//! agents. An agent is the process beside a target that runs dispatched requests. The platform is
//! the operator's infrastructure service with an append-only log, which also holds the rules (the
//! operator's definitions of client accounts and services), and a host list.

use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::listen;
use crate::log::{Client, Log, RULES};
use crate::rules::change::Change;
use crate::rules::record::TextDigest;
use crate::rules::renew::Timing;
use crate::rules::{self, Edit, EditId, KeyDigest, Record};
use crate::settings::{AgentSettings, EntrySettings, TelemetrySettings};
use crate::standin::hosts::HostState;
use crate::standin::{Host, Platform, Target, TargetOptions};
use crate::telemetry::{self, Telemetry};

/// Range from which ports for the listeners of entries and agents are chosen. It is below the
/// ephemeral ports that outgoing connections use.
const PORT_RANGE: Range<u16> = 12_000..30_000;
/// Maximum number of records that the simulated log of the platform retains per stream.
const LOG_RECORDS: usize = 100_000;
/// Secret shared by the processes of the fleet.
const LOCAL_SECRET: &str = "shared by the local fleet only";
/// Author of the sample rules.
const AUTHOR: &str = "balsampitch-local";
/// Services of the sample rules. Each has its own targets.
const SERVICES: [&str; 2] = ["model", "orders"];
/// Availability zones that entries, agents and targets are spread over.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Configuration of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalOptions {
    /// Port of the first entry; entry `i` listens on `port + i`.
    pub port: u16,
    /// Admin port of the first entry; entry `i` listens on `admin + i`.
    pub admin: u16,
    /// Number of entries.
    pub entries: u16,
    /// Number of targets per service.
    pub targets: u16,
    /// Maximum number of concurrent runs per target.
    pub slots: u16,
}

impl Default for LocalOptions {
    fn default() -> Self {
        LocalOptions {
            port: 8080,
            admin: 9080,
            entries: 2,
            targets: 3,
            slots: 4,
        }
    }
}

/// Runs the fleet until the token `shutdown` is cancelled; returns once all entries and agents have
/// stopped.
///
/// # Errors
/// Returns an error if a port is in use, the sample rules are not accepted, or an entry or agent
/// fails.
pub async fn run(options: LocalOptions, shutdown: CancellationToken) -> anyhow::Result<()> {
    let telemetry = telemetry::init(&TelemetrySettings::default(), "balsampitch-local")?;
    run_with(options, telemetry, shutdown).await
}

/// Like [`run`], with `telemetry` shared by all entries and agents.
///
/// # Errors
/// Returns the same errors as [`run`].
pub async fn run_with(
    options: LocalOptions,
    telemetry: Telemetry,
    shutdown: CancellationToken,
) -> anyhow::Result<()> {
    let Fleet { entries, agents } = Fleet::prepare(options).await?;
    let mut entry_tasks = JoinSet::new();
    for entry in entries {
        let rules = rules::service::spawn(Client::new(entry.platform), Timing::random());
        entry_tasks.spawn(crate::entry::run(
            entry,
            rules,
            telemetry.clone(),
            shutdown.clone(),
        ));
    }
    // Agents stop last because requests that wait at the entries still need them.
    let (agents_shutdown, mut agent_tasks) = (CancellationToken::new(), JoinSet::new());
    for agent in agents {
        agent_tasks.spawn(crate::agent::run(
            agent,
            telemetry.clone(),
            agents_shutdown.clone(),
        ));
    }
    print_usage(&options);
    join_all(&mut entry_tasks).await?;
    agents_shutdown.cancel();
    join_all(&mut agent_tasks).await
}

/// Waits until all tasks have ended, or one has failed.
async fn join_all(tasks: &mut JoinSet<anyhow::Result<()>>) -> anyhow::Result<()> {
    while let Some(result) = tasks.join_next().await {
        result.context("a task of the local fleet panicked")??;
    }
    Ok(())
}

/// Settings of the entries and agents of a local fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Settings of each entry.
    pub entries: Vec<EntrySettings>,
    /// Settings of each agent, grouped by service in the order of `SERVICES`.
    pub agents: Vec<AgentSettings>,
}

impl Fleet {
    /// Starts the stand-ins, publishes the sample rules and returns the settings for entries and
    /// agents that use them. With port 0, entries get any free port.
    ///
    /// # Errors
    /// Returns an error if no port is free or the sample rules are not accepted.
    pub async fn prepare(options: LocalOptions) -> anyhow::Result<Self> {
        let StandIns { platform, targets } = start_stand_ins(&options).await?;
        publish(&Client::new(platform), &sample_rules(&options)).await?;
        let peers = free_addresses(options.entries).await?;
        let mut entries = Vec::new();
        for (index, &peer) in peers.iter().enumerate() {
            let index = index as u16;
            entries.push(entry_settings(&options, index, peer, &peers, platform).await?);
        }
        let mut agents = Vec::new();
        for (index, &(target, service)) in targets.iter().enumerate() {
            let agent = agent_settings(&options, index, target, service, &peers, platform);
            agents.push(agent.await?);
        }
        Ok(Fleet { entries, agents })
    }
}

/// Addresses of the stand-ins.
struct StandIns {
    platform: SocketAddr,
    targets: Vec<(SocketAddr, &'static str)>,
}

async fn start_stand_ins(options: &LocalOptions) -> anyhow::Result<StandIns> {
    let target_options = TargetOptions {
        slots: Some(options.slots),
        ..Default::default()
    };
    let mut targets = Vec::new();
    let mut hosts = Vec::new();
    for service in SERVICES {
        let prototype = Target::new(target_options);
        for index in 0..options.targets {
            let listener = listen(0).await?;
            let address = listener.local_addr()?;
            // The targets of a service share their run counts, so that each target reports those of
            // the whole service.
            tokio::spawn(prototype.with_shared_runs(target_options).serve(listener));
            hosts.push(Host {
                host: address.to_string(),
                zone: zone(index.into()),
                service: service.to_owned(),
                state: HostState::Live,
            });
            targets.push((address, service));
        }
    }
    let listener = listen(0).await?;
    let address = listener.local_addr()?;
    let platform = Platform::new(LOG_RECORDS);
    platform.set_hosts(hosts, Duration::ZERO);
    tokio::spawn(platform.serve(listener));
    Ok(StandIns {
        platform: address,
        targets,
    })
}

/// Publishes `text` as the first version of the rules in an empty log.
async fn publish(log: &Client, text: &str) -> anyhow::Result<()> {
    let record = Record::Edit(Edit {
        id: EditId::random(),
        base: 0,
        author: AUTHOR.into(),
        change: Change::between("", text),
        digest: TextDigest::of(text),
    });
    log.append(RULES, record.encode())
        .await
        .context("could not publish the sample rules")?;
    Ok(())
}

/// Rules for the first steps in the README. Each rule must have a comment, which says who asked for
/// it.
fn sample_rules(options: &LocalOptions) -> String {
    let digest = |key: &str| hex::encode(KeyDigest::of(key.as_bytes()).0);
    let comment = "# asked for by the README's first steps";
    format!(
        "account school key-sha256={school} queue=1000 body=1MiB  {comment}\n\
         account club key-sha256={club} queue=1000 body=1MiB  {comment}\n\
         service model slots={slots} repeatable=yes deadline=30s hedge=5% retry=10%  {comment}\n\
         service orders slots={slots} repeatable=no deadline=60s  {comment}\n",
        school = digest("school-key"),
        club = digest("club-key"),
        slots = options.slots,
    )
}

async fn entry_settings(
    options: &LocalOptions,
    index: u16,
    peer: SocketAddr,
    peers: &[SocketAddr],
    platform: SocketAddr,
) -> anyhow::Result<EntrySettings> {
    Ok(EntrySettings {
        listen: address_at(options.port, index).await?,
        peer,
        admin: address_at(options.admin, index).await?,
        zone: zone(index.into()),
        entries: peers.to_vec(),
        platform,
        secret: LOCAL_SECRET.to_owned(),
        telemetry: TelemetrySettings::default(),
    })
}

/// Returns the address with port `first + index`, or any free address if `first` is 0.
async fn address_at(first: u16, index: u16) -> anyhow::Result<SocketAddr> {
    match first {
        0 => free_address().await,
        first => Ok(loopback(first + index)),
    }
}

/// Returns a free address. Its port is outside the ephemeral range, so that no outgoing connection
/// can take it before the caller listens on it. Within a process, ports are reused only after the
/// whole range has been tried.
async fn free_address() -> anyhow::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start: u16 = rand::random_range(PORT_RANGE);
    // The first call in this process starts at a random port.
    let _ = NEXT.compare_exchange(0, start, Ordering::Relaxed, Ordering::Relaxed);
    for _ in PORT_RANGE {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if PORT_RANGE.contains(&port) && listen(port).await.is_ok() {
            return Ok(loopback(port));
        }
        if !PORT_RANGE.contains(&port) {
            NEXT.store(PORT_RANGE.start, Ordering::Relaxed);
        }
    }
    anyhow::bail!("could not find a free port")
}

async fn agent_settings(
    options: &LocalOptions,
    index: usize,
    target: SocketAddr,
    service: &str,
    peers: &[SocketAddr],
    platform: SocketAddr,
) -> anyhow::Result<AgentSettings> {
    Ok(AgentSettings {
        target,
        service: service.to_owned(),
        slots: options.slots,
        zone: zone(index),
        admin: free_address().await?,
        entries: peers.to_vec(),
        platform,
        secret: LOCAL_SECRET.to_owned(),
        telemetry: TelemetrySettings::default(),
    })
}

/// Returns `count` free addresses for the entries' peer listeners.
async fn free_addresses(count: u16) -> anyhow::Result<Vec<SocketAddr>> {
    let mut peers = Vec::new();
    for _ in 0..count {
        peers.push(free_address().await?);
    }
    Ok(peers)
}

async fn listen(port: u16) -> anyhow::Result<TcpListener> {
    listen::tcp(loopback(port), "the local fleet").await
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn zone(index: usize) -> String {
    ZONES[index % ZONES.len()].to_owned()
}

fn print_usage(options: &LocalOptions) {
    for index in 0..options.entries {
        let (port, admin) = (options.port + index, options.admin + index);
        println!("entry {index}: http://127.0.0.1:{port}  admin: http://127.0.0.1:{admin}/status");
    }
    println!("try:");
    println!(
        "curl -H 'Authorization: Bearer school-key' -d 'hello' \
         'http://127.0.0.1:{}/model/run?ms=50'",
        options.port
    );
}
