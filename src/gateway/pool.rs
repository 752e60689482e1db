//! Connections to targets. One carries one request at a time.
//!
//! A connection is kept for the next request only after an answer that was whole and as expected.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::gateway::targets::TargetKey;

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a connection is kept when its target does not say how long it keeps it.
const USUAL_IDLE: Duration = Duration::from_millis(1_500);
/// A connection is not used this close to the end of its time.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Most unused connections that are kept for a target.
const MAX_IDLE: usize = 32;

/// A connection to a target; it ends when this is dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub used: bool,
    _task: Ended,
}

/// Ends a connection's task when dropped.
#[derive(Debug)]
struct Ended(AbortHandle);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// It was not made in time.
    #[error("no connection in time")]
    Timeout,
    /// The system refused it.
    #[error("could not connect: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP library refused it.
    #[error("could not begin: {0}")]
    Http(#[from] hyper::Error),
}

#[derive(Debug)]
struct Idle {
    link: Connection,
    until: Instant,
}

/// Connections that wait for their next request.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<TargetKey, Vec<Idle>>>,
}

impl ConnectionPool {
    /// A connection that was used before and is still good.
    pub fn take(&self, target: TargetKey) -> Option<Connection> {
        let mut idle = self.lock();
        let kept = idle.get_mut(&target)?;
        let now = Instant::now();
        while let Some(Idle { link, until }) = kept.pop() {
            if now < until && link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection for the next request. `idle` is how long the target says it keeps it.
    pub fn put(&self, target: TargetKey, mut link: Connection, idle: Option<Duration>) {
        let span = match idle {
            Some(idle) => idle.saturating_sub(IDLE_MARGIN),
            None => USUAL_IDLE,
        };
        if span.is_zero() {
            return;
        }
        link.used = true;
        let until = Instant::now() + span;
        let mut all = self.lock();
        let kept = all.entry(target).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { link, until });
        }
    }

    /// Ends the connections that have waited too long, and those of targets that are gone.
    pub fn evict(&self, lives: impl Fn(TargetKey) -> bool) {
        let now = Instant::now();
        self.lock().retain(|&target, kept| {
            kept.retain(|idle| now < idle.until && !idle.link.sender.is_closed());
            !kept.is_empty() && lives(target)
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetKey, Vec<Idle>>> {
        self.idle.lock().expect("no holder of the links panics")
    }
}

/// Makes a connection.
///
/// # Errors
/// Why there is none.
pub async fn connect(addr: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // What ends a connection also ends its request, which says so.
    let task = tokio::spawn(async move { drop(connection.await) });
    Ok(Connection {
        sender,
        used: false,
        _task: Ended(task.abort_handle()),
    })
}
