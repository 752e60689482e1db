//! Gossip between gateways: the known peers and their last reported state.
//!
//! Each gateway reports its load per target, whether it can read the lists of the platform (the
//! operator's infrastructure service), and the version of its configuration.
//!
//! A gateway learns of peers from its settings and from the messages of other peers. It talks to a
//! bounded number of them, so that neither its state nor its messages grow with the fleet.

pub mod handover;
pub mod service;
pub mod wire;

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use crate::gateway::targets::TargetTag;
use crate::units::Micros;

/// Maximum number of peers that are tracked.
const MAX_PEERS: usize = 64;
/// Number of known peers that a message is sent to in each gossip round.
const FANOUT: usize = 4;
/// Maximum number of peer addresses in a message.
const SAMPLE_SIZE: usize = 4;
/// Time without a message after which a peer is removed.
const PEER_TTL: Micros = Micros::from_secs(10);
/// How long the reported load of a peer is used.
const LOAD_TTL: Micros = Micros::from_ms(1_200);

/// The part of a target's load that one gateway causes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of requests in flight at the target.
    pub active: u32,
    /// Prompt tokens of these requests that the target must process before their first event.
    pub prefill_tokens: u64,
}

/// The last reported state of a peer.
#[derive(Clone, Debug)]
struct Peer {
    heard_at: Micros,
    /// Version of its configuration.
    version: u64,
    /// Whether it can read the platform's lists.
    reads_directory: bool,
    load: HashMap<TargetTag, TargetLoad>,
}

/// The known peers, and the addresses at which others may be.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<SocketAddr, Peer>,
    seeds: SmallVec<[SocketAddr; 4]>,
}

/// The state that a gateway reports in a gossip message.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// Version of its configuration.
    pub version: u64,
    /// Whether it can read the platform's lists.
    pub reads_directory: bool,
    /// Its load by target.
    pub load: HashMap<TargetTag, TargetLoad>,
}

impl Peers {
    /// Starts with the seed addresses, except this gateway's own address `me`.
    pub fn new(seeds: impl Iterator<Item = SocketAddr>, me: SocketAddr) -> Self {
        Peers {
            known: HashMap::new(),
            seeds: seeds.filter(|&seed| seed != me).collect(),
        }
    }

    /// Stores the state that a peer reported. Ignores new peers beyond `MAX_PEERS`.
    pub fn update(&mut self, now: Micros, from: SocketAddr, state: PeerState) {
        if self.known.len() >= MAX_PEERS && !self.known.contains_key(&from) {
            return;
        }
        let peer = Peer {
            heard_at: now,
            version: state.version,
            reads_directory: state.reads_directory,
            load: state.load,
        };
        self.known.insert(from, peer);
    }

    /// Adds an address that a peer passed on, unless it is known or there are too many.
    pub fn add_candidate(&mut self, other: SocketAddr, me: SocketAddr) {
        let new = other != me && !self.known.contains_key(&other);
        let room = self.seeds.len() < self.seeds.inline_size() + SAMPLE_SIZE;
        if new && room && !self.seeds.contains(&other) {
            self.seeds.push(other);
        }
    }

    /// Removes the peers that have been silent for longer than `PEER_TTL`.
    pub fn expire(&mut self, now: Micros) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.heard_at) < PEER_TTL);
    }

    /// Chooses the addresses to send to in this round: random known peers, and one seed that has
    /// not answered yet.
    pub fn recipients(&self) -> SmallVec<[SocketAddr; 8]> {
        let mut rng = rand::rng();
        let known = self.known.keys().copied();
        let mut round: SmallVec<[SocketAddr; 8]> = known
            .choose_multiple(&mut rng, FANOUT)
            .into_iter()
            .collect();
        let silent_seeds = self.seeds.iter().filter(|s| !self.known.contains_key(s));
        round.extend(silent_seeds.copied().choose(&mut rng));
        round
    }

    /// Chooses random peer addresses to pass on in a message.
    pub fn sample(&self) -> Vec<SocketAddr> {
        let mut rng = rand::rng();
        self.known
            .keys()
            .copied()
            .choose_multiple(&mut rng, SAMPLE_SIZE)
    }

    /// Chooses a peer to fetch the list of targets from: one that can read the platform's lists. A
    /// process without targets (`has_none`) accepts any peer that has a configuration. `None` if
    /// there is no such peer.
    pub fn list_source(&self, has_none: bool) -> Option<SocketAddr> {
        let is_eligible = |peer: &Peer| peer.reads_directory || has_none && peer.version > 0;
        let eligible = self.known.iter().filter(|(_, peer)| is_eligible(peer));
        eligible
            .max_by_key(|(_, peer)| (peer.reads_directory, peer.heard_at))
            .map(|(&at, _)| at)
    }

    /// The peer with the newest configuration; `None` if that is not newer than `version`.
    pub fn newer_config_peer(&self, version: u64) -> Option<SocketAddr> {
        let newest = self.known.iter().max_by_key(|(_, peer)| peer.version)?;
        (newest.1.version > version).then_some(*newest.0)
    }

    /// The total load of all peers by target, from reports newer than `LOAD_TTL`.
    pub fn total_load(&self, now: Micros) -> HashMap<TargetTag, TargetLoad> {
        let mut total: HashMap<TargetTag, TargetLoad> = HashMap::new();
        let fresh = |peer: &&Peer| now.saturating_sub(peer.heard_at) < LOAD_TTL;
        for (&tag, load) in self.known.values().filter(fresh).flat_map(|p| &p.load) {
            let sum = total.entry(tag).or_default();
            sum.active += load.active;
            sum.prefill_tokens += load.prefill_tokens;
        }
        total
    }

    /// Whether any peer's report is newer than `LOAD_TTL`.
    pub fn has_recent(&self, now: Micros) -> bool {
        let fresh = |peer: &Peer| now.saturating_sub(peer.heard_at) < LOAD_TTL;
        self.known.values().any(fresh)
    }
}

#[cfg(test)]
mod tests;
