//! The other gateways: who they are, and what they told.
//!
//! A gateway learns of others from its settings and from what others tell. It talks to a bounded
//! number of them, so that neither state nor messages grow with the fleet.

pub mod handover;
pub mod service;
pub mod wire;

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use crate::gateway::targets::TargetTag;
use crate::units::Micros;

/// Most gateways that are known.
const MAX_PEERS: usize = 64;
/// Gateways that are told in each round.
const FANOUT: usize = 4;
/// Others that a message names.
const NAMED: usize = 4;
/// A gateway that was not heard for this long is no longer told.
const PEER_LIFE: Micros = Micros::from_secs(10);
/// What a gateway told of its load holds this long.
const LOAD_LIFE: Micros = Micros::from_ms(1_200);

/// A gateway's requests at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that are with the target.
    pub active: u32,
    /// Prompt tokens of these that the target has to read before their first event.
    pub prefill_tokens: u64,
}

/// What a gateway told last.
#[derive(Clone, Debug)]
struct Peer {
    heard: Micros,
    /// The version of its configuration.
    version: u64,
    /// Whether it reads the platform's lists itself.
    reads_directory: bool,
    load: HashMap<TargetTag, TargetLoad>,
}

/// The gateways that are known.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<SocketAddr, Peer>,
    seeds: SmallVec<[SocketAddr; 4]>,
}

/// What a gateway tells in a round.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// The version of its configuration.
    pub version: u64,
    /// Whether it reads the platform's lists itself.
    pub reads_directory: bool,
    /// Its requests by target.
    pub load: HashMap<TargetTag, TargetLoad>,
}

impl Peers {
    /// Knows only the addresses at which gateways may be; `me` is not among them.
    pub fn new(seeds: impl Iterator<Item = SocketAddr>, me: SocketAddr) -> Self {
        Peers {
            known: HashMap::new(),
            seeds: seeds.filter(|&seed| seed != me).collect(),
        }
    }

    /// A gateway told something.
    pub fn update(&mut self, now: Micros, from: SocketAddr, told: PeerState) {
        if self.known.len() >= MAX_PEERS && !self.known.contains_key(&from) {
            return;
        }
        let peer = Peer {
            heard: now,
            version: told.version,
            reads_directory: told.reads_directory,
            load: told.load,
        };
        self.known.insert(from, peer);
    }

    /// A gateway named another.
    pub fn add_candidate(&mut self, other: SocketAddr, me: SocketAddr) {
        let new = other != me && !self.known.contains_key(&other);
        let room = self.seeds.len() < self.seeds.inline_size() + NAMED;
        if new && room && !self.seeds.contains(&other) {
            self.seeds.push(other);
        }
    }

    /// Forgets gateways that were not heard for long.
    pub fn expire(&mut self, now: Micros) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.heard) < PEER_LIFE);
    }

    /// Whom to tell in this round. Addresses that have not answered yet are tried too.
    pub fn recipients(&self) -> SmallVec<[SocketAddr; 8]> {
        let mut rng = rand::rng();
        let known = self.known.keys().copied();
        let mut round: SmallVec<[SocketAddr; 8]> = known
            .choose_multiple(&mut rng, FANOUT)
            .into_iter()
            .collect();
        let unheard = self.seeds.iter().filter(|s| !self.known.contains_key(s));
        round.extend(unheard.copied().choose(&mut rng));
        round
    }

    /// Gateways to name to others.
    pub fn sample(&self) -> Vec<SocketAddr> {
        let mut rng = rand::rng();
        self.known.keys().copied().choose_multiple(&mut rng, NAMED)
    }

    /// A gateway to take the list of targets from: one that reads the platform's lists itself. A
    /// process that knows no target takes what any other one has, if that has a configuration.
    pub fn list_source(&self, knows_none: bool) -> Option<SocketAddr> {
        let fits = |peer: &Peer| peer.reads_directory || knows_none && peer.version > 0;
        let fit = self.known.iter().filter(|(_, peer)| fits(peer));
        fit.max_by_key(|(_, peer)| (peer.reads_directory, peer.heard))
            .map(|(&at, _)| at)
    }

    /// A gateway with a newer configuration than `version`.
    pub fn with_newer_config(&self, version: u64) -> Option<SocketAddr> {
        let newest = self.known.iter().max_by_key(|(_, peer)| peer.version)?;
        (newest.1.version > version).then_some(*newest.0)
    }

    /// What all others together have at their targets.
    pub fn total_load(&self, now: Micros) -> HashMap<TargetTag, TargetLoad> {
        let mut total: HashMap<TargetTag, TargetLoad> = HashMap::new();
        let fresh = |peer: &&Peer| now.saturating_sub(peer.heard) < LOAD_LIFE;
        for (&tag, held) in self.known.values().filter(fresh).flat_map(|p| &p.load) {
            let sum = total.entry(tag).or_default();
            sum.active += held.active;
            sum.prefill_tokens += held.prefill_tokens;
        }
        total
    }

    /// Whether any gateway was heard of late.
    pub fn has_recent(&self, now: Micros) -> bool {
        let fresh = |peer: &Peer| now.saturating_sub(peer.heard) < LOAD_LIFE;
        self.known.values().any(fresh)
    }
}

#[cfg(test)]
mod tests;
