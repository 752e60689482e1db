//! Stand-in for the platform: its log and its host list over HTTP.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use super::fault::{Fault, FaultConfig, Mode};
use super::hosts::{Host, HostList};
use super::http::{self, ConnectionDropped, Handler, HandlerResult, HttpError, Outage};
use super::log::{Log, Page};
use super::query::Query;

/// Maximum time for which a long poll waits.
pub const MAX_POLL: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct State {
    log: Log,
    hosts: HostList,
    log_fault: Fault,
    hosts_fault: Fault,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Number of appends, expirations and changes of the log fault. Wakes long polls.
    changes: watch::Sender<u64>,
    outage: watch::Sender<Outage>,
}

/// Stand-in for the platform. Clones share their state.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
}

/// Body of `POST /fault/hosts`: a new list, a fault, or both.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsRequest {
    hosts: Option<Vec<Host>>,
    #[serde(default)]
    lag_ms: u64,
    mode: Option<Mode>,
    ms: Option<u64>,
    count: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpireRequest {
    stream: String,
    first: u64,
}

#[derive(Debug, Serialize)]
struct AppendedJson {
    offset: u64,
}

#[derive(Debug, Serialize)]
struct ExpiredJson {
    first: u64,
}

#[derive(Debug, Serialize)]
struct RecordJson {
    offset: u64,
    data: String,
}

#[derive(Debug, Serialize)]
struct PageJson {
    first: u64,
    next: u64,
    records: Vec<RecordJson>,
}

impl Platform {
    /// Creates an empty log that retains up to `retain` records per stream, and an empty host list.
    pub fn new(retain: usize) -> Self {
        let state = State {
            log: Log::new(retain),
            hosts: HostList::default(),
            log_fault: Fault::default(),
            hosts_fault: Fault::default(),
        };
        Platform {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changes: watch::Sender::new(0),
                outage: watch::Sender::new(Outage::default()),
            }),
        }
    }

    /// Sets the host list that readers see once the lag has passed and all lists set earlier have
    /// taken effect.
    pub fn set_hosts(&self, hosts: Vec<Host>, lag: Duration) {
        self.lock().hosts.set(hosts, lag);
    }

    /// Sets the fault of the log.
    pub fn set_log_fault(&self, config: FaultConfig) {
        self.lock().log_fault = config.into();
        self.notify();
    }

    /// Drops the records of a stream before an offset.
    pub fn expire(&self, stream: &str, first: u64) {
        self.lock().log.expire(stream, first);
        self.notify();
    }

    /// Serves until the future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, self).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .expect("platform state is not poisoned")
    }

    fn notify(&self) {
        self.shared.changes.send_modify(|count| *count += 1);
    }

    async fn append(&self, stream: &str, body: Incoming) -> Result<HandlerResult, HttpError> {
        let data = http::read_body(body).await?;
        let (mode, delay) = self.lock().log_fault.next_request();
        match mode {
            Mode::Down => return Err(unavailable()),
            Mode::LoseRequests => return Ok(Err(ConnectionDropped)),
            Mode::Slow => tokio::time::sleep(delay).await,
            Mode::Ok | Mode::LoseAnswers => {}
        }
        let appended = self.lock().log.append(stream, data);
        self.notify();
        match appended {
            _ if mode == Mode::LoseAnswers => Ok(Err(ConnectionDropped)),
            Ok(offset) => Ok(http::json(StatusCode::OK, &AppendedJson { offset })),
            Err(error) => Err(HttpError::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                error.to_string(),
            )),
        }
    }

    async fn read(&self, stream: &str, query: &Query) -> Result<HandlerResult, HttpError> {
        let from = query.number("from")?.unwrap_or(0);
        let wait = Duration::from_millis(query.number("wait_ms")?.unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_POLL);
        self.apply_read_fault().await?;
        let mut changes = self.shared.changes.subscribe();
        loop {
            if self.lock().log_fault.is_down() {
                return Err(unavailable());
            }
            let page = self.lock().log.read(stream, from);
            let is_empty = matches!(&page, Page::Records { records, .. } if records.is_empty());
            let waited = tokio::time::timeout_at(deadline, changes.changed());
            if !is_empty || waited.await.is_err() {
                return Ok(page_response(page));
            }
        }
    }

    /// Applies the faults that affect reads. Lost requests and responses affect appends only.
    async fn apply_read_fault(&self) -> Result<(), HttpError> {
        let (mode, delay) = {
            let mut state = self.lock();
            match state.log_fault.mode() {
                Mode::Down | Mode::Slow => state.log_fault.next_request(),
                Mode::Ok | Mode::LoseAnswers | Mode::LoseRequests => return Ok(()),
            }
        };
        match mode {
            Mode::Down => return Err(unavailable()),
            Mode::Slow => tokio::time::sleep(delay).await,
            Mode::Ok | Mode::LoseAnswers | Mode::LoseRequests => {}
        }
        Ok(())
    }

    async fn hosts_response(&self) -> Result<HandlerResult, HttpError> {
        let (mode, delay) = self.lock().hosts_fault.next_request();
        match mode {
            Mode::Down => return Err(unavailable()),
            Mode::LoseAnswers | Mode::LoseRequests => return Ok(Err(ConnectionDropped)),
            Mode::Slow => tokio::time::sleep(delay).await,
            Mode::Ok => {}
        }
        let hosts = self.lock().hosts.current().to_vec();
        Ok(http::json(StatusCode::OK, &hosts))
    }

    async fn handle_fault(&self, kind: &str, body: Incoming) -> Result<HandlerResult, HttpError> {
        match kind {
            "log" => self.set_log_fault(http::read_json(body).await?),
            "hosts" => self.configure_hosts(http::read_json(body).await?),
            "expire" => {
                let request: ExpireRequest = http::read_json(body).await?;
                self.expire(&request.stream, request.first);
            }
            _ => return Ok(http::not_found()),
        }
        Ok(http::text(StatusCode::OK, "ok\n"))
    }

    async fn route(&self, request: Request<Incoming>) -> Result<HandlerResult, HttpError> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if let Some(stream) = path.strip_prefix("/log/") {
            let query = Query::parse(head.uri.query().unwrap_or(""));
            return match head.method {
                Method::POST => self.append(stream, body).await,
                Method::GET => self.read(stream, &query).await,
                _ => Ok(http::not_found()),
            };
        }
        if let Some(kind) = path.strip_prefix("/fault/") {
            return self.handle_fault(kind, body).await;
        }
        match path {
            "/hosts" => self.hosts_response().await,
            "/healthz" => Ok(http::text(StatusCode::OK, "ok\n")),
            _ => Ok(http::not_found()),
        }
    }

    fn configure_hosts(&self, config: HostsRequest) {
        let mut state = self.lock();
        if let Some(hosts) = config.hosts {
            state.hosts.set(hosts, Duration::from_millis(config.lag_ms));
        }
        if let Some(mode) = config.mode {
            state.hosts_fault = FaultConfig {
                mode,
                ms: config.ms,
                count: config.count,
            }
            .into();
        }
    }
}

impl Handler for Platform {
    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        self.route(request)
            .await
            .unwrap_or_else(HttpError::into_response)
    }

    fn outage(&self) -> watch::Receiver<Outage> {
        self.shared.outage.subscribe()
    }
}

fn unavailable() -> HttpError {
    HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

fn page_response(page: Page) -> HandlerResult {
    match page {
        Page::Expired { first } => http::json(StatusCode::GONE, &ExpiredJson { first }),
        Page::Records {
            first,
            next,
            records,
        } => {
            let records = records
                .into_iter()
                .map(|record| RecordJson {
                    offset: record.offset,
                    data: STANDARD.encode(&record.data),
                })
                .collect();
            let page = PageJson {
                first,
                next,
                records,
            };
            http::json(StatusCode::OK, &page)
        }
    }
}
