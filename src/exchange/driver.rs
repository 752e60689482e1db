//! The exchange's socket and clock: ticks the pure core, sends its datagrams, feeds it received
//! ones.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::envelope::{MAX_DATAGRAM_BYTES, Newest, Sealer};
use super::gossip::{self, Gossip, GossipError};
use super::node::{Dropped, LevelUpdate, Node, Outgoing};
use super::numbering::Numbering;
use crate::ids::{BootId, ServiceKey};
use crate::share::Report;
use crate::units::{Clock, Micros};

/// What the exchange needs of the schedulers.
pub trait ExchangeDelegate: Send {
    /// What each service charged since the last call, and who waits (see
    /// [`crate::share::Share::collect`]).
    fn collect(&mut self) -> Vec<(ServiceKey, Vec<Report>)>;

    /// Takes over levels (see [`crate::share::Share::apply`]).
    fn apply(&mut self, updates: &[LevelUpdate]);

    /// The live members, when they changed since the last call.
    fn members(&mut self) -> Option<Vec<SocketAddr>>;

    /// The numbering, when the rules changed since the last call.
    fn numbering(&mut self) -> Option<Numbering>;

    /// Payloads of other modules that are to be sent now, each with its receiver.
    fn outgoing_opaque(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        Vec::new()
    }

    /// Takes another module's payload in.
    ///
    /// # Errors
    /// When it is malformed.
    fn receive_opaque(&mut self, from: SocketAddr, payload: &[u8]) -> Result<(), GossipError> {
        let _ = (from, payload);
        Ok(())
    }

    /// Waits until [`ExchangeDelegate::outgoing_opaque`] may give something. May be cancelled.
    fn opaque_ready(&mut self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Counts of the exchange since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DatagramCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent, without UDP and IP headers.
    pub bytes: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
    /// Datagrams taken in.
    pub received: u64,
    /// Datagrams dropped because of their envelope.
    pub rejected: u64,
    /// Datagrams dropped because of their payload.
    pub malformed: u64,
}

/// What an operator may ask of the exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ExchangeStatus {
    /// The parent in the tree; `None` at a root.
    pub parent: Option<SocketAddr>,
    /// Time between rounds, in microseconds.
    pub period: Micros,
    /// Changes of parent, or of the parent's run, so far.
    pub epoch: u32,
    /// Whether it still waits for levels.
    pub cold: bool,
    /// Datagrams.
    pub counts: DatagramCounts,
    /// Datagrams and rows that were authentic and not used.
    pub dropped: Dropped,
}

/// The exchange of one entry.
pub struct Exchange<S> {
    socket: UdpSocket,
    schedulers: S,
    node: Node,
    sealer: Sealer,
    newest: HashMap<SocketAddr, Newest>,
    members: Vec<SocketAddr>,
    clock: Clock,
    counts: DatagramCounts,
    status: watch::Sender<ExchangeStatus>,
}

impl<S: ExchangeDelegate> Exchange<S> {
    /// An exchange on a bound socket, known to the other members as `me`.
    pub fn new(socket: UdpSocket, me: SocketAddr, secret: &[u8], schedulers: S) -> Self {
        Exchange {
            socket,
            schedulers,
            node: Node::new(me, Numbering::default()),
            sealer: Sealer::new(secret, BootId::random()),
            newest: HashMap::new(),
            members: Vec::new(),
            clock: Clock::start(),
            counts: DatagramCounts::default(),
            status: watch::Sender::default(),
        }
    }

    /// Uses the boot id of the process in place of a random one.
    pub fn with_boot(mut self, secret: &[u8], boot: BootId) -> Self {
        self.sealer = Sealer::new(secret, boot);
        self
    }

    /// Tells its status through this sender in place of its own.
    pub fn with_status_sender(mut self, status: watch::Sender<ExchangeStatus>) -> Self {
        self.status = status;
        self
    }

    /// Follows the status while the exchange runs.
    pub fn status(&self) -> watch::Receiver<ExchangeStatus> {
        self.status.subscribe()
    }

    /// Runs until cancelled; returns the counts.
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
                () = self.schedulers.opaque_ready() => {}
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((len, from)) = received {
                        self.take(from, &buffer[..len]);
                    }
                }
            }
        }
    }

    /// Takes over changes of rules and members.
    fn refresh(&mut self) {
        let now = self.clock.now();
        if let Some(names) = self.schedulers.numbering() {
            self.node.set_numbering(names);
        }
        if let Some(members) = self.schedulers.members() {
            self.node.set_members(now, &members);
            self.newest.retain(|from, _| members.contains(from));
            self.members = members;
        }
    }

    async fn tick(&mut self) {
        let schedulers = &mut self.schedulers;
        let outgoing = self.node.tick(self.clock.now(), || schedulers.collect());
        if !self.node.take_changed() {
            return;
        }
        let updates: Vec<_> = self.node.updates().collect();
        self.schedulers.apply(&updates);
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
        for (to, payload) in self.schedulers.outgoing_opaque() {
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

    fn take(&mut self, from: SocketAddr, datagram: &[u8]) {
        let Ok(opened) = self.sealer.open(datagram) else {
            self.counts.rejected += 1;
            return;
        };
        if !self.members.contains(&from) {
            self.counts.rejected += 1;
            return;
        }
        let newest = self.newest.entry(from).or_default();
        if newest.take(opened.boot, opened.seq).is_err() {
            self.counts.rejected += 1;
            return;
        }
        let Ok(gossip) = gossip::decode(opened.payload) else {
            self.counts.malformed += 1;
            return;
        };
        if let Gossip::Opaque(payload) = &gossip
            && self.schedulers.receive_opaque(from, payload).is_err()
        {
            self.counts.malformed += 1;
            return;
        }
        self.counts.received += 1;
        self.node
            .receive(self.clock.now(), from, opened.boot, gossip);
    }
}
