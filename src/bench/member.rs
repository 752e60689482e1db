//! An entry's part in the real exchange, as the harness drives it.

use std::net::{Ipv4Addr, SocketAddr};

use crate::exchange::ShareKey;
use crate::exchange::gossip;
use crate::exchange::measure::table;
use crate::exchange::node::Node;
use crate::exchange::numbering::Numbering;
use crate::ids::{BootId, EntryKey, ServiceKey};
use crate::scheduler::Scheduler;
use crate::units::Micros;

/// The one service of the harness.
const SERVICE: ServiceKey = ServiceKey(0);
/// First address of the entries.
const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
/// Port of the entries.
const PORT: u16 = 7_000;

/// A datagram's payload and its receiver.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The receiver.
    pub to: EntryKey,
    /// The encoded gossip.
    pub payload: Vec<u8>,
}

/// The exchange at one entry.
#[derive(Debug)]
pub struct Member {
    node: Node,
}

impl Member {
    /// One of so many entries, for so many accounts.
    pub fn new(now: Micros, me: EntryKey, entries: usize, accounts: usize) -> Self {
        let mut node = Node::new(address(me), Numbering::from_table(&table(accounts, 1)));
        let members: Vec<_> = (0..entries).map(|i| address(EntryKey::from(i))).collect();
        node.set_members(now, &members);
        Member { node }
    }

    /// Does what is due.
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
            to: place(o.to),
            payload: o.payload,
        };
        out.into_iter().map(datagram).collect()
    }

    /// When [`Member::tick`] has to be called.
    pub fn wake(&self) -> Micros {
        self.node.next_tick()
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, now: Micros, from: EntryKey, boot: BootId, payload: &[u8]) {
        let gossip = gossip::decode(payload).expect("the harness carries whole datagrams");
        self.node.receive(now, address(from), boot, gossip);
    }
}

fn address(entry: EntryKey) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(u32::from(FIRST) + entry.0), PORT))
}

fn place(address: SocketAddr) -> EntryKey {
    let SocketAddr::V4(v4) = address else {
        unreachable!("entries have IPv4 addresses in the harness");
    };
    EntryKey(u32::from(*v4.ip()) - u32::from(FIRST))
}
