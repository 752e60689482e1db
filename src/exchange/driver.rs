//! Drives the exchange's state machine: owns the socket and the clock, sends the datagrams of each
//! tick and passes received ones on.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::envelope::{MAX_DATAGRAM_BYTES, ReplayFilter, Sealer};
use super::gossip::{self, Gossip, GossipError};
use super::node::{DropCounts, LevelUpdate, Node, Outgoing};
use super::numbering::Numbering;
use crate::ids::{BootId, ServiceKey};
use crate::share::Report;
use crate::units::{Clock, Micros};

/// Callbacks through which the exchange reaches the schedulers, the member list and the rules.
pub trait ExchangeDelegate: Send {
    /// Returns the charges of each service since the last call, and the demand of its accounts (see
    /// [`crate::share::Share::collect`]).
    fn collect(&mut self) -> Vec<(ServiceKey, Vec<Report>)>;

    /// Applies levels received from other entries (see [`crate::share::Share::apply`]).
    fn apply(&mut self, updates: &[LevelUpdate]);

    /// Returns the live members if they changed since the last call, otherwise `None`.
    fn members(&mut self) -> Option<Vec<SocketAddr>>;

    /// Returns the numbering if the rules changed since the last call, otherwise `None`.
    fn numbering(&mut self) -> Option<Numbering>;

    /// Returns the payloads of other modules that are due to be sent, each with its destination.
    fn outgoing_opaque(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        Vec::new()
    }

    /// Handles a received payload of another module.
    ///
    /// # Errors
    /// Returns an error if the payload is malformed.
    fn receive_opaque(&mut self, from: SocketAddr, payload: &[u8]) -> Result<(), GossipError> {
        let _ = (from, payload);
        Ok(())
    }

    /// Waits until [`ExchangeDelegate::outgoing_opaque`] may have payloads. Must be cancel-safe.
    fn opaque_ready(&mut self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Datagram counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DatagramCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent, without UDP and IP headers.
    pub bytes: u64,
    /// Datagrams that could not be sent, because of their size or a socket error.
    pub unsent: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams rejected: bad envelope, replayed, or from an address that is not a member.
    pub rejected: u64,
    /// Datagrams whose payload could not be decoded.
    pub malformed: u64,
}

/// State of the exchange as shown in `/status`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ExchangeStatus {
    /// The parent in the tree; `None` at a root.
    pub parent: Option<SocketAddr>,
    /// Round period, in microseconds.
    pub period: Micros,
    /// Number of times that the parent changed or restarted.
    pub epoch: u32,
    /// Whether this entry still waits for its first levels.
    pub cold: bool,
    /// Datagram counters.
    pub counts: DatagramCounts,
    /// Authentic datagrams and rows that were discarded.
    pub dropped: DropCounts,
}

/// The exchange of one entry.
pub struct Exchange<S> {
    socket: UdpSocket,
    delegate: S,
    node: Node,
    sealer: Sealer,
    filters: HashMap<SocketAddr, ReplayFilter>,
    members: Vec<SocketAddr>,
    clock: Clock,
    counts: DatagramCounts,
    status: watch::Sender<ExchangeStatus>,
}

impl<S: ExchangeDelegate> Exchange<S> {
    /// Creates an exchange on a bound socket; `me` is the address by which other members know this
    /// entry.
    pub fn new(socket: UdpSocket, me: SocketAddr, secret: &[u8], delegate: S) -> Self {
        Exchange {
            socket,
            delegate,
            node: Node::new(me, Numbering::default()),
            sealer: Sealer::new(secret, BootId::random()),
            filters: HashMap::new(),
            members: Vec::new(),
            clock: Clock::start(),
            counts: DatagramCounts::default(),
            status: watch::Sender::default(),
        }
    }

    /// Uses the process's boot id instead of a random one.
    pub fn with_boot(mut self, secret: &[u8], boot: BootId) -> Self {
        self.sealer = Sealer::new(secret, boot);
        self
    }

    /// Publishes the status through this sender instead of its own.
    pub fn with_status_sender(mut self, status: watch::Sender<ExchangeStatus>) -> Self {
        self.status = status;
        self
    }

    /// Subscribes to the status.
    pub fn status(&self) -> watch::Receiver<ExchangeStatus> {
        self.status.subscribe()
    }

    /// Runs until `cancel` is cancelled and returns the datagram counters.
    pub async fn run(mut self, cancel: CancellationToken) -> DatagramCounts {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.refresh();
            self.tick().await;
            self.send_opaque().await;
            let wait = self.node.next_tick() - self.clock.now();
            let due = tokio::time::Instant::now() + wait.into();
            tokio::select! {
                _ = cancel.cancelled() => return self.counts,
                _ = tokio::time::sleep_until(due) => {}
                () = self.delegate.opaque_ready() => {}
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((len, from)) = received {
                        self.receive(from, &buffer[..len]);
                    }
                }
            }
        }
    }

    /// Applies changes of the rules and of the member list.
    fn refresh(&mut self) {
        let now = self.clock.now();
        if let Some(numbering) = self.delegate.numbering() {
            self.node.set_numbering(numbering);
        }
        if let Some(members) = self.delegate.members() {
            self.node.set_members(now, &members);
            self.filters.retain(|from, _| members.contains(from));
            self.members = members;
        }
    }

    async fn tick(&mut self) {
        let delegate = &mut self.delegate;
        let outgoing = self.node.tick(self.clock.now(), || delegate.collect());
        if !self.node.take_changed() {
            return;
        }
        let updates: Vec<_> = self.node.updates().collect();
        self.delegate.apply(&updates);
        for datagram in outgoing {
            self.send(datagram).await;
        }
        self.status.send_replace(ExchangeStatus {
            parent: self.node.parent(),
            period: self.node.period(),
            epoch: self.node.epoch(),
            cold: self.node.is_cold(),
            counts: self.counts,
            dropped: self.node.dropped(),
        });
    }

    async fn send_opaque(&mut self) {
        for (to, payload) in self.delegate.outgoing_opaque() {
            let payload = gossip::encode(&Gossip::Opaque(payload));
            self.send(Outgoing { to, payload }).await;
        }
    }

    async fn send(&mut self, outgoing: Outgoing) {
        let Ok(datagram) = self.sealer.seal(&outgoing.payload) else {
            self.counts.unsent += 1;
            return;
        };
        match self.socket.send_to(&datagram, outgoing.to).await {
            Ok(len) => {
                self.counts.sent += 1;
                self.counts.bytes += len as u64;
            }
            Err(_) => self.counts.unsent += 1,
        }
    }

    fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        let Ok(opened) = self.sealer.open(datagram) else {
            self.counts.rejected += 1;
            return;
        };
        if !self.members.contains(&from) {
            self.counts.rejected += 1;
            return;
        }
        let filter = self.filters.entry(from).or_default();
        if filter.accept(opened.boot, opened.seq).is_err() {
            self.counts.rejected += 1;
            return;
        }
        let Ok(gossip) = gossip::decode(opened.payload) else {
            self.counts.malformed += 1;
            return;
        };
        if let Gossip::Opaque(payload) = &gossip
            && self.delegate.receive_opaque(from, payload).is_err()
        {
            self.counts.malformed += 1;
            return;
        }
        self.counts.received += 1;
        self.node
            .receive(self.clock.now(), from, opened.boot, gossip);
    }
}
