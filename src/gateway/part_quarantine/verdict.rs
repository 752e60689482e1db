//! Which parts are in quarantine, given the suspicions that count.

use std::collections::{BTreeMap, HashSet};

use crate::gateway::evidence::{self, CrashTag, OfSubject};
use crate::units::Micros;

/// Number of crashes of a part that no other part in quarantine explains.
const MIN_UNEXPLAINED: usize = 2;

/// Parts that are suspected in the same crashes.
#[derive(Clone, Debug, Default)]
struct Group {
    parts: Vec<u64>,
    until: Micros,
}

/// The parts in quarantine.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    groups: Vec<Group>,
}

impl Verdict {
    /// Decides on the parts with these suspicions, all of which count.
    pub fn new(suspicions: impl Iterator<Item = OfSubject>) -> Self {
        let suspected = suspicions.filter(|of_part| evidence::is_sufficient(of_part));
        let mut by_crashes: BTreeMap<Vec<CrashTag>, Group> = BTreeMap::new();
        for of_part in suspected {
            let mut crashes: Vec<CrashTag> = of_part.iter().map(|s| s.crash).collect();
            crashes.sort_unstable();
            let group = by_crashes.entry(crashes).or_default();
            group.until = group.until.max(evidence::expiry(&of_part));
            group.parts.push(of_part[0].subject);
            group.parts.sort_unstable();
        }
        let mut candidates: Vec<(Vec<CrashTag>, Group)> = by_crashes.into_iter().collect();
        candidates.sort_by_key(|(crashes, _)| std::cmp::Reverse(crashes.len()));
        Verdict {
            groups: unexplained(candidates),
        }
    }

    /// Time until which a prompt with these parts is refused; `None` if it may be sent. Parts for
    /// which `is_excused` holds are not in quarantine after all.
    pub fn until(
        &self,
        parts: impl Iterator<Item = u64> + Clone,
        is_excused: impl Fn(u64) -> bool,
    ) -> Option<Micros> {
        let holds = |part: u64| parts.clone().any(|held| held == part);
        let refuses = |group: &&Group| {
            let mut left = group.parts.iter().filter(|part| !is_excused(**part));
            let first = left.next();
            first.is_some_and(|&part| holds(part)) && left.all(|&part| holds(part))
        };
        let refusing = self.groups.iter().filter(refuses);
        refusing.map(|group| group.until).max()
    }

    /// Whether a part is in quarantine, alone or together with others.
    pub fn contains(&self, part: u64) -> bool {
        self.groups.iter().any(|group| group.parts.contains(&part))
    }

    /// Time at which the first part leaves the quarantine if nothing changes.
    pub fn valid_until(&self) -> Micros {
        let ends = self.groups.iter().map(|group| group.until);
        ends.min().unwrap_or(Micros(u64::MAX))
    }

    /// The groups of parts that are in quarantine here and not in `other`.
    pub fn groups_missing_in<'a>(
        &'a self,
        other: &'a Verdict,
    ) -> impl Iterator<Item = Vec<u64>> + 'a {
        let known = |group: &&Group| other.groups.iter().any(|o| o.parts == group.parts);
        let missing = self.groups.iter().filter(move |group| !known(group));
        missing.map(|group| group.parts.clone())
    }
}

/// Leaves out the groups most of whose crashes are explained by those before them.
fn unexplained(candidates: Vec<(Vec<CrashTag>, Group)>) -> Vec<Group> {
    let mut explained: HashSet<CrashTag> = HashSet::new();
    let mut groups = Vec::new();
    for (crashes, group) in candidates {
        let new = crashes.iter().filter(|crash| !explained.contains(crash));
        if new.count() >= MIN_UNEXPLAINED {
            explained.extend(&crashes);
            groups.push(group);
        }
    }
    groups
}
