//! Adapter that runs the real exchange for one simulated entry.

use std::net::{Ipv4Addr, SocketAddr};

use crate::exchange::ShareKey;
use crate::exchange::gossip;
use crate::exchange::measure::table;
use crate::exchange::node::Node;
use crate::exchange::numbering::Numbering;
use crate::ids::{BootId, EntryKey, ServiceKey};
use crate::scheduler::Scheduler;
use crate::units::Micros;

/// The only service in the simulation.
const SERVICE: ServiceKey = ServiceKey(0);
/// Address of the first entry; the others follow in order.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
/// Port of all entries.
const PORT: u16 = 7_000;

/// An outgoing datagram.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The receiver.
    pub to: EntryKey,
    /// The encoded gossip.
    pub payload: Vec<u8>,
}

/// One entry as a member of the exchange.
#[derive(Debug)]
pub struct Member {
    node: Node,
}

impl Member {
    /// Creates the member for entry `me` in a fleet with this many entries and accounts.
    pub fn new(now: Micros, me: EntryKey, entries: usize, accounts: usize) -> Self {
        let mut node = Node::new(address(me), Numbering::from_table(&table(accounts, 1)));
        let members: Vec<_> = (0..entries).map(|i| address(EntryKey::from(i))).collect();
        node.set_members(now, &members);
        Member { node }
    }

    /// Runs the exchange: reports the scheduler's usage, applies the usage received from other
    /// entries to the scheduler, and returns the datagrams to send.
    pub fn tick(&mut self, now: Micros, scheduler: &mut Scheduler) -> Vec<Datagram> {
        scheduler.set_members(self.node.member_count());
        let out = self.node.tick(now, || vec![(SERVICE, scheduler.collect())]);
        if self.node.take_changed() {
            for update in self.node.updates() {
                let ShareKey { account, .. } = update.key;
                scheduler.apply(account, update.usage);
            }
        }
        let datagram = |o: crate::exchange::node::Outgoing| Datagram {
            to: entry_at(o.to),
            payload: o.payload,
        };
        out.into_iter().map(datagram).collect()
    }

    /// Time at which [`Member::tick`] has to be called next.
    pub fn next_tick(&self) -> Micros {
        self.node.next_tick()
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, now: Micros, from: EntryKey, boot: BootId, payload: &[u8]) {
        let gossip = gossip::decode(payload).expect("the simulation delivers datagrams unchanged");
        self.node.receive(now, address(from), boot, gossip);
    }
}

fn address(entry: EntryKey) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(u32::from(FIRST_ADDRESS) + entry.0), PORT))
}

fn entry_at(address: SocketAddr) -> EntryKey {
    let SocketAddr::V4(v4) = address else {
        unreachable!("entries have IPv4 addresses in the simulation");
    };
    EntryKey(u32::from(*v4.ip()) - u32::from(FIRST_ADDRESS))
}
