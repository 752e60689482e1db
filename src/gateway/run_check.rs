//! Asks a silent target whether it still runs a request, so that no two targets run it at a time.
//!
//! Load pattern: a target becomes several times slower for some seconds while it can be reached.
//! Some targets do not drop a request when its connection closes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, Uri};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::gateway::attempts::Attempts;
use crate::gateway::pool::{ConnectError, Connection};
use crate::gateway::request::ClientRequest;
use crate::gateway::request_log;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::TargetKey;
use crate::platform::headers;
use crate::platform::report::{self, REPORT_PATH};

/// Time from closing the connection to the first look. Reports are some hundred milliseconds old,
/// and an earlier look mostly finds what ran before the close.
const FIRST_LOOK: Duration = Duration::from_millis(400);
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of looks after the close. Each one costs the target a request.
const MAX_LOOKS: u32 = 6;
/// Time limit for one report.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// What a target tells of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It runs the request.
    Running,
    /// Its report does not list the request, or another target now uses its address.
    Gone,
    /// It accepts no connections.
    Unreachable,
    /// It gives no readable report, which is no proof that the request has stopped.
    Unknown,
}

/// Asks one target about one request.
#[derive(Clone, Debug)]
pub struct RunCheck {
    gateway: Arc<GatewayState>,
    request: Arc<ClientRequest>,
    target: Arc<str>,
    addr: SocketAddr,
}

impl RunCheck {
    /// Prepares to ask `target`; `None` if it is no longer listed.
    pub fn new(attempts: &Attempts, target: TargetKey) -> Option<Self> {
        let (id, entry) = attempts.gateway.target_entry(target)?;
        Some(RunCheck {
            gateway: attempts.gateway.clone(),
            request: attempts.request.clone(),
            target: id,
            addr: entry.addr,
        })
    }

    /// Asks once, in the background. Stops when the receiver is dropped.
    pub fn start(self) -> oneshot::Receiver<RunState> {
        let (mut sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            tokio::select! {
                // Sending fails only if nobody waits any more.
                state = self.ask() => drop(sender.send(state)),
                () = sender.closed() => {}
            }
        });
        receiver
    }

    /// Waits until the target has stopped running the request, whose connection has been closed, or
    /// cannot be reached. Returns `false` if there is no proof of either in time.
    pub async fn wait_until_stopped(&self) -> bool {
        let mut wait = FIRST_LOOK;
        for _ in 0..MAX_LOOKS {
            let now = self.gateway.clock.now();
            let remaining: Duration = self.request.deadline().saturating_sub(now).into();
            if remaining <= wait {
                break;
            }
            sleep(wait).await;
            if let RunState::Gone | RunState::Unreachable = self.ask().await {
                return true;
            }
            wait = LOOK_INTERVAL;
        }
        request_log::not_stopped(&self.gateway, &self.request, &self.target);
        false
    }

    async fn ask(&self) -> RunState {
        let connection = match self.gateway.pool.connect(self.addr).await {
            Ok(connection) => connection,
            Err(error) if is_unreachable(&error) => return RunState::Unreachable,
            Err(_) => return RunState::Unknown,
        };
        let state = timeout(ASK_TIMEOUT, self.read_report(connection)).await;
        state.ok().flatten().unwrap_or(RunState::Unknown)
    }

    async fn read_report(&self, mut connection: Connection) -> Option<RunState> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(REPORT_PATH);
        *request.headers_mut() = headers::health_request(&self.addr.to_string(), &self.target);
        let response = connection.sender.send_request(request).await.ok()?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::MISDIRECTED_REQUEST => return Some(RunState::Gone),
            _ => return None,
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        match report::lists_run(&body, self.request.id_str())? {
            true => Some(RunState::Running),
            false => Some(RunState::Gone),
        }
    }
}

/// Whether a failed connection says that the target cannot be reached, and not that this process has
/// no room for another connection.
fn is_unreachable(error: &ConnectError) -> bool {
    match error {
        ConnectError::Timeout => true,
        ConnectError::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::ConnectionReset
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::TimedOut
        ),
        ConnectError::TooMany | ConnectError::Http(_) => false,
    }
}
