//! What the path through an entry and an agent costs, over loopback sockets in real time.
//!
//! One process holds callers, an entry, agents, targets and the platform's stand-in. The entry
//! and the agents each have a runtime with one worker thread, whose processor time is read from
//! the kernel's accounts; all else shares a third runtime.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::local::{Fleet, LocalOptions};

use super::report::Report;
use super::threads;

/// Name of the experiment.
pub const PATH: &str = "path";

const ENTRY_THREAD: &str = "path-entry";
const AGENT_THREAD: &str = "path-agent";
const OTHER_THREAD: &str = "path-other";
const OTHER_WORKERS: usize = 4;
const KEY: &str = "Bearer school-key";
const RUN: &str = "/model/run?ms=0";
const RUN_DIRECT: &str = "/run?ms=0";
const SLOTS: u16 = 256;
/// Pairs of calls, one direct and one through the fleet, that warm the connections up.
const WARM_PAIRS: usize = 200;
/// Pairs of calls that are measured.
const PAIRS: usize = 3_000;
const CALLERS: usize = 64;
const STREAMS: usize = 128;
const STREAM_CHUNKS: usize = 200;
/// Pause of the target before each chunk, in ms.
const CHUNK_PAUSE_MS: usize = 5;
const LOAD_SPAN: Duration = Duration::from_secs(4);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_PAUSE: Duration = Duration::from_millis(20);

/// The runtimes of the three roles.
struct Roles {
    entry: Runtime,
    agent: Runtime,
    other: Runtime,
}

/// Where callers connect.
#[derive(Clone, Copy)]
struct Doors {
    entry: SocketAddr,
    target: SocketAddr,
}

/// What a load took.
struct Load {
    done: usize,
    span: Duration,
    entry: Duration,
    agent: Duration,
}

/// Measures the path. The seed changes nothing: there is no chance in the demand.
///
/// # Errors
/// When the fleet cannot be started or a call fails.
pub fn run(seed: u64) -> anyhow::Result<Vec<Report>> {
    let roles = Roles {
        entry: runtime(ENTRY_THREAD, 1)?,
        agent: runtime(AGENT_THREAD, 1)?,
        other: runtime(OTHER_THREAD, OTHER_WORKERS)?,
    };
    let drain = CancellationToken::new();
    let doors = roles.other.block_on(start(&roles, &drain))?;
    let reports = vec![
        roles.other.block_on(latency(doors, seed))?,
        roles.other.block_on(requests(doors, seed))?,
        roles.other.block_on(streams(doors, seed))?,
    ];
    drain.cancel();
    roles.entry.shutdown_background();
    roles.agent.shutdown_background();
    roles.other.shutdown_background();
    Ok(reports)
}

fn runtime(name: &str, workers: usize) -> anyhow::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(workers)
        .thread_name(name)
        .enable_all()
        .build()
        .with_context(|| format!("could not start the runtime {name}"))
}

async fn start(roles: &Roles, drain: &CancellationToken) -> anyhow::Result<Doors> {
    let options = LocalOptions {
        port: 0,
        admin: 0,
        entries: 1,
        targets: 1,
        slots: SLOTS,
    };
    let fleet = Fleet::prepare(options).await?;
    let doors = Doors {
        entry: fleet.entries[0].listen,
        target: fleet.agents[0].target,
    };
    for entry in fleet.entries {
        roles.entry.spawn(crate::entry::serve(entry, drain.clone()));
    }
    for agent in fleet.agents {
        roles.agent.spawn(crate::agent::serve(agent, drain.clone()));
    }
    tokio::time::timeout(READY_TIMEOUT, ready(doors.entry))
        .await
        .context("the fleet was not ready in time")?;
    Ok(doors)
}

/// Waits until a call goes through.
async fn ready(entry: SocketAddr) {
    loop {
        if let Ok(mut client) = Client::connect(entry).await
            && client.call(RUN).await.is_ok()
        {
            return;
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
}

/// Calls one at a time, in turn straight to the target and through the fleet.
async fn latency(doors: Doors, seed: u64) -> anyhow::Result<Report> {
    let mut direct = Client::connect(doors.target).await?;
    let mut through = Client::connect(doors.entry).await?;
    let (mut short, mut long) = (Vec::new(), Vec::new());
    for pair in 0..WARM_PAIRS + PAIRS {
        let straight = direct.timed(RUN_DIRECT).await?;
        let routed = through.timed(RUN).await?;
        if pair >= WARM_PAIRS {
            short.push(straight);
            long.push(routed);
        }
    }
    let added =
        |percent| millis(at(&mut long.clone(), percent)) - millis(at(&mut short.clone(), percent));
    Ok(Report::new(PATH, seed, "fleet")
        .text("case", "latency")
        .figure("calls_count", PAIRS as f64)
        .figure("direct_p50_ms", millis(at(&mut short.clone(), 50)))
        .figure("direct_p99_ms", millis(at(&mut short.clone(), 99)))
        .figure("through_p50_ms", millis(at(&mut long.clone(), 50)))
        .figure("through_p99_ms", millis(at(&mut long.clone(), 99)))
        .figure("added_p50_ms", added(50))
        .figure("added_p99_ms", added(99)))
}

/// Calls from many callers, each as soon as its last is answered.
async fn requests(doors: Doors, seed: u64) -> anyhow::Result<Report> {
    let load = load(CALLERS, |until| call_until(doors.entry, until)).await?;
    Ok(load.report(seed, "requests", "requests"))
}

/// Streams from many callers.
async fn streams(doors: Doors, seed: u64) -> anyhow::Result<Report> {
    let mut load = load(STREAMS, |until| stream_until(doors.entry, until)).await?;
    load.done *= STREAM_CHUNKS;
    Ok(load.report(seed, "streams", "chunks"))
}

async fn load<F>(callers: usize, caller: impl Fn(Instant) -> F) -> anyhow::Result<Load>
where
    F: Future<Output = anyhow::Result<usize>> + Send + 'static,
{
    let (entry, agent) = (threads::busy(ENTRY_THREAD)?, threads::busy(AGENT_THREAD)?);
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(caller(start + LOAD_SPAN));
    }
    let mut done = 0;
    while let Some(ended) = tasks.join_next().await {
        done += ended.context("a caller failed")??;
    }
    Ok(Load {
        done,
        span: start.elapsed(),
        entry: threads::busy(ENTRY_THREAD)? - entry,
        agent: threads::busy(AGENT_THREAD)? - agent,
    })
}

async fn call_until(entry: SocketAddr, until: Instant) -> anyhow::Result<usize> {
    let mut client = Client::connect(entry).await?;
    let mut done = 0;
    while Instant::now() < until {
        client.call(RUN).await?;
        done += 1;
    }
    Ok(done)
}

async fn stream_until(entry: SocketAddr, until: Instant) -> anyhow::Result<usize> {
    let path = format!("/model/stream?chunks={STREAM_CHUNKS}&ms={CHUNK_PAUSE_MS}");
    let mut client = Client::connect(entry).await?;
    let mut done = 0;
    while Instant::now() < until {
        client.call(&path).await?;
        done += 1;
    }
    Ok(done)
}

impl Load {
    fn report(&self, seed: u64, case: &str, unit: &str) -> Report {
        let done = self.done as f64;
        let micros = |busy: Duration| busy.as_secs_f64() * 1e6 / done;
        Report::new(PATH, seed, "fleet")
            .text("case", case)
            .figure(&format!("{unit}_per_s"), done / self.span.as_secs_f64())
            .figure(
                &format!("{unit}_per_entry_core_s"),
                done / self.entry.as_secs_f64(),
            )
            .figure("entry_us", micros(self.entry))
            .figure("agent_us", micros(self.agent))
            .figure(
                "entry_core_percent",
                100.0 * self.entry.as_secs_f64() / self.span.as_secs_f64(),
            )
    }
}

/// A caller's connection.
struct Client {
    send: SendRequest<Full<Bytes>>,
    host: String,
}

impl Client {
    async fn connect(to: SocketAddr) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (send, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let host = to.to_string();
        Ok(Client { send, host })
    }

    /// Calls and reads the whole answer.
    async fn call(&mut self, path: &str) -> anyhow::Result<()> {
        let request = Request::post(path)
            .header("host", &self.host)
            .header("authorization", KEY)
            .body(Full::from("a small body"))?;
        self.send.ready().await?;
        let answer = self.send.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        ensure!(status.is_success(), "a call was answered {status}");
        Ok(())
    }

    async fn timed(&mut self, path: &str) -> anyhow::Result<Duration> {
        let start = Instant::now();
        self.call(path).await?;
        Ok(start.elapsed())
    }
}

fn at(spans: &mut [Duration], percent: usize) -> Duration {
    spans.sort_unstable();
    let at = spans.len() * percent / 100;
    spans[at.min(spans.len() - 1)]
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
