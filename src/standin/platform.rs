//! The stand-in for the platform: its log and its host list over HTTP.

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

use super::fault::{Fault, FaultOrder, Mode};
use super::hosts::{Host, HostList};
use super::http::{self, Absence, Answer, Dropped, Handler, Refusal};
use super::log::{Log, Page};
use super::query::Query;

/// Longest wait of a long poll.
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
    /// Counts appends and orders, for readers that wait.
    changes: watch::Sender<u64>,
    absence: watch::Sender<Absence>,
}

/// The platform's log and host list. Clones share their state.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
}

/// An order for the host list: a new list, a fault, or both.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsOrder {
    hosts: Option<Vec<Host>>,
    #[serde(default)]
    lag_ms: u64,
    mode: Option<Mode>,
    ms: Option<u64>,
    count: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpireOrder {
    stream: String,
    first: u64,
}

#[derive(Debug, Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Debug, Serialize)]
struct Expired {
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
    /// An empty log that keeps up to `retain` records a stream, and an empty host list.
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
                absence: watch::Sender::new(Absence::default()),
            }),
        }
    }

    /// Sets the host list; it shows after the lag.
    pub fn set_hosts(&self, hosts: Vec<Host>, lag: Duration) {
        self.state().hosts.set(hosts, lag);
    }

    /// Orders a fault of the log.
    pub fn fault_log(&self, order: FaultOrder) {
        self.state().log_fault = order.into();
        self.notify();
    }

    /// Drops the records of a stream before an offset.
    pub fn expire(&self, stream: &str, first: u64) {
        self.state().log.expire(stream, first);
        self.notify();
    }

    /// Serves until dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, self).await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .expect("platform state is not poisoned")
    }

    fn notify(&self) {
        self.shared.changes.send_modify(|count| *count += 1);
    }

    async fn append(&self, stream: &str, body: Incoming) -> Result<Answer, Refusal> {
        let data = http::read_body(body).await?;
        let (mode, wait) = self.state().log_fault.meet();
        match mode {
            Mode::Down => return Err(outage()),
            Mode::LoseRequests => return Ok(Err(Dropped)),
            Mode::Slow => tokio::time::sleep(wait).await,
            Mode::Ok | Mode::LoseAnswers => {}
        }
        let appended = self.state().log.append(stream, data);
        self.notify();
        match appended {
            _ if mode == Mode::LoseAnswers => Ok(Err(Dropped)),
            Ok(offset) => Ok(http::json(StatusCode::OK, &Appended { offset })),
            Err(error) => Err(Refusal::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                error.to_string(),
            )),
        }
    }

    async fn read(&self, stream: &str, query: &Query) -> Result<Answer, Refusal> {
        let from = query.number("from")?.unwrap_or(0);
        let wait = Duration::from_millis(query.number("wait_ms")?.unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_POLL);
        self.meet_read_fault().await?;
        let mut changes = self.shared.changes.subscribe();
        loop {
            if self.state().log_fault.is_down() {
                return Err(outage());
            }
            let page = self.state().log.read(stream, from);
            let empty = matches!(&page, Page::Records { records, .. } if records.is_empty());
            let waited = tokio::time::timeout_at(deadline, changes.changed());
            if !empty || waited.await.is_err() {
                return Ok(page_answer(page));
            }
        }
    }

    /// Meets the faults that concern reads too, not those of appends alone.
    async fn meet_read_fault(&self) -> Result<(), Refusal> {
        let (mode, wait) = {
            let mut state = self.state();
            match state.log_fault.mode() {
                Mode::Down | Mode::Slow => state.log_fault.meet(),
                Mode::Ok | Mode::LoseAnswers | Mode::LoseRequests => return Ok(()),
            }
        };
        match mode {
            Mode::Down => return Err(outage()),
            Mode::Slow => tokio::time::sleep(wait).await,
            Mode::Ok | Mode::LoseAnswers | Mode::LoseRequests => {}
        }
        Ok(())
    }

    async fn hosts(&self) -> Result<Answer, Refusal> {
        let (mode, wait) = self.state().hosts_fault.meet();
        match mode {
            Mode::Down => return Err(outage()),
            Mode::LoseAnswers | Mode::LoseRequests => return Ok(Err(Dropped)),
            Mode::Slow => tokio::time::sleep(wait).await,
            Mode::Ok => {}
        }
        let hosts = self.state().hosts.shown().to_vec();
        Ok(http::json(StatusCode::OK, &hosts))
    }

    async fn order(&self, what: &str, body: Incoming) -> Result<Answer, Refusal> {
        match what {
            "log" => self.fault_log(http::read_json(body).await?),
            "hosts" => self.order_hosts(http::read_json(body).await?),
            "expire" => {
                let order: ExpireOrder = http::read_json(body).await?;
                self.expire(&order.stream, order.first);
            }
            _ => return Ok(http::not_found()),
        }
        Ok(http::text(StatusCode::OK, "ok\n"))
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Answer, Refusal> {
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
        if let Some(what) = path.strip_prefix("/fault/") {
            return self.order(what, body).await;
        }
        match path {
            "/hosts" => self.hosts().await,
            "/healthz" => Ok(http::text(StatusCode::OK, "ok\n")),
            _ => Ok(http::not_found()),
        }
    }

    fn order_hosts(&self, order: HostsOrder) {
        let mut state = self.state();
        if let Some(hosts) = order.hosts {
            state.hosts.set(hosts, Duration::from_millis(order.lag_ms));
        }
        if let Some(mode) = order.mode {
            state.hosts_fault = FaultOrder {
                mode,
                ms: order.ms,
                count: order.count,
            }
            .into();
        }
    }
}

impl Handler for Platform {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        self.route(request).await.unwrap_or_else(Refusal::answer)
    }

    fn absence(&self) -> watch::Receiver<Absence> {
        self.shared.absence.subscribe()
    }
}

fn outage() -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

fn page_answer(page: Page) -> Answer {
    match page {
        Page::Expired { first } => http::json(StatusCode::GONE, &Expired { first }),
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
