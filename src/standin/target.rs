//! The stand-in for a target: runs that take a given time, streams, crashes and slow spells.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::http::{self, Absence, Answer, Dropped, Handler, Refusal};
use super::query::Query;
use super::runs::{Runs, id_of};
use super::target_fault::{TargetFault, TargetMode};
use super::work::{self, Job};

/// How long a crashed target stays away.
pub const CRASH_SPAN: Duration = Duration::from_secs(2);
/// Header with the fencing number.
pub const FENCE_HEADER: &str = "x-balsampitch-fence";
/// What a target is like.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetOptions {
    /// Requests that it runs at a time, more wait; none: no limit.
    pub slots: Option<u16>,
    /// Whether it refuses old fencing numbers.
    pub fenced: bool,
}

#[derive(Debug)]
struct Shared {
    fenced: bool,
    slots: Option<Arc<Semaphore>>,
    runs: Arc<Mutex<Runs>>,
    fault: Mutex<TargetFault>,
    running: AtomicU64,
    peak: AtomicU64,
    total: AtomicU64,
    absence: watch::Sender<Absence>,
}

/// A target. Clones share their state.
#[derive(Clone, Debug)]
pub struct Target {
    shared: Arc<Shared>,
}

/// What `GET /state` shows.
#[derive(Debug, Serialize)]
struct StateJson {
    running: u64,
    peak: u64,
    total: u64,
}

/// Counts a request as running until dropped, and holds its slot.
pub(super) struct Run {
    shared: Arc<Shared>,
    _slot: Option<OwnedSemaphorePermit>,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Target {
    /// A target that has run nothing.
    pub fn new(options: TargetOptions) -> Self {
        let slots = options
            .slots
            .map(|slots| Arc::new(Semaphore::new(slots.into())));
        Target {
            shared: Arc::new(Shared {
                fenced: options.fenced,
                slots,
                runs: Arc::default(),
                fault: Mutex::default(),
                running: AtomicU64::new(0),
                peak: AtomicU64::new(0),
                total: AtomicU64::new(0),
                absence: watch::Sender::new(Absence::default()),
            }),
        }
    }

    /// Another target that counts its runs together with this one.
    pub fn sibling(&self, options: TargetOptions) -> Self {
        let sibling = Target::new(options);
        let mut shared = Arc::into_inner(sibling.shared).expect("a new target has no clones");
        shared.runs = self.shared.runs.clone();
        Target {
            shared: Arc::new(shared),
        }
    }

    /// Serves until dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, self).await;
    }

    /// Orders a fault.
    pub fn order(&self, order: TargetFault) {
        if order.mode == TargetMode::Away {
            self.go_away(order.ms.map_or(CRASH_SPAN, Duration::from_millis));
            return;
        }
        *self.fault() = order;
    }

    /// How often a body with this first line was run.
    pub fn count(&self, id: &str) -> u64 {
        self.runs().count(id)
    }

    fn go_away(&self, span: Duration) {
        self.shared.absence.send_replace(Absence::lasting(span));
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.shared.runs.lock().expect("runs are not poisoned")
    }

    fn fault(&self) -> MutexGuard<'_, TargetFault> {
        self.shared.fault.lock().expect("fault is not poisoned")
    }

    fn check_fence(&self, id: &str, headers: &HeaderMap) -> Result<(), Refusal> {
        let Some(value) = headers.get(FENCE_HEADER).filter(|_| self.shared.fenced) else {
            return Ok(());
        };
        let fence = value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| Refusal::new(StatusCode::BAD_REQUEST, "bad fencing number"))?;
        self.runs()
            .check_fence(id, fence)
            .map_err(|_| Refusal::new(StatusCode::PRECONDITION_FAILED, "old fencing number"))
    }

    async fn begin(&self) -> Run {
        let slot = match &self.shared.slots {
            Some(slots) => {
                let slot = slots.clone().acquire_owned().await;
                Some(slot.expect("the slots are never closed"))
            }
            None => None,
        };
        let running = self.shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.shared.peak.fetch_max(running, Ordering::Relaxed);
        self.shared.total.fetch_add(1, Ordering::Relaxed);
        Run {
            shared: self.shared.clone(),
            _slot: slot,
        }
    }

    async fn work(&self, request: Request<Incoming>) -> Result<Answer, Refusal> {
        let (head, body) = request.into_parts();
        let body = http::read_body(body).await?;
        let fault = self.fault().meet();
        if fault.mode == TargetMode::Refuse {
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "refused"));
        }
        let run = self.begin().await;
        let id = id_of(&body);
        self.check_fence(&id, &head.headers)?;
        self.runs().begin(&id);
        let job = Job {
            query: Query::parse(head.uri.query().unwrap_or("")),
            body,
            fault,
            run,
        };
        match head.uri.path() {
            "/run" => work::run(job).await,
            "/stream" => work::stream(job),
            _ => {
                self.go_away(CRASH_SPAN);
                Ok(Err(Dropped))
            }
        }
    }

    async fn take_order(&self, body: Incoming) -> Result<Answer, Refusal> {
        let order = http::read_json(body).await?;
        self.order(order);
        Ok(http::text(StatusCode::OK, "ok\n"))
    }

    fn state(&self) -> Answer {
        let state = StateJson {
            running: self.shared.running.load(Ordering::Relaxed),
            peak: self.shared.peak.load(Ordering::Relaxed),
            total: self.shared.total.load(Ordering::Relaxed),
        };
        http::json(StatusCode::OK, &state)
    }
}

impl Handler for Target {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (_, "/run" | "/stream" | "/crash") => {
                self.work(request).await.unwrap_or_else(Refusal::answer)
            }
            (&Method::GET, "/count") => {
                let query = Query::parse(request.uri().query().unwrap_or(""));
                let count = self.count(query.get("id").unwrap_or(""));
                http::text(StatusCode::OK, count.to_string())
            }
            (&Method::GET, "/state") => self.state(),
            (&Method::GET, "/healthz") => http::text(StatusCode::OK, "ok\n"),
            (_, "/headers") => show_headers(request.headers()),
            (&Method::POST, "/fault/target") => {
                let body = request.into_body();
                self.take_order(body).await.unwrap_or_else(Refusal::answer)
            }
            _ => http::not_found(),
        }
    }

    fn absence(&self) -> watch::Receiver<Absence> {
        self.shared.absence.subscribe()
    }
}

/// Answers the request's headers, one `name: value` a line.
fn show_headers(headers: &HeaderMap) -> Answer {
    let lines: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\n", String::from_utf8_lossy(value.as_bytes())))
        .collect();
    http::text(StatusCode::OK, lines)
}
