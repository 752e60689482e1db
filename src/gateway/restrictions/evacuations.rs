//! The availability zones that the operator has evacuated: their targets get no requests, although
//! they work and are listed as ready.
//!
//! The operator writes one record for each evacuated zone. The set of zones has a version, the offset
//! of the operator's topic up to which it is complete. Gateways merge sets by version, so one that
//! cannot read the platform keeps or hears of the newest set, and an older set never replaces a newer
//! one. The set has a maximum size, that of a message: zones in excess still get requests until others
//! are restored.
//!
//! Performs no I/O.

use smallvec::SmallVec;

use crate::gateway::peers::member::ZoneTag;
use crate::gateway::targets::Targets;

/// Maximum number of evacuated zones that get no requests: as many as a message carries.
pub const MAX_ZONES: usize = 64;
/// Maximum number of zones in excess of [`MAX_ZONES`] that are remembered.
const MAX_EXCESS: usize = 256;

/// A version of the set of evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Offset of the operator's topic up to which the set is complete; 0 before it was first read.
    pub as_of: u64,
    zones: SmallVec<[ZoneTag; 4]>,
    /// Evacuated zones in excess of [`MAX_ZONES`], which still get requests. Messages do not carry
    /// them, so only a gateway that reads the records itself knows them.
    excess: SmallVec<[ZoneTag; 4]>,
}

impl Evacuations {
    /// Builds a version from its zones.
    pub fn new(as_of: u64, zones: impl Iterator<Item = ZoneTag>) -> Self {
        let mut set = Evacuations {
            as_of,
            ..Evacuations::default()
        };
        zones.for_each(|zone| set.add(zone));
        set
    }

    /// Adds a zone. It is in excess if there are [`MAX_ZONES`] others.
    pub fn add(&mut self, zone: ZoneTag) {
        if self.contains(zone) || self.is_in_excess(zone) {
            return;
        }
        if self.zones.len() < MAX_ZONES {
            self.zones.push(zone);
        } else if self.excess.len() < MAX_EXCESS {
            self.excess.push(zone);
        }
    }

    /// Removes a zone. The first zone in excess takes its place.
    pub fn remove(&mut self, zone: ZoneTag) {
        self.zones.retain(|other| *other != zone);
        self.excess.retain(|other| *other != zone);
        if self.zones.len() < MAX_ZONES && !self.excess.is_empty() {
            self.zones.push(self.excess.remove(0));
        }
    }

    /// Whether a zone is evacuated and gets no requests.
    pub fn contains(&self, zone: ZoneTag) -> bool {
        self.zones.contains(&zone)
    }

    /// Whether a zone is evacuated and in excess of [`MAX_ZONES`], so that it still gets requests.
    pub fn is_in_excess(&self, zone: ZoneTag) -> bool {
        self.excess.contains(&zone)
    }

    /// The evacuated zones without those in excess.
    pub fn zones(&self) -> impl Iterator<Item = ZoneTag> + '_ {
        self.zones.iter().copied()
    }

    /// Number of evacuated zones without those in excess.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the number of zones in excess if other zones are in excess than in an earlier version.
    pub fn changed_excess(&self, before: &Evacuations) -> Option<usize> {
        let is_new = |zone: &ZoneTag| !before.is_in_excess(*zone);
        let has_changed =
            self.excess.len() != before.excess.len() || self.excess.iter().any(is_new);
        has_changed.then_some(self.excess.len())
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

/// Logs the number of zones in excess of [`MAX_ZONES`] if they have changed. They still get requests.
pub fn log_excess(before: &Evacuations, after: &Evacuations) {
    if let Some(excess) = after.changed_excess(before) {
        spdlog::warn!("evacuated zones beyond the limit get requests", kv: {
            excess, limit = MAX_ZONES, offset = after.as_of,
        });
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
