//! The gateways of the fleet, whether they are heard or not, for what all gateways divide among
//! themselves without a message.
//!
//! A gateway that is cut off, or a zone that is, still sends to targets. So a silent gateway stays
//! in the roster while its whole zone is silent. One that is silent while others of its zone are
//! heard has been stopped, and is left out after a while.
//!
//! Performs no I/O.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use rustc_hash::FxBuildHasher;

use crate::gateway::peers::member::{Member, ZoneTag};
use crate::gateway::prompts::mix;
use crate::units::Micros;

/// Maximum number of gateways that are kept.
const MAX_MEMBERS: usize = 1_024;
/// Time without a sign of life after which a gateway is left out if its zone is heard. Reports of
/// gateways in a large fleet pass on a sample of it only, so that signs of life are rare.
const MEMBER_TTL: Micros = Micros::from_secs(60);
/// Time after which the gateways of a silent zone are left out: it has been given up.
const ZONE_TTL: Micros = Micros::from_secs(3_600);

/// A gateway, and when it or another one last told that it is alive.
#[derive(Clone, Copy, Debug)]
struct Entry {
    zone: ZoneTag,
    last_sign: Micros,
}

/// All gateways but this one.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: HashMap<SocketAddr, Entry, FxBuildHasher>,
    keys: Vec<u64>,
}

impl Roster {
    /// Takes over the signs of life of the known gateways. `seeds` are addresses at which gateways
    /// are to be expected, before they are heard.
    pub fn update(
        &mut self,
        now: Micros,
        signs: impl Iterator<Item = (Member, Micros)>,
        seeds: &[SocketAddr],
    ) {
        for (member, last_sign) in signs {
            let is_known = self.members.contains_key(&member.addr);
            if is_known || self.members.len() < MAX_MEMBERS {
                let zone = member.zone;
                self.members.insert(member.addr, Entry { zone, last_sign });
            }
        }
        self.expire(now);
        let known = self.members.keys();
        let unheard = seeds.iter().filter(|seed| !self.members.contains_key(seed));
        self.keys = known.chain(unheard).map(key_of).collect();
    }

    /// The keys of the gateways.
    pub fn keys(&self) -> &[u64] {
        &self.keys
    }

    fn expire(&mut self, now: Micros) {
        let mut newest: HashMap<ZoneTag, Micros, FxBuildHasher> = HashMap::default();
        for entry in self.members.values() {
            let at = newest.entry(entry.zone).or_default();
            *at = entry.last_sign.max(*at);
        }
        self.members.retain(|_, entry| {
            let silent = now.saturating_sub(entry.last_sign);
            let zone_silent = now.saturating_sub(newest[&entry.zone]);
            let is_zone_silent = zone_silent >= MEMBER_TTL;
            silent < MEMBER_TTL || (is_zone_silent && silent < ZONE_TTL)
        });
    }
}

/// Key of the gateway with this address, the same in all processes.
pub fn key_of(addr: &SocketAddr) -> u64 {
    let host = match addr.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => mix((ip.to_bits() >> 64) as u64) ^ ip.to_bits() as u64,
    };
    mix(mix(host) ^ u64::from(addr.port()))
}

#[cfg(test)]
mod tests;
