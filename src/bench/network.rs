//! Simulated network: message delays and partitions between nodes.

use std::collections::HashMap;

use crate::ids::{AgentKey, EntryKey};
use crate::units::Micros;

use super::policy::Node;
use super::simulation::{DETECTION_DELAY, Layout};

/// One-way delay within an availability zone.
const ZONE_DELAY: Micros = Micros(250);
/// One-way delay between availability zones.
const CROSS_DELAY: Micros = Micros(1_500);

/// Availability zone of each node.
#[derive(Clone, Debug)]
pub struct Placement {
    entries: Vec<usize>,
    agents: Vec<usize>,
}

impl Placement {
    /// Assigns entries and agents to the zones round robin.
    pub fn spread(layout: &Layout) -> Self {
        Placement {
            entries: (0..layout.entries).map(|i| i % layout.zones).collect(),
            agents: (0..layout.agents).map(|i| i % layout.zones).collect(),
        }
    }

    fn zone(&self, node: Node) -> usize {
        match node {
            Node::Entry(EntryKey(e)) => self.entries[e as usize],
            Node::Agent(AgentKey(a)) => self.agents[a as usize],
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    is_down: bool,
    epoch: u64,
}

/// State of the link between each pair of nodes.
///
/// Each cut and each heal of a link starts a new epoch. A message is delivered only if the
/// epoch in which it was sent is still current.
#[derive(Debug)]
pub struct Network {
    placement: Placement,
    pairs: HashMap<(Node, Node), Link>,
    removed_at: HashMap<EntryKey, Micros>,
}

impl Network {
    /// Creates a network in which all links are up.
    pub fn new(placement: Placement) -> Self {
        Network {
            placement,
            pairs: HashMap::new(),
            removed_at: HashMap::new(),
        }
    }

    /// One-way delay, and the epoch of a message sent now. On a cut link the epoch is `u64::MAX`,
    /// so the message is never delivered.
    pub fn delay_and_epoch(&self, from: Node, to: Node) -> (Micros, u64) {
        let same_zone = self.placement.zone(from) == self.placement.zone(to);
        let delay = if same_zone { ZONE_DELAY } else { CROSS_DELAY };
        let link = self.link(from, to);
        let epoch = if link.is_down { u64::MAX } else { link.epoch };
        (delay, epoch)
    }

    /// Whether the epoch is current, so that a message sent in it is still delivered.
    pub fn is_current(&self, from: Node, to: Node, epoch: u64) -> bool {
        self.link(from, to).epoch == epoch
    }

    /// Current epoch of the link.
    pub fn epoch(&self, a: Node, b: Node) -> u64 {
        self.link(a, b).epoch
    }

    /// Cuts the link and drops messages in transit. Returns the new epoch.
    pub fn cut(&mut self, a: Node, b: Node) -> u64 {
        let link = self.pairs.entry(ordered(a, b)).or_default();
        link.is_down = true;
        link.epoch += 1;
        link.epoch
    }

    /// Ends a cut. The link between an entry and an agent stays down until [`Network::connect`].
    pub fn heal(&mut self, a: Node, b: Node) {
        let link = self.pairs.entry(ordered(a, b)).or_default();
        if matches!((a, b), (Node::Entry(_), Node::Entry(_))) {
            link.is_down = false;
        }
        link.epoch += 1;
    }

    /// Brings up the link between an entry and an agent.
    pub fn connect(&mut self, e: EntryKey, a: AgentKey) {
        let link = self
            .pairs
            .entry(ordered(Node::Entry(e), Node::Agent(a)))
            .or_default();
        link.is_down = false;
    }

    /// Marks the entry as down. The load balancer removes it after [`DETECTION_DELAY`].
    pub fn mark_entry_down(&mut self, entry: EntryKey, now: Micros) {
        self.removed_at.insert(entry, now + DETECTION_DELAY);
    }

    /// Returns the entry to the load balancer's rotation.
    pub fn mark_entry_up(&mut self, entry: EntryKey) {
        self.removed_at.remove(&entry);
    }

    /// Whether the load balancer still sends requests to the entry.
    pub fn in_rotation(&self, entry: usize, now: Micros) -> bool {
        self.removed_at
            .get(&EntryKey::from(entry))
            .is_none_or(|&removal| now < removal)
    }

    fn link(&self, a: Node, b: Node) -> Link {
        self.pairs.get(&ordered(a, b)).copied().unwrap_or_default()
    }
}

fn ordered(a: Node, b: Node) -> (Node, Node) {
    if a <= b { (a, b) } else { (b, a) }
}
