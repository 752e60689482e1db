//! A gateway with its lists in memory, and raw calls to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balsampitch::gateway::config::{Account, Config, Parts, Route, RouteClass};
use balsampitch::gateway::directory::{Change, ChangeBatch, Directory, Topic};
use balsampitch::gateway::retry_budget::RetryLimits;
use balsampitch::gateway::state::GatewayState;
use balsampitch::gateway::targets::Entry;
use balsampitch::log::{Cause, ReadError};
use balsampitch::settings::{GatewaySettings, parse};
use balsampitch::telemetry::Telemetry;
use balsampitch::telemetry::scrape::Scrape;
use bytes::Bytes;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::target::Target;

/// Longest wait for something that must come.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// Time within which a call's route wants its final answer.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Id of requests that need none of their own.
const ID: &str = "9c41";
/// A key that the configuration holds.
pub const KEY: &str = "school-key";

/// What the lists hold.
#[derive(Clone, Debug, Default)]
struct State {
    config: Option<Config>,
    targets: Vec<(String, Entry)>,
    out: bool,
    changes: u64,
}

/// The platform's lists in memory. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    state: Arc<Mutex<State>>,
}

impl Lists {
    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().expect("no holder panics"))
    }

    /// The operator writes a configuration.
    pub fn put_config(&self, config: Config) {
        self.with(|state| {
            state.config = Some(config);
            state.changes += 1;
        });
    }

    /// A target says something of itself. The first one is in the gateway's zone, and gets what
    /// it can take.
    pub fn put_target(&self, id: &str, addr: SocketAddr, draining: bool) {
        let zone = if id == "t0" { "a" } else { "b" };
        let entry = Entry {
            service: "desk".into(),
            addr,
            zone: zone.into(),
            slots: 4,
            draining,
            started_at: None,
        };
        self.with(|state| {
            state.targets.retain(|(other, _)| other != id);
            state.targets.push((id.to_owned(), entry));
            state.changes += 1;
        });
    }

    /// Every call fails, or none.
    pub fn set_out(&self, out: bool) {
        self.with(|state| state.out = out);
    }

    fn all(&self, topic: Topic) -> Result<ChangeBatch, Cause> {
        self.with(|state| {
            if state.out {
                return Err(Cause::Status(503));
            }
            let config = state
                .config
                .iter()
                .cloned()
                .map(|c| Change::Config(Box::new(c)));
            let targets = state.targets.iter().cloned();
            let targets = targets.map(|(id, entry)| Change::Target(id.into(), entry));
            Ok(ChangeBatch {
                next: state.changes,
                changes: match topic {
                    Topic::Config => config.collect(),
                    Topic::Targets => targets.collect(),
                },
            })
        })
    }
}

impl Directory for Lists {
    async fn list(&self, topic: Topic) -> Result<ChangeBatch, Cause> {
        self.all(topic)
    }

    fn decode(&self, source: Bytes) -> Option<Config> {
        let mut words = std::str::from_utf8(&source).ok()?.split(' ');
        let version = words.next()?.parse().ok()?;
        let keys: Vec<&str> = words.collect();
        Some(config(version, &keys))
    }

    async fn changes(
        &self,
        topic: Topic,
        from: u64,
        _: Duration,
    ) -> Result<ChangeBatch, ReadError> {
        sleep(Duration::from_millis(10)).await;
        let news = self.all(topic)?;
        match news.next == from {
            true => Ok(ChangeBatch {
                next: from,
                changes: Vec::new(),
            }),
            false => Ok(news),
        }
    }
}

/// A configuration with one route of each kind, named for it, and one that needs no key.
pub fn config(version: u64, keys: &[&str]) -> Config {
    let route = |name: &str, class, anonymous| Route {
        name: name.into(),
        authority: "pool.example".into(),
        path_prefix: format!("/{name}/").into(),
        services: [("desk".into(), 1)].into_iter().collect(),
        class,
        timeout: ROUTE_TIMEOUT,
        latency_objective: Duration::from_millis(300),
        max_attempts: 2,
        anonymous,
    };
    let account = Account {
        name: "school".into(),
    };
    let parts = Parts {
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
        accounts: vec![(account, keys.iter().map(|&key| key.into()).collect())],
        ..Parts::default()
    };
    let source = [&[version.to_string().as_str()], keys].concat().join(" ");
    Config::from(parts).with_source(source.into())
}

/// A gateway that runs.
pub struct World {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Its lists.
    pub lists: Lists,
    /// What its parts share.
    pub gateway: Arc<GatewayState>,
    /// Ends it.
    pub drain: CancellationToken,
    /// Its end.
    pub running: tokio::task::JoinHandle<anyhow::Result<()>>,
}

/// First port that gateways listen on.
const FIRST_PORT: u16 = 20_000;

/// An address on loopback that nothing else uses, in this process or another.
pub fn free() -> SocketAddr {
    pair()[0]
}

/// Two such addresses on two hosts, with the same port.
pub fn pair() -> [SocketAddr; 2] {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    [251, 252].map(|host| ([127, high | 0x80, low, host], port).into())
}

impl World {
    /// A gateway that knows neither configuration nor targets.
    pub async fn empty() -> World {
        World::beside(free(), &[]).await
    }

    /// As [`World::empty`], with an address for other gateways, and where these may be.
    pub async fn beside(peer: SocketAddr, seeds: &[SocketAddr]) -> World {
        World::with(peer, seeds, 1_024).await
    }

    /// As [`World::empty`], with so few file descriptors.
    pub async fn narrow(descriptors: usize) -> World {
        World::with(free(), &[], descriptors).await
    }

    async fn with(peer: SocketAddr, seeds: &[SocketAddr], descriptors: usize) -> World {
        let (callers, ready) = (free(), free());
        let settings = json!({
            "name": "gateway", "listen": callers, "ready": ready, "metrics": free(), "peer": peer, "seeds": seeds,
            "zone": "a", "platform": "127.0.0.1:1", "grace": 4.0, "descriptors": descriptors,
            "retries": {"ratio": 0.2, "slack": 160.0, "window": 10.0},
        });
        let settings: GatewaySettings = parse(&settings.to_string()).expect("they are sound");
        let limits = RetryLimits::from(&settings.retries);
        let scrape = Scrape::default();
        let telemetry = Telemetry::scraped(scrape.meters().expect("it exports"));
        let gateway = Arc::new(GatewayState::new("a", limits).with_telemetry(telemetry));
        let (lists, drain) = (Lists::default(), CancellationToken::new());
        let run = balsampitch::gateway::run(
            settings,
            gateway.clone(),
            scrape,
            lists.clone(),
            drain.clone(),
        );
        World {
            callers,
            ready,
            lists,
            gateway,
            drain,
            running: tokio::spawn(run),
        }
    }

    /// A gateway before these targets, which it knows.
    pub async fn before(targets: &[&Target]) -> World {
        World::empty().await.knowing(targets).await
    }

    /// Lists a configuration and these targets, and waits until the gateway knows them.
    pub async fn knowing(self, targets: &[&Target]) -> World {
        let world = self;
        world.lists.put_config(config(1, &[KEY]));
        for (index, target) in targets.iter().enumerate() {
            world
                .lists
                .put_target(&format!("t{index}"), target.addr, false);
        }
        let count = targets.len();
        world
            .until(|gateway| {
                gateway.config().version > 0 && gateway.with_targets(|t| t.len()) == count
            })
            .await;
        world
    }

    /// Waits until something holds.
    pub async fn until(&self, holds: impl Fn(&GatewayState) -> bool) {
        let wait = async {
            while !holds(&self.gateway) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(PATIENCE, wait).await.expect("it comes to hold");
    }

    /// The engines make so many tokens a second.
    pub async fn paced(self, tokens: f64) -> World {
        let mut paced = config(2, &[KEY]);
        paced.limits.token_rate = Some(tokens);
        self.lists.put_config(paced);
        self.until(|gateway| gateway.config().version == 2).await;
        self
    }

    /// Sends a request with the key and reads until the connection ends.
    pub async fn call(&self, method: &str, path: &str) -> Reply {
        self.call_with(method, path, &format!("Authorization: Bearer {KEY}\r\n"))
            .await
    }

    /// As [`World::call`], with these headers instead of the key.
    pub async fn call_with(&self, method: &str, path: &str, headers: &str) -> Reply {
        let mut stream = self.send(method, path, headers).await;
        let mut data = Vec::new();
        let read = timeout(PATIENCE, stream.read_to_end(&mut data)).await;
        let cut = read.expect("it ends in time").is_err();
        Reply::new(&data, cut)
    }

    /// As [`World::call`], on a connection that the caller would use again.
    pub async fn call_kept(&self, method: &str, path: &str) -> Reply {
        let headers = format!("Authorization: Bearer {KEY}\r\n");
        let mut stream = self.write(ID, method, path, &headers).await;
        let mut data = Vec::new();
        let read = async {
            while !Reply::new(&data, false).whole {
                if stream.read_buf(&mut data).await? == 0 {
                    break;
                }
            }
            Ok::<_, std::io::Error>(())
        };
        let read = timeout(PATIENCE, read).await;
        let cut = read.expect("it answers in time").is_err();
        Reply::new(&data, cut)
    }

    /// Sends a request and reads nothing.
    pub async fn send(&self, method: &str, path: &str, headers: &str) -> TcpStream {
        let headers = format!("Connection: close\r\n{headers}");
        self.write(ID, method, path, &headers).await
    }

    /// As [`World::call`], with an id of its own and these headers beside the key.
    pub async fn call_as(&self, id: &str, path: &str, headers: &str) -> Reply {
        let headers = format!("Connection: close\r\nAuthorization: Bearer {KEY}\r\n{headers}");
        let mut stream = self.write(id, "POST", path, &headers).await;
        let mut data = Vec::new();
        let read = timeout(PATIENCE, stream.read_to_end(&mut data)).await;
        let cut = read.expect("it ends in time").is_err();
        Reply::new(&data, cut)
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

    /// What the balancer is told.
    pub async fn is_ready(&self) -> bool {
        self.ask("/v1/readiness").await.status == 200
    }

    /// The metrics as text.
    pub async fn metrics(&self) -> String {
        self.ask("/metrics").await.body
    }

    async fn ask(&self, path: &str) -> Reply {
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

/// An answer as it came.
#[derive(Debug)]
pub struct Reply {
    /// Its status; 0 when there was none.
    pub status: u16,
    /// Its head.
    pub head: String,
    /// What followed the head.
    pub body: String,
    /// Whether it ended as its framing says.
    pub whole: bool,
}

impl Reply {
    fn new(data: &[u8], cut: bool) -> Reply {
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
            whole: framed && !cut,
        }
    }

    /// A header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<String> {
        crate::target::header(&self.head, name)
    }

    /// Ids of the events that came.
    pub fn events(&self) -> Vec<u32> {
        let ids = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}
