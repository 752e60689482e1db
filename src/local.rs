//! A whole small fleet in one process, for a newcomer's laptop.
//!
//! Entries, agents, and stand-ins for the platform and the targets, on loopback.

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

/// Ports for the fleet's own connections, below those that outgoing connections take.
const FREE_PORTS: Range<u16> = 12_000..30_000;
/// Records that the stand-in log keeps in a stream.
const LOG_RECORDS: usize = 100_000;
/// The key that the local processes share.
const LOCAL_SECRET: &str = "shared by the local fleet only";
/// Who applies the sample rules.
const AUTHOR: &str = "balsampitch-local";
/// Services of the sample rules, each with targets of its own.
const SERVICES: [&str; 2] = ["model", "orders"];
/// Availability zones over which the local hosts are spread.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// What to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalOptions {
    /// Port of the first entry; entry `i` listens on `port + i`.
    pub port: u16,
    /// Admin port of the first entry.
    pub admin: u16,
    /// Entries to start.
    pub entries: u16,
    /// Targets to start for each service.
    pub targets: u16,
    /// Requests that each target runs at a time.
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

/// Runs the fleet until `drain` is cancelled and every process in it has finished.
///
/// # Errors
/// When a port is taken, the sample rules are not accepted, or a process fails.
pub async fn run(options: LocalOptions, drain: CancellationToken) -> anyhow::Result<()> {
    let telemetry = telemetry::init(&TelemetrySettings::default(), "balsampitch-local")?;
    run_with(options, telemetry, drain).await
}

/// As [`run`], with telemetry that all processes of the fleet share.
///
/// # Errors
/// As [`run`].
pub async fn run_with(
    options: LocalOptions,
    telemetry: Telemetry,
    drain: CancellationToken,
) -> anyhow::Result<()> {
    let Fleet { entries, agents } = Fleet::prepare(options).await?;
    let mut running = JoinSet::new();
    for entry in entries {
        let rules = rules::service::spawn(Client::new(entry.platform), Timing::random());
        running.spawn(crate::entry::run(
            entry,
            rules,
            telemetry.clone(),
            drain.clone(),
        ));
    }
    // Agents stop last: what waits at the entries still needs them.
    let (agents_drain, mut serving) = (CancellationToken::new(), JoinSet::new());
    for agent in agents {
        serving.spawn(crate::agent::run(
            agent,
            telemetry.clone(),
            agents_drain.clone(),
        ));
    }
    announce(&options);
    ended(&mut running).await?;
    agents_drain.cancel();
    ended(&mut serving).await
}

/// Waits until all of them have ended.
async fn ended(processes: &mut JoinSet<anyhow::Result<()>>) -> anyhow::Result<()> {
    while let Some(ended) = processes.join_next().await {
        ended.context("could not keep a process of the fleet running")??;
    }
    Ok(())
}

/// Settings of a fleet whose stand-ins run and whose rules are published.
#[derive(Debug)]
pub struct Fleet {
    /// Settings of each entry.
    pub entries: Vec<EntrySettings>,
    /// Settings of each agent; those of the first service come first.
    pub agents: Vec<AgentSettings>,
}

impl Fleet {
    /// Starts the stand-ins and publishes the sample rules. Port 0 stands for any free port.
    ///
    /// # Errors
    /// When no port is free or the sample rules are not accepted.
    pub async fn prepare(options: LocalOptions) -> anyhow::Result<Self> {
        let platform = start_platform(&options).await?;
        publish(&Client::new(platform.address), &sample_rules(&options)).await?;
        let peers = reserve(options.entries).await?;
        let mut entries = Vec::new();
        for (at, &peer) in peers.iter().enumerate() {
            let at = at as u16;
            entries.push(entry_settings(&options, at, peer, &peers, platform.address).await?);
        }
        let mut agents = Vec::new();
        for (at, &(target, service)) in platform.targets.iter().enumerate() {
            let agent = agent_settings(&options, at, target, service, &peers, platform.address);
            agents.push(agent.await?);
        }
        Ok(Fleet { entries, agents })
    }
}

/// The stand-ins' addresses.
struct Standins {
    address: SocketAddr,
    targets: Vec<(SocketAddr, &'static str)>,
}

async fn start_platform(options: &LocalOptions) -> anyhow::Result<Standins> {
    let target_options = TargetOptions {
        slots: Some(options.slots),
        ..Default::default()
    };
    let mut targets = Vec::new();
    let mut hosts = Vec::new();
    for service in SERVICES {
        let counted = Target::new(target_options);
        for at in 0..options.targets {
            let listener = listen(0).await?;
            let address = listener.local_addr()?;
            // Any of them tells how often the service ran a request.
            tokio::spawn(counted.sibling(target_options).serve(listener));
            hosts.push(Host {
                host: address.to_string(),
                zone: zone(at.into()),
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
    Ok(Standins { address, targets })
}

/// Makes a text the first version in an empty log.
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
        .context("could not apply the sample rules")?;
    Ok(())
}

/// The rules of the README's first steps.
fn sample_rules(options: &LocalOptions) -> String {
    let digest = |key: &str| hex::encode(KeyDigest::of(key.as_bytes()).0);
    let asked = "# asked for by the README's first steps";
    format!(
        "account school key-sha256={school} queue=1000 body=1MiB  {asked}\n\
         account club key-sha256={club} queue=1000 body=1MiB  {asked}\n\
         service model slots={slots} repeatable=yes deadline=30s hedge=5% retry=10%  {asked}\n\
         service orders slots={slots} repeatable=no deadline=60s  {asked}\n",
        school = digest("school-key"),
        club = digest("club-key"),
        slots = options.slots,
    )
}

async fn entry_settings(
    options: &LocalOptions,
    at: u16,
    peer: SocketAddr,
    peers: &[SocketAddr],
    platform: SocketAddr,
) -> anyhow::Result<EntrySettings> {
    Ok(EntrySettings {
        listen: port(options.port, at).await?,
        peer,
        admin: port(options.admin, at).await?,
        zone: zone(at.into()),
        entries: peers.to_vec(),
        platform,
        secret: LOCAL_SECRET.to_owned(),
        telemetry: TelemetrySettings::default(),
    })
}

/// The address of a numbered process; any free one when the first has port 0.
async fn port(first: u16, at: u16) -> anyhow::Result<SocketAddr> {
    match first {
        0 => free().await,
        first => Ok(loopback(first + at)),
    }
}

/// A free address whose port no outgoing connection takes before it is listened on. No port is
/// given out twice.
async fn free() -> anyhow::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start: u16 = rand::random_range(FREE_PORTS);
    // Zero until a process gives out its first port.
    let _ = NEXT.compare_exchange(0, start, Ordering::Relaxed, Ordering::Relaxed);
    for _ in FREE_PORTS {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if FREE_PORTS.contains(&port) && listen(port).await.is_ok() {
            return Ok(loopback(port));
        }
        if !FREE_PORTS.contains(&port) {
            NEXT.store(FREE_PORTS.start, Ordering::Relaxed);
        }
    }
    anyhow::bail!("could not find a free port")
}

async fn agent_settings(
    options: &LocalOptions,
    at: usize,
    target: SocketAddr,
    service: &str,
    peers: &[SocketAddr],
    platform: SocketAddr,
) -> anyhow::Result<AgentSettings> {
    Ok(AgentSettings {
        target,
        service: service.to_owned(),
        slots: options.slots,
        zone: zone(at),
        admin: free().await?,
        entries: peers.to_vec(),
        platform,
        secret: LOCAL_SECRET.to_owned(),
        telemetry: TelemetrySettings::default(),
    })
}

/// Free addresses for the entries' peers.
async fn reserve(count: u16) -> anyhow::Result<Vec<SocketAddr>> {
    let mut peers = Vec::new();
    for _ in 0..count {
        peers.push(free().await?);
    }
    Ok(peers)
}

async fn listen(port: u16) -> anyhow::Result<TcpListener> {
    listen::tcp(loopback(port), "the local fleet").await
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn zone(at: usize) -> String {
    ZONES[at % ZONES.len()].to_owned()
}

fn announce(options: &LocalOptions) {
    for at in 0..options.entries {
        let (port, admin) = (options.port + at, options.admin + at);
        println!("entry {at}: http://127.0.0.1:{port}  admin: http://127.0.0.1:{admin}/status");
    }
    println!("try:");
    println!(
        "curl -H 'Authorization: Bearer school-key' -d 'hello' \
         'http://127.0.0.1:{}/model/run?ms=50'",
        options.port
    );
}
