//! A running gateway with an in-memory directory, and a raw HTTP client for it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balsampitch::gateway::cold_limit::ColdReport;
use balsampitch::gateway::config::{Account, Config, ConfigParts, Route, RouteClass, Service};
use balsampitch::gateway::directory::{Change, ChangeBatch, Directory, ListError, Topic};
use balsampitch::gateway::position::{Era, Position};
use balsampitch::gateway::regions::RegionRule;
use balsampitch::gateway::retry_budget::RetryLimits;
use balsampitch::gateway::state::GatewayState;
use balsampitch::gateway::targets::Entry;
use balsampitch::log::CallError;
use balsampitch::settings::{GatewaySettings, parse};
use balsampitch::telemetry::Telemetry;
use balsampitch::telemetry::scrape::ScrapeRegistry;
use bytes::Bytes;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::target::Target;

/// Time limit for waits.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Timeout of all routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Request id of requests that do not set their own.
const ID: &str = "9c41";
/// API key that the configuration contains.
pub const KEY: &str = "school-key";

/// Regions of the zones `a` and `b`.
pub const REGIONS: [&str; 2] = ["visayas", "luzon"];

/// Contents of the fake directory.
#[derive(Clone, Debug, Default)]
struct DirectoryState {
    config: Option<Config>,
    /// The log of the list of targets: a removal has no entry.
    targets: Vec<(String, Option<Entry>)>,
    /// All evacuations and their ends, in order.
    zone_changes: Vec<Change>,
    changes: u64,
    era: Era,
}

/// One gateway's way to the directory.
#[derive(Debug, Default)]
struct Link {
    failing: AtomicBool,
    reads: AtomicU64,
}

/// In-memory replacement for the platform. Clones share the contents and the way to them.
#[derive(Clone, Debug, Default)]
pub struct FakeDirectory {
    state: Arc<Mutex<DirectoryState>>,
    link: Arc<Link>,
}

impl FakeDirectory {
    fn with<T>(&self, act: impl FnOnce(&mut DirectoryState) -> T) -> T {
        act(&mut self.state.lock().expect("no holder panics"))
    }

    /// Publishes a configuration.
    pub fn put_config(&self, config: Config) {
        self.with(|state| {
            state.config = Some(config);
            state.changes += 1;
        });
    }

    /// Adds or updates a target. Target `t0` is in the gateway's zone, so that it gets requests
    /// first.
    pub fn put_target(&self, id: &str, addr: SocketAddr, draining: bool) {
        let entry = entry(id, addr);
        self.put_entry(id, Entry { draining, ..entry });
    }

    /// As [`FakeDirectory::put_target`], with the target's start time.
    pub fn put_run(&self, id: &str, addr: SocketAddr, draining: bool, started_at: Option<u64>) {
        let entry = Entry {
            draining,
            started_at,
            ..entry(id, addr)
        };
        self.put_entry(id, entry);
    }

    /// As [`FakeDirectory::put_target`], of a target that tells how long it is cold.
    pub fn put_cold_target(&self, id: &str, addr: SocketAddr, cold: ColdReport) {
        let cold = Some(cold);
        self.put_entry(
            id,
            Entry {
                cold,
                ..entry(id, addr)
            },
        );
    }

    /// As [`FakeDirectory::put_target`], with the version of the target's software.
    pub fn put_version(&self, id: &str, addr: SocketAddr, version: Option<&str>) {
        let version = version.map(Into::into);
        self.put_entry(
            id,
            Entry {
                version,
                ..entry(id, addr)
            },
        );
    }

    fn put_entry(&self, id: &str, entry: Entry) {
        self.with(|state| state.targets.push((id.to_owned(), Some(entry))));
    }

    /// Removes a target's entry.
    pub fn remove_target(&self, id: &str) {
        self.with(|state| state.targets.push((id.to_owned(), None)));
    }

    /// Evacuates a zone, or ends its evacuation.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        self.with(|state| {
            state.zone_changes.push(match evacuated {
                true => Change::ZoneEvacuated(zone.into()),
                false => Change::ZoneRestored(zone.into()),
            });
            state.changes += 1;
        });
    }

    /// Restores an older copy, in which the last `targets` records of the list of targets and the last
    /// `changes` of the operator's are missing. The operator's present records are written again at
    /// once.
    pub fn restore(&self, targets: usize, changes: u64) {
        self.with(|state| {
            state.targets.truncate(state.targets.len() - targets);
            state.changes -= changes;
            state.era.0 += 1;
        });
    }

    /// Sets whether all calls fail.
    pub fn set_failing(&self, failing: bool) {
        self.link.failing.store(failing, Ordering::Relaxed);
    }

    /// Another way to the same contents, for another gateway.
    pub fn another_link(&self) -> FakeDirectory {
        FakeDirectory {
            state: self.state.clone(),
            link: Arc::default(),
        }
    }

    /// Number of calls so far.
    pub fn reads(&self) -> u64 {
        self.link.reads.load(Ordering::Relaxed)
    }

    /// Reads the records from the offset `from` on, or the current ones if it is `None`.
    fn read(&self, topic: Topic, from: Option<Position>) -> Result<ChangeBatch, CallError> {
        self.link.reads.fetch_add(1, Ordering::Relaxed);
        if self.link.failing.load(Ordering::Relaxed) {
            return Err(CallError::Status(503));
        }
        let from = from.map(|from| from.offset);
        self.with(|state| {
            Ok(match topic {
                Topic::Config => state.operator_batch(from),
                Topic::Targets => state.target_batch(from),
            })
        })
    }
}

/// The entry of a target that is ready.
fn entry(id: &str, addr: SocketAddr) -> Entry {
    let zone = if id == "t0" { "a" } else { "b" };
    Entry {
        service: "desk".into(),
        addr,
        zone: zone.into(),
        slots: 4,
        draining: false,
        version: Some("v1".into()),
        started_at: None,
        cold: None,
    }
}

impl DirectoryState {
    fn position(&self, offset: u64) -> Position {
        Position::new(self.era, offset)
    }

    fn operator_batch(&self, from: Option<u64>) -> ChangeBatch {
        let config = self.config.iter().cloned();
        let config = config.map(|config| Change::Config(Box::new(config)));
        let all = config.chain(self.zone_changes.iter().cloned());
        ChangeBatch {
            next: self.position(self.changes),
            changes: all.filter(|_| from != Some(self.changes)).collect(),
            ..ChangeBatch::default()
        }
    }

    fn target_batch(&self, from: Option<u64>) -> ChangeBatch {
        let is_newest = |at: usize, id: &String| self.targets[at + 1..].iter().all(|r| r.0 != *id);
        let records = self.targets.iter().enumerate();
        let read = records.filter(|(at, (id, entry))| match from {
            Some(from) => *at as u64 >= from,
            None => entry.is_some() && is_newest(*at, id),
        });
        let changes = read.map(|(at, (id, entry))| match entry {
            Some(entry) => {
                Change::Target(id.as_str().into(), entry.clone(), self.position(at as u64))
            }
            None => Change::Removed(id.as_str().into(), self.position(at as u64)),
        });
        ChangeBatch {
            next: self.position(self.targets.len() as u64),
            changes: changes.collect(),
            ..ChangeBatch::default()
        }
    }
}

impl Directory for FakeDirectory {
    async fn list(&self, topic: Topic) -> Result<ChangeBatch, CallError> {
        self.read(topic, None)
    }

    fn decode(&self, source: Bytes) -> Option<Config> {
        let mut words = std::str::from_utf8(&source).ok()?.split(' ');
        let version = words.next()?.parse().ok()?;
        let keys: Vec<&str> = words.collect();
        let published = self.with(|state| state.config.clone());
        let published = published.filter(|config| config.version == version);
        Some(published.unwrap_or_else(|| config(version, &keys)))
    }

    async fn changes(
        &self,
        topic: Topic,
        from: Position,
        _: Duration,
    ) -> Result<ChangeBatch, ListError> {
        sleep(Duration::from_millis(10)).await;
        Ok(self.read(topic, Some(from))?)
    }
}

/// A configuration with one route of each class, named for it, and one without authentication.
pub fn config(version: u64, keys: &[&str]) -> Config {
    config_with(version, keys, Service::default())
}

/// As [`config`], with this service.
pub fn config_with(version: u64, keys: &[&str], service: Service) -> Config {
    restricted(version, keys, service, &Default::default())
}

/// As [`config_with`], with the region restrictions of all routes and of the client account.
pub fn restricted(
    version: u64,
    keys: &[&str],
    service: Service,
    rules: &[RegionRule; 2],
) -> Config {
    let route = |name: &str, class, allow_anonymous| Route {
        name: name.into(),
        authority: "pool.example".into(),
        path_prefix: format!("/{name}/").into(),
        services: [("desk".into(), 1)].into_iter().collect(),
        class,
        timeout: ROUTE_TIMEOUT,
        latency_objective: Duration::from_millis(300),
        max_attempts: 2,
        allow_anonymous,
        regions: rules[0].clone(),
    };
    let account = Account {
        name: "school".into(),
        regions: rules[1].clone(),
    };
    let parts = ConfigParts {
        version,
        routes: vec![
            route("read", RouteClass::Idempotent, false),
            route("order", RouteClass::Once, false),
            route("stream", RouteClass::Stream, false),
            route("resumed", RouteClass::ResumableStream, false),
            Route {
                max_attempts: 3,
                ..route("thrice", RouteClass::ResumableStream, false)
            },
            route("open", RouteClass::Idempotent, true),
        ],
        services: vec![("desk".into(), service)],
        accounts: vec![(account, keys.iter().map(|&key| key.into()).collect())],
        ..ConfigParts::default()
    };
    let source = [&[version.to_string().as_str()], keys].concat().join(" ");
    Config::from(parts).with_source(source.into())
}

/// A running gateway.
pub struct TestGateway {
    /// Address for client connections.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Directory that it follows.
    pub directory: FakeDirectory,
    /// Its shared state.
    pub state: Arc<GatewayState>,
    /// Shuts it down.
    pub drain: CancellationToken,
    /// Task that runs it.
    pub task: tokio::task::JoinHandle<anyhow::Result<()>>,
}

/// What a gateway's host gives it.
#[derive(Clone, Copy, Debug)]
struct Host {
    descriptors: usize,
    /// Grace period in seconds.
    grace: f64,
}

impl Default for Host {
    fn default() -> Self {
        Host {
            descriptors: 1_024,
            grace: 4.0,
        }
    }
}

/// First port that gateways listen on.
const FIRST_PORT: u16 = 20_000;

/// Returns a loopback address that is unused in this and any other process.
pub fn free_address() -> SocketAddr {
    free_address_pair()[0]
}

/// Returns two unused addresses with the same port on two hosts.
pub fn free_address_pair() -> [SocketAddr; 2] {
    free_addresses()
}

/// Returns unused addresses with the same port on as many hosts.
pub fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    std::array::from_fn(|host| ([127, high | 0x80, low, 250 - host as u8], port).into())
}

impl TestGateway {
    /// Starts a gateway without configuration and targets.
    pub async fn start() -> TestGateway {
        TestGateway::start_with_peers(free_address(), &[]).await
    }

    /// As [`TestGateway::start`], with an address for other gateways and their seed addresses.
    pub async fn start_with_peers(peer: SocketAddr, seeds: &[SocketAddr]) -> TestGateway {
        TestGateway::launch(peer, seeds, FakeDirectory::default(), Host::default()).await
    }

    /// As [`TestGateway::start_with_peers`], with a directory that other gateways may also read.
    pub async fn start_reading(
        directory: &FakeDirectory,
        peer: SocketAddr,
        seeds: &[SocketAddr],
    ) -> TestGateway {
        TestGateway::launch(peer, seeds, directory.clone(), Host::default()).await
    }

    /// As [`TestGateway::start`], with a limit of file descriptors.
    pub async fn start_with_descriptors(descriptors: usize) -> TestGateway {
        let host = Host {
            descriptors,
            ..Host::default()
        };
        TestGateway::launch(free_address(), &[], FakeDirectory::default(), host).await
    }

    /// As [`TestGateway::start`], with a grace period, in seconds.
    pub async fn start_with_grace(grace: f64) -> TestGateway {
        let host = Host {
            grace,
            ..Host::default()
        };
        TestGateway::launch(free_address(), &[], FakeDirectory::default(), host).await
    }

    async fn launch(
        peer: SocketAddr,
        seeds: &[SocketAddr],
        directory: FakeDirectory,
        host: Host,
    ) -> TestGateway {
        let (callers, ready) = (free_address(), free_address());
        let settings = json!({
            "name": "gateway", "listen": callers, "ready": ready, "metrics": free_address(), "peer": peer, "seeds": seeds,
            "zone": "a", "platform": "127.0.0.1:1", "grace": host.grace, "descriptors": host.descriptors,
            "region": REGIONS[0], "zones": {"a": REGIONS[0], "b": REGIONS[1]},
            "retries": {"ratio": 0.2, "slack": 160.0, "window": 10.0},
            "engines": {"fetch": true, "reserve": true},
        });
        let settings: GatewaySettings =
            parse(&settings.to_string()).expect("the settings are valid");
        let limits = RetryLimits::from(&settings.retries);
        let scrape = ScrapeRegistry::default();
        let telemetry = Telemetry::scraped(scrape.meter_provider().expect("it exports"));
        let state = GatewayState::new("a", limits)
            .with_engines(settings.engines)
            .with_regions(settings.region_table())
            .with_telemetry(telemetry);
        let state = Arc::new(state);
        let drain = CancellationToken::new();
        let run = balsampitch::gateway::run(
            settings,
            state.clone(),
            scrape,
            directory.clone(),
            drain.clone(),
        );
        TestGateway {
            callers,
            ready,
            directory,
            state,
            drain,
            task: tokio::spawn(run),
        }
    }

    /// Starts a gateway and waits until it has loaded these targets.
    pub async fn start_with_targets(targets: &[&Target]) -> TestGateway {
        TestGateway::start().await.list_targets(targets).await
    }

    /// Publishes a configuration and these targets, and waits until the gateway has loaded them.
    pub async fn list_targets(self, targets: &[&Target]) -> TestGateway {
        let gateway = self;
        gateway.directory.put_config(config(1, &[KEY]));
        for (index, target) in targets.iter().enumerate() {
            gateway
                .directory
                .put_target(&format!("t{index}"), target.addr, false);
        }
        let count = targets.len();
        gateway
            .wait_until(|state| {
                state.config().version > 0 && state.with_targets(|t| t.len()) == count
            })
            .await;
        gateway
    }

    /// Waits until the gateway's state satisfies a condition.
    pub async fn wait_until(&self, holds: impl Fn(&GatewayState) -> bool) {
        let wait = async {
            while !holds(&self.state) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_LIMIT, wait)
            .await
            .expect("the condition holds in time");
    }

    /// Publishes the token rate of the engines, in tokens per second.
    pub async fn with_token_rate(self, tokens: f64) -> TestGateway {
        let mut config = config(2, &[KEY]);
        config.limits.token_rate = Some(tokens);
        self.directory.put_config(config);
        self.wait_until(|state| state.config().version == 2).await;
        self
    }

    /// Sends a request with the API key and reads until the connection is closed.
    pub async fn call(&self, method: &str, path: &str) -> Reply {
        self.call_with(method, path, &format!("Authorization: Bearer {KEY}\r\n"))
            .await
    }

    /// As [`TestGateway::call`], with these headers instead of the API key.
    pub async fn call_with(&self, method: &str, path: &str, headers: &str) -> Reply {
        let mut stream = self.send(method, path, headers).await;
        let mut data = Vec::new();
        let read = timeout(WAIT_LIMIT, stream.read_to_end(&mut data)).await;
        let broken = read.expect("it ends in time").is_err();
        Reply::new(&data, broken)
    }

    /// As [`TestGateway::call`], on a keep-alive connection.
    pub async fn call_keep_alive(&self, method: &str, path: &str) -> Reply {
        let headers = format!("Authorization: Bearer {KEY}\r\n");
        let mut stream = self.write(ID, method, path, &headers).await;
        let mut data = Vec::new();
        let read = async {
            while !Reply::new(&data, false).complete {
                if stream.read_buf(&mut data).await? == 0 {
                    break;
                }
            }
            Ok::<_, std::io::Error>(())
        };
        let read = timeout(WAIT_LIMIT, read).await;
        let broken = read.expect("it answers in time").is_err();
        Reply::new(&data, broken)
    }

    /// Sends a request without reading the answer.
    pub async fn send(&self, method: &str, path: &str, headers: &str) -> TcpStream {
        let headers = format!("Connection: close\r\n{headers}");
        self.write(ID, method, path, &headers).await
    }

    /// As [`TestGateway::call`], with its own request id and additional headers.
    pub async fn call_with_id(&self, id: &str, path: &str, headers: &str) -> Reply {
        let headers = format!("Connection: close\r\nAuthorization: Bearer {KEY}\r\n{headers}");
        let mut stream = self.write(id, "POST", path, &headers).await;
        let mut data = Vec::new();
        let read = timeout(WAIT_LIMIT, stream.read_to_end(&mut data)).await;
        let broken = read.expect("it ends in time").is_err();
        Reply::new(&data, broken)
    }

    /// Sends a request with the API key and its own request id, without reading the answer.
    pub async fn open_with_id(&self, id: &str, path: &str) -> TcpStream {
        let headers = format!("Connection: close\r\nAuthorization: Bearer {KEY}\r\n");
        self.write(id, "POST", path, &headers).await
    }

    async fn write(&self, id: &str, method: &str, path: &str, headers: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.expect("it listens");
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: pool.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Remaining: 5000\r\n{headers}Content-Length: 2\r\n\r\nhi"
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        stream
    }

    /// Returns whether the readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        self.get("/v1/readiness").await.status == 200
    }

    /// Returns the metrics as text.
    pub async fn metrics(&self) -> String {
        self.get("/metrics").await.body
    }

    async fn get(&self, path: &str) -> Reply {
        let mut stream = TcpStream::connect(self.ready).await.expect("it listens");
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        let mut data = Vec::new();
        stream.read_to_end(&mut data).await.expect("it answers");
        Reply::new(&data, false)
    }
}

/// A parsed answer.
#[derive(Debug)]
pub struct Reply {
    /// Status code; 0 if there was none.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Everything after the head.
    pub body: String,
    /// Whether it is complete according to its framing.
    pub complete: bool,
}

impl Reply {
    /// Parses what was read until the connection was closed; `broken` says that it was reset.
    pub fn new(data: &[u8], broken: bool) -> Reply {
        let text = String::from_utf8_lossy(data);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let length = crate::target::header(head, "content-length");
        let framed = match length.and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => body.len() == length,
            None => body.ends_with("0\r\n\r\n"),
        };
        Reply {
            status: status.unwrap_or(0),
            head: head.to_owned(),
            body: body.to_owned(),
            complete: framed && !broken,
        }
    }

    /// Returns a header by name.
    pub fn header(&self, name: &str) -> Option<String> {
        crate::target::header(&self.head, name)
    }

    /// Returns the ids of the received events.
    pub fn events(&self) -> Vec<u32> {
        let ids = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}
