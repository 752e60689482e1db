//! Connection pool for targets. A connection carries one request at a time.
//!
//! A connection returns to the pool only after a complete and valid response.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::gateway::connection_limits::ConnectionLimits;
use crate::gateway::targets::TargetKey;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long an idle connection is kept if its target does not announce an idle timeout.
const DEFAULT_IDLE: Duration = Duration::from_millis(1_500);
/// A connection is dropped this long before its target's idle timeout, so that no request is sent
/// on a connection that the target is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of the head of an answer, and of what is read of its body at once, in bytes. Many
/// targets may send heads without end at the same time.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of idle connections that are kept per target.
const MAX_IDLE: usize = 32;

/// A connection to a target. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    /// Handle that sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub reused: bool,
    _task: AbortOnDrop,
    _open: OpenGuard,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        OpenGuard(count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Aborts the task that drives a connection when dropped.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Error for a connection that could not be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection attempt timed out.
    #[error("connection attempt timed out")]
    Timeout,
    /// All connections that this process may have to targets are in use.
    #[error("too many connections to targets")]
    TooMany,
    /// The operating system reported an error.
    #[error("could not connect: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by target.
#[derive(Debug, Default)]
struct Idle {
    targets: HashMap<TargetKey, Vec<IdleConnection>>,
    /// Number of all idle connections.
    count: usize,
    /// When targets were last found to have closed an idle connection early.
    closed: HashMap<TargetKey, Instant>,
}

impl Idle {
    /// Closes the idle connection that expires first; returns `false` if there is none.
    fn close_one(&mut self) -> bool {
        let expiry = |kept: &Vec<IdleConnection>| kept.first().map(|idle| idle.expires);
        let oldest = self
            .targets
            .values_mut()
            .filter(|kept| !kept.is_empty())
            .min_by_key(|kept| expiry(kept));
        let Some(kept) = oldest else {
            return false;
        };
        kept.remove(0);
        self.count -= 1;
        true
    }
}

/// The connections to targets: keeps the idle ones, and limits the number of all.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<Idle>,
    /// Number of open connections, idle or not.
    open: Arc<AtomicUsize>,
    limits: ConnectionLimits,
}

impl ConnectionPool {
    /// Creates an empty pool with these limits.
    pub fn new(limits: ConnectionLimits) -> Self {
        ConnectionPool {
            limits,
            ..ConnectionPool::default()
        }
    }

    /// Takes an idle connection that is still usable; `None` if there is none.
    pub fn take(&self, target: TargetKey) -> Option<Connection> {
        let mut idle = self.lock();
        let Idle {
            targets,
            count,
            closed,
        } = &mut *idle;
        let kept = targets.get_mut(&target)?;
        let now = Instant::now();
        while let Some(IdleConnection {
            connection,
            expires,
        }) = kept.pop()
        {
            *count -= 1;
            if now < expires && connection.sender.is_ready() {
                return Some(connection);
            }
            if now < expires {
                closed.insert(target, now);
            }
        }
        None
    }

    /// Whether a target has closed an idle connection early within the last `span`, as it does when
    /// it ends.
    pub fn was_closed_within(&self, target: TargetKey, span: Duration) -> bool {
        let closed = self.lock().closed.get(&target).copied();
        closed.is_some_and(|at| at.elapsed() < span)
    }

    /// Returns a connection to the pool. `idle_timeout` is the idle timeout that the target
    /// announced, if any.
    pub fn put(
        &self,
        target: TargetKey,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let span = match idle_timeout {
            Some(idle) => idle.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE,
        };
        if span.is_zero() {
            return;
        }
        connection.reused = true;
        let expires = Instant::now() + span;
        let mut idle = self.lock();
        if idle.count >= self.limits.idle_targets {
            return;
        }
        let kept = idle.targets.entry(target).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(IdleConnection {
                connection,
                expires,
            });
            idle.count += 1;
        }
    }

    /// Closes the connections that have been idle for too long, and those to targets that are no
    /// longer listed.
    pub fn evict(&self, is_listed: impl Fn(TargetKey) -> bool) {
        let now = Instant::now();
        let mut idle = self.lock();
        let Idle {
            targets, closed, ..
        } = &mut *idle;
        closed.retain(|&target, _| is_listed(target));
        targets.retain(|&target, kept| {
            let is_closed = |idle: &IdleConnection| idle.connection.sender.is_closed();
            if is_listed(target)
                && kept
                    .iter()
                    .any(|idle| now < idle.expires && is_closed(idle))
            {
                closed.insert(target, now);
            }
            kept.retain(|idle| now < idle.expires && !is_closed(idle));
            !kept.is_empty() && is_listed(target)
        });
        idle.count = idle.targets.values().map(Vec::len).sum();
    }

    /// Connects to a target. If there are too many connections, an idle one is closed.
    ///
    /// # Errors
    /// Returns an error if all connections are in use, the connection cannot be established in
    /// time, or its HTTP handshake fails.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, ConnectError> {
        let full = self.open.load(Ordering::Relaxed) >= self.limits.targets;
        if full && !self.lock().close_one() {
            return Err(ConnectError::TooMany);
        }
        let open = OpenGuard::new(&self.open);
        connect(addr, open).await
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle
            .lock()
            .expect("no code panics while holding the lock")
    }
}

async fn connect(addr: SocketAddr, open: OpenGuard) -> Result<Connection, ConnectError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let (sender, driver) = builder.handshake(TokioIo::new(stream)).await?;
    // Errors are ignored here: the request on the connection fails with them.
    let task = tokio::spawn(async move { drop(driver.await) });
    Ok(Connection {
        sender,
        reused: false,
        _task: AbortOnDrop(task.abort_handle()),
        _open: open,
    })
}

#[cfg(test)]
mod tests;
