//! The other gateways (router processes that send client requests directly to targets), and what
//! they report.
//!
//! In each availability zone, the gateways with the most processor time aggregate: the others of
//! the zone report to them, and hear from them what all gateways together cause. The first one is
//! active; the second one stands by and takes over when it no longer hears the first. Between
//! zones, only aggregators talk. So the messages of a gateway that does not aggregate are few,
//! however large the fleet is. A fleet of a few gateways needs no aggregators: all report to all,
//! which is faster.
//!
//! There is no election. Each gateway ranks the gateways of its zone by what it has heard. While
//! two of them differ, two gateways may be active at once, which does no harm: reports replace
//! each other, and a gateway uses the newest one.
//!
//! Performs no I/O.

pub mod handover;
pub mod member;
mod peer;
pub mod roster;
pub mod rounds;
pub mod service;
pub mod totals;
pub mod wire;
pub mod wire_crashes;
pub mod wire_position;
pub mod wire_streams;
pub mod wire_targets;

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use rustc_hash::FxBuildHasher;
use smallvec::SmallVec;

use crate::gateway::peers::member::{CopyStatus, Member, Scope, ZoneTag};
use crate::gateway::peers::peer::{ALIVE_TTL, Peer, Report, fresh};
use crate::gateway::peers::totals::Totals;
use crate::units::Micros;

/// Maximum number of gateways that are tracked.
const MAX_PEERS: usize = 1_024;
/// Number of gateways of a zone that aggregate: the active one and the one that stands by.
pub const AGGREGATORS: usize = 2;
/// Number of gateways up to which all report to all.
const SMALL_FLEET: usize = 8;
/// Time without a sign of life after which a gateway is forgotten.
const PEER_TTL: Micros = Micros::from_secs(60);
/// How long a gateway that does not answer is left out, though others hear it.
const EXCLUSION_TIME: Micros = Micros::from_secs(3);
/// Number of gateways to try at once while nothing is heard from them.
const LOST_TRIES: usize = 3;
/// Number of gateways that a gateway introduces besides the first ones of each zone.
const RANDOM_INTRODUCTIONS: usize = 6;
/// Number of seed addresses that are kept.
const MAX_SEEDS: usize = 8;

/// The known gateways, and the addresses at which others may be.
#[derive(Debug)]
pub struct Peers {
    me: Member,
    known: HashMap<SocketAddr, Peer, FxBuildHasher>,
    seeds: SmallVec<[SocketAddr; 4]>,
}

impl Peers {
    /// Starts as the gateway `me` with the seed addresses, leaving out its own.
    pub fn new(me: Member, seeds: impl Iterator<Item = SocketAddr>) -> Self {
        let seeds = seeds.filter(|&seed| seed != me.addr);
        Peers {
            me,
            known: HashMap::default(),
            seeds: seeds.take(MAX_SEEDS).collect(),
        }
    }

    /// This gateway, as it introduces itself.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Records a message from a gateway.
    pub fn record_message(&mut self, now: Micros, from: Member, status: CopyStatus) {
        let Some(peer) = self.peer_mut(from) else {
            return;
        };
        peer.member = from;
        peer.heard_at = Some(now);
        peer.unanswered = None;
        peer.excluded_until = Micros::ZERO;
        peer.reports = false;
        peer.status = status;
    }

    /// Records the report of a message. Has to follow [`Peers::record_message`].
    pub fn record_report(
        &mut self,
        now: Micros,
        from: SocketAddr,
        scope: Scope,
        mut totals: Totals,
        has_usage: bool,
    ) {
        let my_zone = self.me.zone;
        let expects_answer = self.expects_answer(now, from, scope);
        let Some(peer) = self.known.get_mut(&from) else {
            return;
        };
        peer.reports = expects_answer;
        let local = peer.member.zone == my_zone;
        let slot = match scope {
            Scope::Sender => &mut peer.own,
            Scope::Zone if !local => &mut peer.zone,
            Scope::Others if local => &mut peer.others,
            _ => return,
        };
        if let (false, Some(last)) = (has_usage, slot.take()) {
            totals.usage = last.totals.usage;
        }
        *slot = Some(Report {
            received: now,
            totals,
        });
    }

    /// Records that another gateway heard `member` at `heard_at`.
    pub fn record_heard_elsewhere(&mut self, member: Member, heard_at: Micros) {
        if member.addr == self.me.addr {
            return;
        }
        if let Some(peer) = self.peer_mut(member) {
            peer.heard_elsewhere = peer.heard_elsewhere.max(heard_at);
        }
    }

    /// Records that this gateway has sent a message to `to` that is to be answered.
    pub fn record_sent(&mut self, now: Micros, to: SocketAddr) {
        let Some(peer) = self.known.get_mut(&to) else {
            return;
        };
        let since = *peer.unanswered.get_or_insert(now);
        if now.saturating_sub(since) >= ALIVE_TTL {
            peer.excluded_until = now + EXCLUSION_TIME;
            peer.unanswered = None;
        }
    }

    /// Forgets the gateways that have been silent for long.
    pub fn expire(&mut self, now: Micros) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.last_sign()) < PEER_TTL);
    }

    /// Whether the fleet is so small that all gateways report to all.
    pub fn is_small_fleet(&self) -> bool {
        self.known.len() < SMALL_FLEET
    }

    /// All known gateways.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.known.keys().copied()
    }

    /// All known gateways, with the times of their last signs of life.
    pub fn signs(&self) -> impl Iterator<Item = (Member, Micros)> + '_ {
        self.known
            .values()
            .map(|peer| (peer.member, peer.last_sign()))
    }

    /// Addresses at which gateways are to be expected.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// What all other gateways cause together, from their reports on themselves.
    pub fn direct_totals(&self, now: Micros) -> Totals {
        let reports = self.known.values().map(|peer| peer.own.as_ref());
        sum_of(reports.filter_map(|report| fresh(report, now)))
    }

    /// Number of gateways of this zone that are ranked before this one and alive: 0 for the active
    /// aggregator, 1 for the one that stands by.
    pub fn rank(&self, now: Micros) -> usize {
        let mine = self.me.rank_key();
        self.alive_in(self.me.zone, now)
            .filter(|peer| peer.member.rank_key() < mine)
            .count()
    }

    /// The aggregators of this zone, except this gateway, in the order of their ranks.
    pub fn aggregators(&self, now: Micros) -> SmallVec<[SocketAddr; 4]> {
        let itself = usize::from(self.rank(now) < AGGREGATORS);
        let first = self.best(self.me.zone, AGGREGATORS - itself, now);
        first.iter().map(|member| member.addr).collect()
    }

    /// Whether another gateway of this zone is alive.
    pub fn has_neighbours(&self, now: Micros) -> bool {
        self.alive_in(self.me.zone, now).next().is_some()
    }

    /// Some gateways of this zone from which nothing is heard, chosen at random, while fewer
    /// gateways of it are alive than aggregate.
    pub fn lost_neighbours(&self, now: Micros) -> SmallVec<[SocketAddr; 4]> {
        if self.alive_in(self.me.zone, now).count() >= AGGREGATORS {
            return SmallVec::new();
        }
        let lost = |peer: &&Peer| peer.member.zone == self.me.zone && !peer.is_alive(now);
        let lost = self
            .known
            .values()
            .filter(lost)
            .map(|peer| peer.member.addr);
        let lost = lost.choose_multiple(&mut rand::rng(), LOST_TRIES);
        lost.into_iter().collect()
    }

    /// The first gateways of a zone that are alive, except this one, in the order of their ranks.
    fn best(&self, zone: ZoneTag, count: usize, now: Micros) -> SmallVec<[Member; 4]> {
        let mut members: SmallVec<[Member; 4]> = SmallVec::new();
        for peer in self.alive_in(zone, now) {
            let key = peer.member.rank_key();
            let at = members.partition_point(|other| other.rank_key() < key);
            if at < count {
                members.insert(at, peer.member);
                members.truncate(count);
            }
        }
        members
    }

    /// The aggregators of the other zones. Of a zone in which none is alive, any known gateway,
    /// chosen at random, so that the zone is found again.
    pub fn remote_aggregators(&self, now: Micros) -> SmallVec<[SocketAddr; 16]> {
        let mut zones: SmallVec<[ZoneTag; 8]> = SmallVec::new();
        for peer in self.known.values() {
            let zone = peer.member.zone;
            if zone != self.me.zone && !zones.contains(&zone) {
                zones.push(zone);
            }
        }
        let mut found: SmallVec<[SocketAddr; 16]> = SmallVec::new();
        for zone in zones {
            let best = self.best(zone, AGGREGATORS, now);
            if best.is_empty() {
                let lost = self.known.values().filter(|p| p.member.zone == zone);
                let lost = lost.map(|peer| peer.member.addr);
                found.extend(lost.choose(&mut rand::rng()));
            }
            found.extend(best.iter().map(|member| member.addr));
        }
        found
    }

    /// The gateways whose last message expects an answer.
    pub fn reporters(&self, now: Micros) -> impl Iterator<Item = Member> + '_ {
        let reports = move |peer: &&Peer| peer.reports && peer.is_heard(now);
        self.known.values().filter(reports).map(|peer| peer.member)
    }

    /// The seed addresses from which nothing has been heard, or not for long.
    pub fn silent_seeds(&self, now: Micros) -> impl Iterator<Item = SocketAddr> + '_ {
        let silent = move |seed: &&SocketAddr| {
            let peer = self.known.get(seed);
            !peer.is_some_and(|peer| peer.is_alive(now))
        };
        self.seeds.iter().filter(silent).copied()
    }

    /// Whether any gateway is alive.
    pub fn any_alive(&self, now: Micros) -> bool {
        self.known.values().any(|peer| peer.is_alive(now))
    }

    /// The gateways to introduce to others, with the time of their last sign of life: the first ones
    /// of each zone that this one hears, and some others, chosen at random, so that a zone whose
    /// aggregators are lost at once is found again.
    pub fn introductions(&self, now: Micros) -> Vec<(Member, Micros)> {
        let known = self.known.values();
        let known = known.map(|peer| (peer.member, peer.last_sign()));
        let others = known.choose_multiple(&mut rand::rng(), RANDOM_INTRODUCTIONS);
        self.first_heard(now).into_iter().chain(others).collect()
    }

    /// The first gateways of each zone that this one hears, with the time at which it last did.
    fn first_heard(&self, now: Micros) -> Vec<(Member, Micros)> {
        let mut zones: HashMap<ZoneTag, SmallVec<[(Member, Micros); 4]>, FxBuildHasher> =
            HashMap::default();
        for peer in self.known.values() {
            let Some(at) = peer.heard_at.filter(|_| peer.is_heard(now)) else {
                continue;
            };
            let zone = zones.entry(peer.member.zone).or_default();
            let key = peer.member.rank_key();
            let index = zone.partition_point(|(other, _)| other.rank_key() < key);
            if index <= AGGREGATORS {
                zone.insert(index, (peer.member, at));
                zone.truncate(AGGREGATORS + 1);
            }
        }
        zones.into_values().flatten().collect()
    }

    /// What all gateways of this zone cause together; `own` is what this gateway causes.
    pub fn zone_totals(&self, now: Micros, own: &Totals) -> Totals {
        let neighbours = self.known.values();
        let neighbours = neighbours.filter(|peer| peer.member.zone == self.me.zone);
        let mut sum = sum_of(neighbours.filter_map(|peer| fresh(peer.own.as_ref(), now)));
        sum.add(own);
        sum
    }

    /// What the gateways of all other zones cause together.
    pub fn remote_totals(&self, now: Micros) -> Totals {
        let mut newest: HashMap<ZoneTag, &Report, FxBuildHasher> = HashMap::default();
        for peer in self.known.values() {
            let Some(report) = fresh(peer.zone.as_ref(), now) else {
                continue;
            };
            let known = newest.entry(peer.member.zone).or_insert(report);
            if report.received > known.received {
                *known = report;
            }
        }
        sum_of(newest.into_values())
    }

    /// What a gateway reported on itself.
    pub fn own_totals(&self, now: Micros, of: SocketAddr) -> Option<&Totals> {
        let peer = self.known.get(&of)?;
        fresh(peer.own.as_ref(), now).map(|report| &report.totals)
    }

    /// What all other gateways cause together, according to the newest report of an aggregator.
    pub fn others(&self, now: Micros) -> Option<&Totals> {
        let reports = self.known.values().map(|peer| peer.others.as_ref());
        let reports = reports.filter_map(|report| fresh(report, now));
        reports
            .max_by_key(|report| report.received)
            .map(|report| &report.totals)
    }

    /// The copies of the platform's lists at the gateways that are heard, with their positions among
    /// the aggregators of this zone.
    pub fn copies(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (SocketAddr, CopyStatus, Option<usize>)> + '_ {
        let aggregators = self.aggregators(now);
        let heard = self.known.values().filter(move |peer| peer.is_heard(now));
        heard.map(move |peer| {
            let addr = peer.member.addr;
            let rank = aggregators.iter().position(|&other| other == addr);
            (addr, peer.status, rank)
        })
    }

    /// Whether a message expects an answer: a report of the sender on itself does, and so does the
    /// report of a zone from a gateway that is none of its aggregators, which has to learn of them.
    fn expects_answer(&self, now: Micros, from: SocketAddr, scope: Scope) -> bool {
        let Some(peer) = self.known.get(&from) else {
            return false;
        };
        match scope {
            Scope::Sender => true,
            Scope::Zone => {
                let first = self.best(peer.member.zone, AGGREGATORS, now);
                first.iter().all(|member| member.addr != from)
            }
            Scope::Nothing | Scope::Others => false,
        }
    }

    /// The status of a gateway's copies, as it last reported it; `None` if it is not heard.
    pub fn status(&self, now: Micros, of: SocketAddr) -> Option<CopyStatus> {
        let peer = self.known.get(&of)?;
        peer.is_heard(now).then_some(peer.status)
    }

    /// The gateway that is heard and has the newest configuration; `None` if that is not newer than
    /// `version`.
    pub fn newer_config_peer(&self, now: Micros, version: u64) -> Option<SocketAddr> {
        let heard = self.known.values().filter(|peer| peer.is_heard(now));
        let newest = heard.max_by_key(|peer| (peer.status.version, peer.heard_at))?;
        (newest.status.version > version).then_some(newest.member.addr)
    }

    fn alive_in(&self, zone: ZoneTag, now: Micros) -> impl Iterator<Item = &Peer> {
        let in_zone = move |peer: &&Peer| peer.member.zone == zone && peer.is_alive(now);
        self.known.values().filter(in_zone)
    }

    /// Returns the entry of a gateway, adding it unless there are too many.
    fn peer_mut(&mut self, member: Member) -> Option<&mut Peer> {
        let full = self.known.len() >= MAX_PEERS;
        if full && !self.known.contains_key(&member.addr) {
            return None;
        }
        let peer = self.known.entry(member.addr);
        Some(peer.or_insert_with(|| Peer::new(member)))
    }
}

/// What these reports add up to.
fn sum_of<'a>(reports: impl Iterator<Item = &'a Report>) -> Totals {
    let mut sum = Totals::default();
    for report in reports {
        sum.add(&report.totals);
    }
    sum
}

#[cfg(test)]
mod tests;
