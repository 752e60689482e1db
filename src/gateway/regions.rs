//! Region restrictions of routes and client accounts (data residency): the zones whose targets may
//! receive a request.
//!
//! The load: requests of restricted routes and client accounts among others, at targets in the zones
//! of several regions, while zones are evacuated, targets come and go, and the configuration changes
//! between the choice of a target and the sending. No such request may reach a target outside of its
//! regions, however few targets are left.
//!
//! The configuration names regions, and the settings of the gateway give the region of each zone. In
//! doubt a restricted request has no target: a zone without a known region is in none, and a
//! restriction that cannot be read allows no region.
//!
//! Performs no I/O besides logging.

mod findings;

use std::sync::Arc;

use smallvec::SmallVec;

use crate::gateway::peers::member::ZoneTag;

pub use findings::{Finding, Owner, Problem, log_findings, log_table};

/// Hash of a region's name. It has 64 bits, so that two regions are not taken for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionTag(u64);

impl RegionTag {
    /// Derives the tag from a region's name, which is compared exactly.
    pub fn of(name: &str) -> Self {
        RegionTag(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// The regions of the availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionTable {
    /// Sorted by zone.
    zones: Vec<(ZoneTag, RegionTag)>,
    /// Number of zones that were given several regions.
    contradictory: usize,
}

impl<'a> FromIterator<(&'a str, &'a str)> for RegionTable {
    /// Collects zones with their regions. A zone that is given several regions belongs to none, and
    /// an empty name names nothing.
    fn from_iter<I: IntoIterator<Item = (&'a str, &'a str)>>(pairs: I) -> Self {
        let named = pairs.into_iter().filter(|(_, region)| !region.is_empty());
        let tagged = named.map(|(zone, region)| (ZoneTag::of(zone), RegionTag::of(region)));
        let mut zones: Vec<(ZoneTag, RegionTag)> = tagged.collect();
        zones.sort_unstable();
        zones.dedup();
        let is_one = |group: &&[(ZoneTag, RegionTag)]| group.len() == 1;
        let groups = || zones.chunk_by(|one, other| one.0 == other.0);
        RegionTable {
            contradictory: groups().filter(|group| !is_one(group)).count(),
            zones: groups().filter(is_one).flatten().copied().collect(),
        }
    }
}

impl RegionTable {
    /// Whether no zone has a region.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether a zone belongs to one of these regions.
    fn has_zone_in(&self, rule: &RegionRule) -> bool {
        self.zones.iter().any(|&(_, region)| rule.allows(region))
    }
}

/// The restriction of a route or of a client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RegionRule {
    /// There is no restriction.
    #[default]
    Unrestricted,
    /// The list of regions is empty, which is no restriction either.
    Empty,
    /// Only these regions are allowed, in ascending order.
    Only(Arc<[RegionTag]>),
    /// The restriction cannot be read, so no region is allowed.
    Unreadable,
}

impl<S: AsRef<str>> FromIterator<S> for RegionRule {
    /// Collects the names of the allowed regions.
    fn from_iter<I: IntoIterator<Item = S>>(names: I) -> Self {
        let tags = names.into_iter().map(|name| RegionTag::of(name.as_ref()));
        let mut tags: Vec<RegionTag> = tags.collect();
        tags.sort_unstable();
        tags.dedup();
        match tags.is_empty() {
            true => RegionRule::Empty,
            false => RegionRule::Only(tags.into()),
        }
    }
}

impl RegionRule {
    /// Whether some regions are not allowed.
    pub fn is_restricted(&self) -> bool {
        matches!(self, RegionRule::Only(_) | RegionRule::Unreadable)
    }

    fn allows(&self, region: RegionTag) -> bool {
        match self {
            RegionRule::Unrestricted | RegionRule::Empty => true,
            RegionRule::Only(regions) => regions.binary_search(&region).is_ok(),
            RegionRule::Unreadable => false,
        }
    }
}

/// The restrictions of one request, which apply both.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestRegions {
    /// Restriction of its route.
    pub route: RegionRule,
    /// Restriction of its client account; none if it is anonymous.
    pub account: RegionRule,
}

impl RequestRegions {
    /// The restrictions of a request that may be sent nowhere.
    pub const NONE: RequestRegions = RequestRegions {
        route: RegionRule::Unreadable,
        account: RegionRule::Unreadable,
    };

    /// Whether some regions are not allowed.
    pub fn is_restricted(&self) -> bool {
        self.route.is_restricted() || self.account.is_restricted()
    }

    /// Returns the zones that are in a region which both restrictions allow.
    pub fn zones(&self, table: &RegionTable) -> AllowedZones {
        if !self.is_restricted() {
            return AllowedZones::All;
        }
        let allows = |region| self.route.allows(region) && self.account.allows(region);
        let zones = table.zones.iter().filter(|(_, region)| allows(*region));
        AllowedZones::Only(zones.map(|&(zone, _)| zone).collect())
    }
}

/// The zones whose targets may receive a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedZones {
    /// All, including those without a known region.
    #[default]
    All,
    /// Only these, in ascending order.
    Only(SmallVec<[ZoneTag; 8]>),
}

impl AllowedZones {
    /// Whether the targets of a zone may receive the request.
    pub fn contains(&self, zone: ZoneTag) -> bool {
        match self {
            AllowedZones::All => true,
            AllowedZones::Only(zones) => zones.binary_search(&zone).is_ok(),
        }
    }

    /// Whether some zones may not receive the request.
    pub fn is_restricted(&self) -> bool {
        matches!(self, AllowedZones::Only(_))
    }
}

#[cfg(test)]
mod tests;
