//! Stand-in for a network link: a TCP proxy that can delay, block, silence or cut connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::http::{self, Handler, HandlerResult, HttpError, Outage};

/// Maximum number of connections of a link.
pub const MAX_LINK_CONNECTIONS: usize = 4_096;
/// Maximum delay of a link.
pub const MAX_DELAY: Duration = Duration::from_secs(60);
/// Maximum size of a forwarded chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in flight in one direction of a connection.
const CHUNK_QUEUE: usize = 64;
/// Delay before the next accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Id of a connection. Ids increase in the order in which connections are accepted.
type ConnectionId = u64;

/// Direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default)]
struct LinkFaults {
    /// Connections with lower ids stay open but forward nothing to the server.
    first_up: ConnectionId,
    /// Connections with lower ids stay open but forward nothing to the client.
    first_down: ConnectionId,
    /// Connections with lower ids are closed.
    first_open: ConnectionId,
    /// No connection forwards anything until the link is healed.
    blocked: bool,
    delay: Duration,
}

impl LinkFaults {
    fn passes(&self, id: ConnectionId, direction: Direction) -> bool {
        let first = match direction {
            Direction::Up => self.first_up,
            Direction::Down => self.first_down,
        };
        !self.blocked && id >= first
    }
}

#[derive(Debug)]
struct Shared {
    server: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    /// Id of the next connection.
    next_id: watch::Sender<ConnectionId>,
    outage: watch::Sender<Outage>,
}

/// Link to a server. Clones share their state.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DelayRequest {
    ms: u64,
}

/// Response to `GET /state`.
#[derive(Debug, Serialize)]
struct StateJson {
    accepted: u64,
    blocked: bool,
    delay_ms: u128,
}

impl Link {
    /// Creates a link without faults to a server.
    pub fn new(server: SocketAddr) -> Self {
        Link {
            shared: Arc::new(Shared {
                server,
                faults: watch::Sender::default(),
                next_id: watch::Sender::default(),
                outage: watch::Sender::default(),
            }),
        }
    }

    /// Forwards connections until the future is dropped, which closes all connections.
    pub async fn serve(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((socket, _)) if connections.len() < MAX_LINK_CONNECTIONS => {
                        connections.spawn(self.forward(socket));
                    }
                    Ok(_) => {}
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Serves the admin interface over HTTP until the future is dropped.
    pub async fn serve_admin(self, listener: TcpListener) {
        http::serve(listener, self).await;
    }

    /// Stops forwarding on the open connections permanently, without closing them.
    pub fn silence(&self) {
        self.silence_direction(Direction::Up);
        self.silence_direction(Direction::Down);
    }

    /// Stops forwarding in one direction on the open connections permanently.
    pub fn silence_direction(&self, direction: Direction) {
        let next = *self.shared.next_id.borrow();
        self.update(|faults| match direction {
            Direction::Up => faults.first_up = next,
            Direction::Down => faults.first_down = next,
        });
    }

    /// Closes the open connections.
    pub fn cut(&self) {
        let next = *self.shared.next_id.borrow();
        self.update(|faults| faults.first_open = next);
    }

    /// Stops forwarding on all connections, including new ones, until the link is healed.
    pub fn block(&self) {
        self.update(|faults| faults.blocked = true);
    }

    /// Ends blocking and delay. Silenced connections stay silenced.
    pub fn heal(&self) {
        self.update(|faults| {
            faults.blocked = false;
            faults.delay = Duration::ZERO;
        });
    }

    /// Delays all bytes that are read after this call.
    pub fn delay(&self, duration: Duration) {
        self.update(|faults| faults.delay = duration.min(MAX_DELAY));
    }

    fn update(&self, update: impl FnOnce(&mut LinkFaults)) {
        self.shared.faults.send_modify(update);
    }

    fn allocate_id(&self) -> ConnectionId {
        let mut id = 0;
        self.shared.next_id.send_modify(|next| {
            id = *next;
            *next += 1;
        });
        id
    }

    fn forward(&self, socket: TcpStream) -> impl Future<Output = ()> + Send + 'static {
        let server = self.shared.server;
        let faults = ConnectionFaults {
            id: self.allocate_id(),
            faults: self.shared.faults.subscribe(),
        };
        async move {
            let mut connection = faults.clone();
            tokio::select! {
                () = forward_connection(socket, server, faults) => {}
                () = connection.wait_cut() => {}
            }
        }
    }

    async fn handle_command(&self, request: Request<Incoming>) -> Result<HandlerResult, HttpError> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/silence" => self.silence(),
            "/silence/up" => self.silence_direction(Direction::Up),
            "/silence/down" => self.silence_direction(Direction::Down),
            "/cut" => self.cut(),
            "/block" => self.block(),
            "/heal" => self.heal(),
            "/delay" => {
                let body: DelayRequest = http::read_json(request.into_body()).await?;
                self.delay(Duration::from_millis(body.ms));
            }
            _ => return Ok(http::not_found()),
        }
        Ok(http::text(StatusCode::OK, "ok\n"))
    }

    fn state_response(&self) -> HandlerResult {
        let faults = *self.shared.faults.borrow();
        let state = StateJson {
            accepted: *self.shared.next_id.borrow(),
            blocked: faults.blocked,
            delay_ms: faults.delay.as_millis(),
        };
        http::json(StatusCode::OK, &state)
    }
}

impl Handler for Link {
    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => http::text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/state") => self.state_response(),
            (&Method::POST, _) => self
                .handle_command(request)
                .await
                .unwrap_or_else(HttpError::into_response),
            _ => http::not_found(),
        }
    }

    fn outage(&self) -> watch::Receiver<Outage> {
        self.shared.outage.subscribe()
    }
}

/// Faults of the link as they apply to one connection.
#[derive(Clone, Debug)]
struct ConnectionFaults {
    id: ConnectionId,
    faults: watch::Receiver<LinkFaults>,
}

impl ConnectionFaults {
    /// Waits until bytes may be forwarded, and returns their delay.
    async fn wait_passable(&mut self, direction: Direction) -> Duration {
        let id = self.id;
        let waited = self
            .faults
            .wait_for(|faults| faults.passes(id, direction))
            .await
            .map(|faults| faults.delay);
        match waited {
            Ok(delay) => delay,
            Err(_) => std::future::pending().await,
        }
    }

    /// Waits until the connection must be closed.
    async fn wait_cut(&mut self) {
        let id = self.id;
        let waited = self
            .faults
            .wait_for(|faults| id < faults.first_open)
            .await
            .map(drop);
        match waited {
            Ok(()) => {}
            Err(_) => std::future::pending().await,
        }
    }
}

/// Chunk in flight.
struct Chunk {
    due: Instant,
    data: Bytes,
}

async fn forward_connection(client: TcpStream, address: SocketAddr, mut faults: ConnectionFaults) {
    faults.wait_passable(Direction::Up).await;
    let Ok(server) = TcpStream::connect(address).await else {
        return;
    };
    // Nagle's algorithm would delay small chunks beyond the configured delay.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        forward_direction(client_read, server_write, faults.clone(), Direction::Up),
        forward_direction(server_read, client_write, faults, Direction::Down),
    );
}

async fn forward_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    faults: ConnectionFaults,
    direction: Direction,
) {
    let (sender, receiver) = mpsc::channel(CHUNK_QUEUE);
    tokio::join!(
        read_chunks(from, sender, faults.clone(), direction),
        write_chunks(to, receiver, faults, direction),
    );
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    chunks: mpsc::Sender<Chunk>,
    mut faults: ConnectionFaults,
    direction: Direction,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = match from.read(&mut buf).await {
            Ok(len) if len > 0 => len,
            _ => return,
        };
        let delay = faults.wait_passable(direction).await;
        let chunk = Chunk {
            due: Instant::now() + delay,
            data: Bytes::copy_from_slice(&buf[..len]),
        };
        if chunks.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
    mut faults: ConnectionFaults,
    direction: Direction,
) {
    while let Some(chunk) = chunks.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        faults.wait_passable(direction).await;
        if to.write_all(&chunk.data).await.is_err() {
            return;
        }
    }
    // The end of the stream is subject to the same faults as data.
    faults.wait_passable(direction).await;
    let _ = to.shutdown().await;
}
