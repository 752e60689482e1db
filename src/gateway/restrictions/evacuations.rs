//! The availability zones that the operator has evacuated: their targets get no requests, although
//! they work and are listed as ready.
//!
//! The operator writes one record for each evacuated zone. The set of zones has a version, the position
//! in the operator's topic up to which it is complete. Gateways merge sets by version, so one that
//! cannot read the platform keeps or hears of the newest set, and an older set never replaces a newer
//! one. The set has a maximum size, that of a message: zones in excess still get requests until others
//! are restored.
//!
//! Load pattern: the platform's store comes back from an older copy, which may lack evacuations until
//! the operator writes them again. Zones that were evacuated before are carried over for a while.
//!
//! Performs no I/O.

use smallvec::SmallVec;

use crate::gateway::peers::member::ZoneTag;
use crate::gateway::position::Position;
use crate::gateway::targets::Targets;
use crate::units::Micros;

/// Maximum number of evacuated zones that get no requests: as many as a message carries.
pub const MAX_ZONES: usize = 64;
/// Maximum number of zones in excess of [`MAX_ZONES`] that are remembered.
const MAX_EXCESS: usize = 256;
/// How long an evacuation is carried over that the restored topic lacks. The operator writes it again
/// within a few seconds.
const CARRY_TIME: Micros = Micros::from_secs(5);

/// A version of the set of evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Position in the operator's topic up to which the set is complete; the default before it was
    /// first read.
    pub as_of: Position,
    zones: SmallVec<[ZoneTag; 4]>,
    /// Evacuated zones in excess of [`MAX_ZONES`], which still get requests. Messages do not carry
    /// them, so only a gateway that reads the records itself knows them.
    excess: SmallVec<[ZoneTag; 4]>,
    /// Other zones that were evacuated before the topic was restored. Each gateway carries over what it
    /// knew itself.
    carried: SmallVec<[ZoneTag; 4]>,
    carried_until: Micros,
}

impl Evacuations {
    /// Builds a version from its zones.
    pub fn new(as_of: Position, zones: impl Iterator<Item = ZoneTag>) -> Self {
        let mut set = Evacuations {
            as_of,
            ..Evacuations::default()
        };
        zones.for_each(|zone| set.add(zone));
        set
    }

    /// Adds a zone. It is in excess if there are [`MAX_ZONES`] others.
    pub fn add(&mut self, zone: ZoneTag) {
        if self.zones.contains(&zone) || self.is_in_excess(zone) {
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
        self.zones.contains(&zone) || self.carried.contains(&zone)
    }

    /// Whether a zone is evacuated and in excess of [`MAX_ZONES`], so that it still gets requests.
    pub fn is_in_excess(&self, zone: ZoneTag) -> bool {
        self.excess.contains(&zone)
    }

    /// The evacuated zones without those in excess.
    pub fn zones(&self) -> impl Iterator<Item = ZoneTag> + '_ {
        self.listed_zones().chain(self.carried.iter().copied())
    }

    /// As [`Evacuations::zones`], without those that are carried over from before a restore.
    pub fn listed_zones(&self) -> impl Iterator<Item = ZoneTag> + '_ {
        self.zones.iter().copied()
    }

    /// Number of evacuated zones without those in excess.
    pub fn len(&self) -> usize {
        self.zones().count()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of zones in excess if other zones are in excess than in an earlier version.
    pub fn changed_excess(&self, before: &Evacuations) -> Option<usize> {
        let is_new = |zone: &ZoneTag| !before.is_in_excess(*zone);
        let has_changed =
            self.excess.len() != before.excess.len() || self.excess.iter().any(is_new);
        has_changed.then_some(self.excess.len())
    }

    /// Takes over `other` if it is a newer version. Returns the version that it replaces.
    pub fn merge(&mut self, now: Micros, other: Evacuations) -> Option<Evacuations> {
        if !other.as_of.supersedes(self.as_of) {
            return None;
        }
        let before = std::mem::replace(self, other);
        let is_restored = self.as_of.era != before.as_of.era;
        let (carried, until): (SmallVec<[ZoneTag; 4]>, _) = match is_restored {
            true => (before.zones().collect(), now + CARRY_TIME),
            false => (before.carried.clone(), before.carried_until),
        };
        self.carried = carried;
        self.carried.retain(|zone| !self.zones.contains(zone));
        self.carried_until = until;
        Some(before)
    }

    /// Ends what was carried over, once its time is up. Returns the version before.
    pub fn expire_carried(&mut self, now: Micros) -> Option<Evacuations> {
        if self.carried.is_empty() || now < self.carried_until {
            return None;
        }
        let before = self.clone();
        self.carried.clear();
        Some(before)
    }
}

/// Logs the zones that are in only one of two versions. The name of a zone is known only from its
/// targets; a zone without any may be misspelt.
pub fn log_changes(before: &Evacuations, after: &Evacuations, targets: &Targets) {
    for zone in after.zones().filter(|zone| !before.contains(*zone)) {
        log_change("zone evacuated", zone, after, targets);
    }
    for zone in before.zones().filter(|zone| !after.contains(*zone)) {
        log_change("zone restored", zone, after, targets);
    }
}

/// Logs the number of zones in excess of [`MAX_ZONES`] if they have changed. They still get requests.
pub fn log_excess(before: &Evacuations, after: &Evacuations) {
    if let Some(excess) = after.changed_excess(before) {
        spdlog::warn!("evacuated zones beyond the limit get requests", kv: {
            excess, limit = MAX_ZONES, offset = after.as_of.offset,
        });
    }
}

fn log_change(message: &str, zone: ZoneTag, set: &Evacuations, targets: &Targets) {
    let in_zone = || targets.iter().filter(|target| target.zone == zone);
    let name = in_zone().next().map(|target| target.entry.zone.as_ref());
    spdlog::info!("{}", message, kv: {
        zone: = name.unwrap_or("unknown"),
        targets = in_zone().count(),
        era = set.as_of.era.0,
        offset = set.as_of.offset,
        carried = set.carried.len(),
    });
}

#[cfg(test)]
mod tests;
