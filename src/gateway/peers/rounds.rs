//! The messages of a gossip round: which gateways get one, and what it reports.
//!
//! Performs no I/O.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use crate::gateway::peers::Peers;
use crate::gateway::peers::member::Scope;
use crate::gateway::peers::totals::Totals;
use crate::gateway::peers::wire::GossipMessage;
use crate::units::Micros;

/// One round in this many is full: its messages also carry the usage of client accounts, crashes
/// and introductions, and it is the one in which zones report to each other.
pub const FULL_EVERY: u64 = 2;
/// One round in this many tries a seed from which nothing is heard, while others are.
const SEED_EVERY: u64 = 20;

/// A message and the gateways that get it.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The message.
    pub message: GossipMessage,
    /// Its receivers.
    pub to: SmallVec<[SocketAddr; 16]>,
}

/// What a gateway causes itself, and the parts of its messages that are the same for all receivers.
#[derive(Debug)]
pub struct RoundInput<'a> {
    /// Number of the round.
    pub round: u64,
    /// Load and usage that this gateway causes.
    pub own: &'a Totals,
    /// Message with the gateway's introduction, status and crashes.
    pub base: GossipMessage,
}

/// Whether a round is full.
pub fn is_full(round: u64) -> bool {
    round.is_multiple_of(FULL_EVERY)
}

/// Composes the messages of a round.
pub fn compose(peers: &mut Peers, now: Micros, input: &RoundInput<'_>) -> Vec<Outgoing> {
    peers.expire(now);
    let mut base = input.base.clone();
    let full = is_full(input.round);
    if full {
        base = base.with_introductions(now, peers.introductions(now));
    }
    let report = own_report(peers, now, input, &base);
    for &to in &report.to {
        peers.record_sent(now, to);
    }
    let mut outgoing = vec![report];
    if peers.is_small_fleet() {
        // All have got the report.
    } else if peers.rank(now) == 0 {
        aggregate(peers, now, input, &base, &mut outgoing);
    } else if full {
        let reporters = peers.reporters(now);
        outgoing.push(sign_of_life(&base, reporters.map(|member| member.addr)));
    }
    outgoing.retain(|outgoing| !outgoing.to.is_empty());
    outgoing
}

/// The report on this gateway alone, for the aggregators of its zone or, in a small fleet, for all,
/// and for seeds and gateways of its zone from which nothing is heard.
fn own_report(
    peers: &Peers,
    now: Micros,
    input: &RoundInput<'_>,
    base: &GossipMessage,
) -> Outgoing {
    let mut to: SmallVec<[SocketAddr; 16]> = match peers.is_small_fleet() {
        true => peers.addresses().collect(),
        false => peers.aggregators(now).into_iter().collect(),
    };
    let lost = peers.lost_neighbours(now).into_iter();
    to.extend(
        lost.filter(|addr| !to.contains(addr))
            .collect::<SmallVec<[SocketAddr; 4]>>(),
    );
    let seeds = peers.silent_seeds(now).filter(|seed| !to.contains(seed));
    if !peers.any_alive(now) {
        to.extend(seeds.collect::<SmallVec<[SocketAddr; 4]>>());
    } else if input.round.is_multiple_of(SEED_EVERY) {
        let seed = seeds.choose(&mut rand::rng());
        to.extend(seed);
    }
    let message = base
        .clone()
        .with_totals(now, Scope::Sender, input.own, is_full(input.round));
    Outgoing { message, to }
}

/// Adds the messages of an active aggregator: to each gateway of its zone what all others cause,
/// and to the aggregators of the other zones what its zone causes.
fn aggregate(
    peers: &Peers,
    now: Micros,
    input: &RoundInput<'_>,
    base: &GossipMessage,
    outgoing: &mut Vec<Outgoing>,
) {
    let full = is_full(input.round);
    let zone = peers.zone_totals(now, input.own);
    let mut fleet = peers.remote_totals(now);
    fleet.add(&zone);
    let (local, remote): (Vec<_>, Vec<_>) = peers
        .reporters(now)
        .partition(|member| member.zone == peers.me().zone);
    for member in local {
        let mut others = fleet.clone();
        if let Some(own) = peers.own_totals(now, member.addr) {
            others.subtract(own);
        }
        let message = base.clone().with_totals(now, Scope::Others, &others, full);
        let to = [member.addr].into_iter().collect();
        outgoing.push(Outgoing { message, to });
    }
    if full {
        outgoing.push(sign_of_life(base, remote.iter().map(|member| member.addr)));
    }
    let message = base.clone().with_totals(now, Scope::Zone, &zone, full);
    let to = peers.remote_aggregators(now);
    outgoing.push(Outgoing { message, to });
}

fn sign_of_life(base: &GossipMessage, to: impl Iterator<Item = SocketAddr>) -> Outgoing {
    Outgoing {
        message: base.clone(),
        to: to.collect(),
    }
}

#[cfg(test)]
mod tests;
