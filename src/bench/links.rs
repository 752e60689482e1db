//! Delays and cuts between processes.

use std::collections::HashMap;

use crate::ids::{AgentKey, EntryKey};
use crate::units::Micros;

use super::policy::Node;
use super::world::{DETECT, Layout};

/// One way within an availability zone.
const ZONE_DELAY: Micros = Micros(250);
/// One way between availability zones.
const CROSS_DELAY: Micros = Micros(1_500);

/// Availability zones of all processes.
#[derive(Clone, Debug)]
pub struct Site {
    entries: Vec<usize>,
    agents: Vec<usize>,
}

impl Site {
    /// Spreads entries and agents over the zones in turn.
    pub fn spread(layout: &Layout) -> Self {
        Site {
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
    down: bool,
    epoch: u64,
}

/// The state of every pair of processes.
#[derive(Debug)]
pub struct Links {
    site: Site,
    pairs: HashMap<(Node, Node), Link>,
    lost: HashMap<EntryKey, Micros>,
}

impl Links {
    /// All pairs reach each other.
    pub fn new(site: Site) -> Self {
        Links {
            site,
            pairs: HashMap::new(),
            lost: HashMap::new(),
        }
    }

    /// Delay one way, and the epoch that a message belongs to.
    pub fn way(&self, from: Node, to: Node) -> (Micros, u64) {
        let near = self.site.zone(from) == self.site.zone(to);
        let delay = if near { ZONE_DELAY } else { CROSS_DELAY };
        let link = self.link(from, to);
        let epoch = if link.down { u64::MAX } else { link.epoch };
        (delay, epoch)
    }

    /// Whether a message of this epoch still arrives.
    pub fn stands(&self, from: Node, to: Node, epoch: u64) -> bool {
        self.link(from, to).epoch == epoch
    }

    /// The pair's epoch.
    pub fn epoch(&self, a: Node, b: Node) -> u64 {
        self.link(a, b).epoch
    }

    /// Cuts the pair; what is under way is lost. Returns the new epoch.
    pub fn cut(&mut self, a: Node, b: Node) -> u64 {
        let link = self.pairs.entry(ordered(a, b)).or_default();
        link.down = true;
        link.epoch += 1;
        link.epoch
    }

    /// Ends a cut. A pair of entry and agent reaches each other again once connected.
    pub fn heal(&mut self, a: Node, b: Node) {
        let link = self.pairs.entry(ordered(a, b)).or_default();
        if matches!((a, b), (Node::Entry(_), Node::Entry(_))) {
            link.down = false;
        }
        link.epoch += 1;
    }

    /// The pair has a connection.
    pub fn connect(&mut self, e: EntryKey, a: AgentKey) {
        let link = self
            .pairs
            .entry(ordered(Node::Entry(e), Node::Agent(a)))
            .or_default();
        link.down = false;
    }

    /// The entry is lost; the balancer knows after [`DETECT`].
    pub fn lose_entry(&mut self, entry: EntryKey, now: Micros) {
        self.lost.insert(entry, now + DETECT);
    }

    /// The entry runs again.
    pub fn find_entry(&mut self, entry: EntryKey) {
        self.lost.remove(&entry);
    }

    /// Whether the balancer takes the entry to run.
    pub fn known_up(&self, entry: usize, now: Micros) -> bool {
        self.lost
            .get(&EntryKey::from(entry))
            .is_none_or(|&known| now < known)
    }

    fn link(&self, a: Node, b: Node) -> Link {
        self.pairs.get(&ordered(a, b)).copied().unwrap_or_default()
    }
}

fn ordered(a: Node, b: Node) -> (Node, Node) {
    if a <= b { (a, b) } else { (b, a) }
}
