//! The stand-in for a network link: passes bytes between two addresses, or fails to order.

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

use super::http::{self, Absence, Answer, Handler, Refusal};

/// Most connections that a link passes.
pub const MAX_LINK_CONNECTIONS: usize = 4_096;
/// Longest delay of a link.
pub const MAX_DELAY: Duration = Duration::from_secs(60);
/// Largest piece that is passed at a time, in bytes.
const PIECE_BYTES: usize = 16 * 1024;
/// Pieces under way in one direction of a connection.
const PIECE_QUEUE: usize = 64;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Number of a connection, in order of acceptance.
type Number = u64;

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the side that connected.
    Up,
    /// To the side that connected.
    Down,
}

/// How a link behaves.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    /// Connections with lower numbers pass nothing up any more and stay open.
    up: Number,
    /// The same for what passes down.
    down: Number,
    /// Connections with lower numbers are closed.
    cut: Number,
    /// Nothing passes on any connection until healed.
    blocked: bool,
    delay: Duration,
}

impl Condition {
    fn passes(&self, number: Number, way: Way) -> bool {
        let first = match way {
            Way::Up => self.up,
            Way::Down => self.down,
        };
        !self.blocked && number >= first
    }
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    condition: watch::Sender<Condition>,
    /// Number of the next connection.
    next: watch::Sender<Number>,
    absence: watch::Sender<Absence>,
}

/// A link to an address. Clones share their state.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DelayOrder {
    ms: u64,
}

/// What `GET /state` shows.
#[derive(Debug, Serialize)]
struct StateJson {
    accepted: u64,
    blocked: bool,
    delay_ms: u128,
}

impl Link {
    /// A link to an address, in order.
    pub fn new(to: SocketAddr) -> Self {
        Link {
            shared: Arc::new(Shared {
                to,
                condition: watch::Sender::default(),
                next: watch::Sender::default(),
                absence: watch::Sender::default(),
            }),
        }
    }

    /// Passes connections on until dropped; then all of them close.
    pub async fn serve(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((socket, _)) if connections.len() < MAX_LINK_CONNECTIONS => {
                        connections.spawn(self.pass(socket));
                    }
                    Ok(_) => {}
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Serves orders over HTTP until dropped.
    pub async fn serve_admin(self, listener: TcpListener) {
        http::serve(listener, self).await;
    }

    /// Stops passing bytes on the connections that are open, for good and without closing them.
    pub fn silence(&self) {
        self.silence_way(Way::Up);
        self.silence_way(Way::Down);
    }

    /// Stops passing bytes one way on the connections that are open, for good.
    pub fn silence_way(&self, way: Way) {
        let next = *self.shared.next.borrow();
        self.change(|condition| match way {
            Way::Up => condition.up = next,
            Way::Down => condition.down = next,
        });
    }

    /// Closes the connections that are open.
    pub fn cut(&self) {
        let next = *self.shared.next.borrow();
        self.change(|condition| condition.cut = next);
    }

    /// Stops passing bytes on all connections, also on new ones, until healed.
    pub fn block(&self) {
        self.change(|condition| condition.blocked = true);
    }

    /// Passes bytes again, without delay. Silenced connections stay silent.
    pub fn heal(&self) {
        self.change(|condition| {
            condition.blocked = false;
            condition.delay = Duration::ZERO;
        });
    }

    /// Delays all bytes that are read from now on.
    pub fn delay(&self, span: Duration) {
        self.change(|condition| condition.delay = span.min(MAX_DELAY));
    }

    fn change(&self, change: impl FnOnce(&mut Condition)) {
        self.shared.condition.send_modify(change);
    }

    fn number(&self) -> Number {
        let mut number = 0;
        self.shared.next.send_modify(|next| {
            number = *next;
            *next += 1;
        });
        number
    }

    fn pass(&self, socket: TcpStream) -> impl Future<Output = ()> + Send + 'static {
        let to = self.shared.to;
        let gate = Gate {
            number: self.number(),
            condition: self.shared.condition.subscribe(),
        };
        async move {
            let mut ending = gate.clone();
            tokio::select! {
                () = pass_both(socket, to, gate) => {}
                () = ending.closed() => {}
            }
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Result<Answer, Refusal> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/silence" => self.silence(),
            "/silence/up" => self.silence_way(Way::Up),
            "/silence/down" => self.silence_way(Way::Down),
            "/cut" => self.cut(),
            "/block" => self.block(),
            "/heal" => self.heal(),
            "/delay" => {
                let order: DelayOrder = http::read_json(request.into_body()).await?;
                self.delay(Duration::from_millis(order.ms));
            }
            _ => return Ok(http::not_found()),
        }
        Ok(http::text(StatusCode::OK, "ok\n"))
    }

    fn state(&self) -> Answer {
        let condition = *self.shared.condition.borrow();
        let state = StateJson {
            accepted: *self.shared.next.borrow(),
            blocked: condition.blocked,
            delay_ms: condition.delay.as_millis(),
        };
        http::json(StatusCode::OK, &state)
    }
}

impl Handler for Link {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => http::text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/state") => self.state(),
            (&Method::POST, _) => self.order(request).await.unwrap_or_else(Refusal::answer),
            _ => http::not_found(),
        }
    }

    fn absence(&self) -> watch::Receiver<Absence> {
        self.shared.absence.subscribe()
    }
}

/// What one connection sees of the link's condition.
#[derive(Clone, Debug)]
struct Gate {
    number: Number,
    condition: watch::Receiver<Condition>,
}

impl Gate {
    /// Waits until bytes may pass, and gives their delay.
    async fn open(&mut self, way: Way) -> Duration {
        let number = self.number;
        let waited = self
            .condition
            .wait_for(|condition| condition.passes(number, way))
            .await
            .map(|condition| condition.delay);
        match waited {
            Ok(delay) => delay,
            Err(_) => std::future::pending().await,
        }
    }

    /// Waits until the connection is to be closed.
    async fn closed(&mut self) {
        let number = self.number;
        let waited = self
            .condition
            .wait_for(|condition| number < condition.cut)
            .await
            .map(drop);
        match waited {
            Ok(()) => {}
            Err(_) => std::future::pending().await,
        }
    }
}

/// A piece under way.
struct Piece {
    due: Instant,
    data: Bytes,
}

async fn pass_both(near: TcpStream, to: SocketAddr, mut gate: Gate) {
    gate.open(Way::Up).await;
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // A link adds no delay of its own to small pieces.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pass_one(near_read, far_write, gate.clone(), Way::Up),
        pass_one(far_read, near_write, gate, Way::Down),
    );
}

async fn pass_one(from: OwnedReadHalf, to: OwnedWriteHalf, gate: Gate, way: Way) {
    let (sender, receiver) = mpsc::channel(PIECE_QUEUE);
    tokio::join!(
        read_pieces(from, sender, gate.clone(), way),
        write_pieces(to, receiver, gate, way),
    );
}

async fn read_pieces(
    mut from: OwnedReadHalf,
    pieces: mpsc::Sender<Piece>,
    mut gate: Gate,
    way: Way,
) {
    let mut buf = vec![0; PIECE_BYTES];
    loop {
        let len = match from.read(&mut buf).await {
            Ok(len) if len > 0 => len,
            _ => return,
        };
        let delay = gate.open(way).await;
        let piece = Piece {
            due: Instant::now() + delay,
            data: Bytes::copy_from_slice(&buf[..len]),
        };
        if pieces.send(piece).await.is_err() {
            return;
        }
    }
}

async fn write_pieces(
    mut to: OwnedWriteHalf,
    mut pieces: mpsc::Receiver<Piece>,
    mut gate: Gate,
    way: Way,
) {
    while let Some(piece) = pieces.recv().await {
        tokio::time::sleep_until(piece.due).await;
        gate.open(way).await;
        if to.write_all(&piece.data).await.is_err() {
            return;
        }
    }
    // An end of stream is passed on like bytes.
    gate.open(way).await;
    let _ = to.shutdown().await;
}
