//! Stand-in for a target: timed runs, streams, crashes and injected faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::http::{self, ConnectionDropped, Handler, HandlerResult, HttpError, Outage};
use super::query::Query;
use super::runs::{Runs, body_id};
use super::target_fault::{TargetFault, TargetMode};
use super::target_response::{self, Job};

/// Duration of the outage after a crash.
pub const CRASH_OUTAGE: Duration = Duration::from_secs(2);
/// Request header with the fencing number.
pub const FENCE_HEADER: &str = "x-balsampitch-fence";

/// Configuration of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetOptions {
    /// Maximum number of concurrent runs; further requests wait. `None`: no limit.
    pub slots: Option<u16>,
    /// Whether requests with old fencing numbers are rejected.
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
    outage: watch::Sender<Outage>,
}

/// Stand-in for a target. Clones share their state.
#[derive(Clone, Debug)]
pub struct Target {
    shared: Arc<Shared>,
}

/// Response to `GET /state`.
#[derive(Debug, Serialize)]
struct StateJson {
    running: u64,
    peak: u64,
    total: u64,
}

/// Counts a request as running and holds its slot until dropped.
pub(super) struct RunGuard {
    shared: Arc<Shared>,
    _slot: Option<OwnedSemaphorePermit>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Target {
    /// Creates a target without runs.
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
                outage: watch::Sender::new(Outage::default()),
            }),
        }
    }

    /// Creates another target that shares the run counts of this one.
    pub fn with_shared_runs(&self, options: TargetOptions) -> Self {
        let target = Target::new(options);
        let mut shared = Arc::into_inner(target.shared).expect("a new target has no clones");
        shared.runs = self.shared.runs.clone();
        Target {
            shared: Arc::new(shared),
        }
    }

    /// Serves until the future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, self).await;
    }

    /// Sets the fault; [`TargetMode::Away`] starts an outage instead.
    pub fn set_fault(&self, fault: TargetFault) {
        if fault.mode == TargetMode::Away {
            self.start_outage(fault.ms.map_or(CRASH_OUTAGE, Duration::from_millis));
            return;
        }
        *self.fault() = fault;
    }

    /// Returns the number of runs of bodies with this first line.
    pub fn run_count(&self, id: &str) -> u64 {
        self.runs().count(id)
    }

    fn start_outage(&self, duration: Duration) {
        self.shared
            .outage
            .send_replace(Outage::for_duration(duration));
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.shared.runs.lock().expect("runs are not poisoned")
    }

    fn fault(&self) -> MutexGuard<'_, TargetFault> {
        self.shared.fault.lock().expect("fault is not poisoned")
    }

    fn check_fence(&self, id: &str, headers: &HeaderMap) -> Result<(), HttpError> {
        let Some(value) = headers.get(FENCE_HEADER).filter(|_| self.shared.fenced) else {
            return Ok(());
        };
        let fence = value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| HttpError::new(StatusCode::BAD_REQUEST, "bad fencing number"))?;
        self.runs()
            .check_fence(id, fence)
            .map_err(|_| HttpError::new(StatusCode::PRECONDITION_FAILED, "old fencing number"))
    }

    async fn start_run(&self) -> RunGuard {
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
        RunGuard {
            shared: self.shared.clone(),
            _slot: slot,
        }
    }

    async fn handle_run(&self, request: Request<Incoming>) -> Result<HandlerResult, HttpError> {
        let (head, body) = request.into_parts();
        let body = http::read_body(body).await?;
        let fault = self.fault().next_request();
        if fault.mode == TargetMode::Refuse {
            return Err(HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "refused"));
        }
        let guard = self.start_run().await;
        let id = body_id(&body);
        self.check_fence(&id, &head.headers)?;
        self.runs().record_run(&id);
        let job = Job {
            query: Query::parse(head.uri.query().unwrap_or("")),
            body,
            fault,
            guard,
        };
        match head.uri.path() {
            "/run" => target_response::run(job).await,
            "/stream" => target_response::stream(job),
            _ => {
                self.start_outage(CRASH_OUTAGE);
                Ok(Err(ConnectionDropped))
            }
        }
    }

    async fn handle_fault(&self, body: Incoming) -> Result<HandlerResult, HttpError> {
        let fault = http::read_json(body).await?;
        self.set_fault(fault);
        Ok(http::text(StatusCode::OK, "ok\n"))
    }

    fn state_response(&self) -> HandlerResult {
        let state = StateJson {
            running: self.shared.running.load(Ordering::Relaxed),
            peak: self.shared.peak.load(Ordering::Relaxed),
            total: self.shared.total.load(Ordering::Relaxed),
        };
        http::json(StatusCode::OK, &state)
    }
}

impl Handler for Target {
    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        match (request.method(), request.uri().path()) {
            (_, "/run" | "/stream" | "/crash") => self
                .handle_run(request)
                .await
                .unwrap_or_else(HttpError::into_response),
            (&Method::GET, "/count") => {
                let query = Query::parse(request.uri().query().unwrap_or(""));
                let count = self.run_count(query.get("id").unwrap_or(""));
                http::text(StatusCode::OK, count.to_string())
            }
            (&Method::GET, "/state") => self.state_response(),
            (&Method::GET, "/healthz") => http::text(StatusCode::OK, "ok\n"),
            (_, "/headers") => headers_response(request.headers()),
            (&Method::POST, "/fault/target") => {
                let body = request.into_body();
                self.handle_fault(body)
                    .await
                    .unwrap_or_else(HttpError::into_response)
            }
            _ => http::not_found(),
        }
    }

    fn outage(&self) -> watch::Receiver<Outage> {
        self.shared.outage.subscribe()
    }
}

/// Responds with the request's headers, one `name: value` per line.
fn headers_response(headers: &HeaderMap) -> HandlerResult {
    let lines: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\n", String::from_utf8_lossy(value.as_bytes())))
        .collect();
    http::text(StatusCode::OK, lines)
}
