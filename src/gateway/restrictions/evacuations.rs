//! The availability zones that the operator has evacuated: their targets get no requests, although
//! they work and are listed as ready.
//!
//! The operator writes one record for each evacuated zone. The set of zones has a version, the offset
//! of the operator's topic up to which it is complete. Gateways merge sets by version, so one that
//! cannot read the platform keeps or hears of the newest set, and an older set never replaces a newer
//! one.
//!
//! Performs no I/O.

use smallvec::SmallVec;

use crate::gateway::peers::member::ZoneTag;
use crate::gateway::targets::Targets;

/// Maximum number of evacuated zones that are tracked.
pub const MAX_ZONES: usize = 64;

/// A version of the set of evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Offset of the operator's topic up to which the set is complete; 0 before it was first read.
    pub as_of: u64,
    zones: SmallVec<[ZoneTag; 4]>,
}

impl Evacuations {
    /// Builds a version from its zones. Zones in excess of [`MAX_ZONES`] are left out.
    pub fn new(as_of: u64, zones: impl Iterator<Item = ZoneTag>) -> Self {
        let mut set = Evacuations {
            as_of,
            ..Evacuations::default()
        };
        zones.for_each(|zone| set.add(zone));
        set
    }

    /// Adds a zone.
    pub fn add(&mut self, zone: ZoneTag) {
        if !self.contains(zone) && self.zones.len() < MAX_ZONES {
            self.zones.push(zone);
        }
    }

    /// Removes a zone.
    pub fn remove(&mut self, zone: ZoneTag) {
        self.zones.retain(|other| *other != zone);
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: ZoneTag) -> bool {
        self.zones.contains(&zone)
    }

    /// The evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = ZoneTag> + '_ {
        self.zones.iter().copied()
    }

    /// Number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Takes over `other` if it is a newer version. Returns the version that it replaces.
    pub fn merge(&mut self, other: Evacuations) -> Option<Evacuations> {
        (other.as_of > self.as_of).then(|| std::mem::replace(self, other))
    }
}

/// Logs the zones that are in only one of two versions. The name of a zone is known only from its
/// targets; a zone without any may be misspelt.
pub fn log_changes(before: &Evacuations, after: &Evacuations, targets: &Targets) {
    for zone in after.zones().filter(|zone| !before.contains(*zone)) {
        log_change("zone evacuated", zone, after.as_of, targets);
    }
    for zone in before.zones().filter(|zone| !after.contains(*zone)) {
        log_change("zone restored", zone, after.as_of, targets);
    }
}

fn log_change(message: &str, zone: ZoneTag, as_of: u64, targets: &Targets) {
    let in_zone = || targets.iter().filter(|target| target.zone == zone);
    let name = in_zone().next().map(|target| target.entry.zone.as_ref());
    spdlog::info!("{}", message, kv: {
        zone: = name.unwrap_or("unknown"),
        targets = in_zone().count(),
        offset = as_of,
    });
}

#[cfg(test)]
mod tests;
