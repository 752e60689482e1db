//! Latency and CPU time that an entry and an agent add to a request, measured in real time over
//! loopback sockets.
//!
//! Callers, an entry, agents, targets and the platform stand-in share one process. The entry has a
//! runtime with one worker thread, and the agents share another one; the CPU time of these two
//! threads is read from `/proc`. Everything else shares a third runtime.

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

/// Name of the experiment on the command line.
pub const PATH: &str = "path";

const ENTRY_THREAD: &str = "path-entry";
const AGENT_THREAD: &str = "path-agent";
const OTHER_THREAD: &str = "path-other";
const OTHER_WORKERS: usize = 4;
const AUTHORIZATION: &str = "Bearer school-key";
const RUN_PATH: &str = "/model/run?ms=0";
const DIRECT_RUN_PATH: &str = "/run?ms=0";
const SLOTS: u16 = 256;
/// Unmeasured pairs of calls, one direct and one through the fleet, that warm up the connections.
const WARMUP_PAIRS: usize = 200;
/// Measured pairs of calls.
const PAIRS: usize = 3_000;
const CALLERS: usize = 64;
const STREAMS: usize = 128;
const STREAM_CHUNKS: usize = 200;
/// Delay of the target before each chunk.
const CHUNK_DELAY_MS: usize = 5;
const LOAD_DURATION: Duration = Duration::from_secs(4);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// The runtimes of the entry, of the agents, and of everything else.
struct Runtimes {
    entry: Runtime,
    agent: Runtime,
    other: Runtime,
}

/// Addresses that callers connect to.
#[derive(Clone, Copy)]
struct Endpoints {
    entry: SocketAddr,
    target: SocketAddr,
}

/// Result of a load test.
struct LoadResult {
    count: usize,
    elapsed: Duration,
    entry_cpu: Duration,
    agent_cpu: Duration,
}

/// Runs the experiment. The seed has no effect because the load is not random.
///
/// # Errors
/// Returns an error if the fleet cannot be started or a call fails.
pub fn run(seed: u64) -> anyhow::Result<Vec<Report>> {
    let runtimes = Runtimes {
        entry: runtime(ENTRY_THREAD, 1)?,
        agent: runtime(AGENT_THREAD, 1)?,
        other: runtime(OTHER_THREAD, OTHER_WORKERS)?,
    };
    let drain = CancellationToken::new();
    let endpoints = runtimes.other.block_on(start(&runtimes, &drain))?;
    let reports = vec![
        runtimes.other.block_on(latency(endpoints, seed))?,
        runtimes.other.block_on(requests(endpoints, seed))?,
        runtimes.other.block_on(streams(endpoints, seed))?,
    ];
    drain.cancel();
    runtimes.entry.shutdown_background();
    runtimes.agent.shutdown_background();
    runtimes.other.shutdown_background();
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

async fn start(runtimes: &Runtimes, drain: &CancellationToken) -> anyhow::Result<Endpoints> {
    let options = LocalOptions {
        port: 0,
        admin: 0,
        entries: 1,
        targets: 1,
        slots: SLOTS,
    };
    let fleet = Fleet::prepare(options).await?;
    let endpoints = Endpoints {
        entry: fleet.entries[0].listen,
        target: fleet.agents[0].target,
    };
    for entry in fleet.entries {
        runtimes
            .entry
            .spawn(crate::entry::serve(entry, drain.clone()));
    }
    for agent in fleet.agents {
        runtimes
            .agent
            .spawn(crate::agent::serve(agent, drain.clone()));
    }
    tokio::time::timeout(READY_TIMEOUT, wait_ready(endpoints.entry))
        .await
        .context("the fleet was not ready in time")?;
    Ok(endpoints)
}

/// Waits until a call through the entry succeeds.
async fn wait_ready(entry: SocketAddr) {
    loop {
        if let Ok(mut client) = Client::connect(entry).await
            && client.call(RUN_PATH).await.is_ok()
        {
            return;
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
}

/// Measures sequential calls, alternately straight to the target and through the fleet.
async fn latency(endpoints: Endpoints, seed: u64) -> anyhow::Result<Report> {
    let mut direct = Client::connect(endpoints.target).await?;
    let mut routed = Client::connect(endpoints.entry).await?;
    let (mut direct_times, mut routed_times) = (Vec::new(), Vec::new());
    for pair in 0..WARMUP_PAIRS + PAIRS {
        let direct_time = direct.timed(DIRECT_RUN_PATH).await?;
        let routed_time = routed.timed(RUN_PATH).await?;
        if pair >= WARMUP_PAIRS {
            direct_times.push(direct_time);
            routed_times.push(routed_time);
        }
    }
    let added = |percent| {
        millis(percentile(&mut routed_times.clone(), percent))
            - millis(percentile(&mut direct_times.clone(), percent))
    };
    Ok(Report::new(PATH, seed, "fleet")
        .label("case", "latency")
        .figure("calls_count", PAIRS as f64)
        .figure(
            "direct_p50_ms",
            millis(percentile(&mut direct_times.clone(), 50)),
        )
        .figure(
            "direct_p99_ms",
            millis(percentile(&mut direct_times.clone(), 99)),
        )
        .figure(
            "through_p50_ms",
            millis(percentile(&mut routed_times.clone(), 50)),
        )
        .figure(
            "through_p99_ms",
            millis(percentile(&mut routed_times.clone(), 99)),
        )
        .figure("added_p50_ms", added(50))
        .figure("added_p99_ms", added(99)))
}

/// Measures concurrent callers, each of which sends its next call as soon as the previous one is
/// answered.
async fn requests(endpoints: Endpoints, seed: u64) -> anyhow::Result<Report> {
    let result = load(CALLERS, |deadline| call_until(endpoints.entry, deadline)).await?;
    Ok(result.report(seed, "requests", "requests"))
}

/// Measures concurrent callers that each read one streamed response after another.
async fn streams(endpoints: Endpoints, seed: u64) -> anyhow::Result<Report> {
    let mut result = load(STREAMS, |deadline| stream_until(endpoints.entry, deadline)).await?;
    result.count *= STREAM_CHUNKS;
    Ok(result.report(seed, "streams", "chunks"))
}

async fn load<F>(callers: usize, caller: impl Fn(Instant) -> F) -> anyhow::Result<LoadResult>
where
    F: Future<Output = anyhow::Result<usize>> + Send + 'static,
{
    let (entry, agent) = (
        threads::cpu_time(ENTRY_THREAD)?,
        threads::cpu_time(AGENT_THREAD)?,
    );
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(caller(start + LOAD_DURATION));
    }
    let mut count = 0;
    while let Some(task) = tasks.join_next().await {
        count += task.context("a caller failed")??;
    }
    Ok(LoadResult {
        count,
        elapsed: start.elapsed(),
        entry_cpu: threads::cpu_time(ENTRY_THREAD)? - entry,
        agent_cpu: threads::cpu_time(AGENT_THREAD)? - agent,
    })
}

async fn call_until(entry: SocketAddr, deadline: Instant) -> anyhow::Result<usize> {
    let mut client = Client::connect(entry).await?;
    let mut count = 0;
    while Instant::now() < deadline {
        client.call(RUN_PATH).await?;
        count += 1;
    }
    Ok(count)
}

async fn stream_until(entry: SocketAddr, deadline: Instant) -> anyhow::Result<usize> {
    let path = format!("/model/stream?chunks={STREAM_CHUNKS}&ms={CHUNK_DELAY_MS}");
    let mut client = Client::connect(entry).await?;
    let mut count = 0;
    while Instant::now() < deadline {
        client.call(&path).await?;
        count += 1;
    }
    Ok(count)
}

impl LoadResult {
    fn report(&self, seed: u64, case: &str, unit: &str) -> Report {
        let count = self.count as f64;
        let micros = |cpu_time: Duration| cpu_time.as_secs_f64() * 1e6 / count;
        Report::new(PATH, seed, "fleet")
            .label("case", case)
            .figure(&format!("{unit}_per_s"), count / self.elapsed.as_secs_f64())
            .figure(
                &format!("{unit}_per_entry_core_s"),
                count / self.entry_cpu.as_secs_f64(),
            )
            .figure("entry_us", micros(self.entry_cpu))
            .figure("agent_us", micros(self.agent_cpu))
            .figure(
                "entry_core_percent",
                100.0 * self.entry_cpu.as_secs_f64() / self.elapsed.as_secs_f64(),
            )
    }
}

/// HTTP connection of a caller.
struct Client {
    sender: SendRequest<Full<Bytes>>,
    host: String,
}

impl Client {
    async fn connect(to: SocketAddr) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let host = to.to_string();
        Ok(Client { sender, host })
    }

    /// Sends a request and reads the complete response.
    async fn call(&mut self, path: &str) -> anyhow::Result<()> {
        let request = Request::post(path)
            .header("host", &self.host)
            .header("authorization", AUTHORIZATION)
            .body(Full::from("a small body"))?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        ensure!(status.is_success(), "call returned status {status}");
        Ok(())
    }

    async fn timed(&mut self, path: &str) -> anyhow::Result<Duration> {
        let start = Instant::now();
        self.call(path).await?;
        Ok(start.elapsed())
    }
}

fn percentile(durations: &mut [Duration], percent: usize) -> Duration {
    durations.sort_unstable();
    let index = durations.len() * percent / 100;
    durations[index.min(durations.len() - 1)]
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
