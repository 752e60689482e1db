//! Where the shared prefix of a prompt belongs, and from where it can be fetched.

use smallvec::SmallVec;

use crate::gateway::prefix_owner::{self, Candidate, Owners};
use crate::gateway::prefix_transfer::{self, Source, Sources, Transfer};
use crate::gateway::prompts::Prompt;
use crate::gateway::selection::{Criteria, REPLICATION_COST, crossing_cost};
use crate::gateway::targets::{Target, TargetKey, Targets};
use crate::units::Micros;

/// Number of requests that a copy of a prefix in this zone spares the way to another zone.
const ZONE_COPY_REQUESTS: f64 = 2.0;
/// Probability that a target still has a prefix cached that this gateway has sent it of late.
const SENT_CACHED: f64 = 0.9;
/// Probability that a prefix which each zone assigns to a target of its own is cached at the one of
/// another zone.
const OTHER_ZONE_CACHED: f64 = 0.7;

/// Maximum number of sources that are considered.
const MAX_SOURCES: usize = 4;

/// The assignment of the shared prefix of one prompt.
#[derive(Debug, Default)]
pub struct PrefixPlacement {
    /// The targets that it is assigned to.
    pub owners: Owners,
    /// The targets from which it can be fetched; empty if engines cannot transfer prompts.
    sources: Sources,
}

/// A target that may get the request.
#[derive(Clone, Copy)]
struct Listed<'a> {
    candidate: Candidate,
    target: &'a Target,
    is_local: bool,
}

impl PrefixPlacement {
    /// Assigns the prefix of the request's prompt, if it has one. A prefix that costs little to read is
    /// assigned to a target of this gateway's zone, since reading it there once costs less than many
    /// requests that cross zones.
    pub fn new(
        targets: &Targets,
        now: Micros,
        criteria: &Criteria<'_>,
        is_usable: impl Fn(TargetKey, &Target) -> bool,
    ) -> Self {
        let Some(prompt) = criteria.prompt.filter(|prompt| prompt.prefix_hash() != 0) else {
            return PrefixPlacement::default();
        };
        let keys = targets.of_service(criteria.service).iter();
        let listed = keys.filter_map(|&key| Some((key, targets.get(key)?)));
        // A target outside of the allowed regions never owned a prefix of this request. As an unusable
        // candidate it would make the prefix count as just moved, and so as not cached, forever.
        let listed = listed.filter(|(_, target)| criteria.allowed_zones.contains(target.zone));
        let listed: SmallVec<[Listed<'_>; 64]> = listed
            .map(|(key, target)| Listed {
                candidate: Candidate {
                    key,
                    tag: target.tag,
                    is_usable: is_usable(key, target),
                    availability: target.availability,
                },
                target,
                is_local: target.entry.zone.as_ref() == criteria.zone,
            })
            .collect();
        let has_local = listed.iter().any(|l| l.is_local && l.candidate.is_usable);
        let in_zone = has_local && belongs_in_zone(prompt, criteria);
        let prefix = prompt.prefix_hash();
        let candidates = listed.iter().filter(|l| l.is_local || !in_zone);
        let owners = Owners::assign(
            now,
            prefix,
            candidates.map(|l| l.candidate),
            targets.departures(criteria.service),
            criteria.emptied,
        );
        let mut placement = PrefixPlacement {
            owners,
            sources: Sources::new(),
        };
        if criteria.transfer.is_some() {
            placement.find_sources(now, prompt, &listed, in_zone);
        }
        placement
    }

    /// The transfer of `tokens` tokens of the prefix to a target that takes `prefill` microseconds to
    /// prefill them; `None` if prefilling is better.
    pub fn transfer(
        &self,
        (key, target): (TargetKey, &Target),
        tokens: f64,
        prefill: f64,
        criteria: &Criteria<'_>,
    ) -> Option<Transfer> {
        let rate = criteria.transfer.filter(|_| tokens > 0.0)?;
        let is_local = target.entry.zone.as_ref() == criteria.zone;
        prefix_transfer::plan(rate, &self.sources, (key, is_local), tokens, prefill)
    }

    /// Collects the usable targets that may have the prefix cached: the owners, the owner of another
    /// zone if each zone has its own, and targets that this gateway has sent the prefix.
    fn find_sources(&mut self, now: Micros, prompt: &Prompt, listed: &[Listed<'_>], in_zone: bool) {
        let shared = prompt.shared_tokens();
        let usable = || listed.iter().filter(|l| l.candidate.is_usable);
        for (key, cached) in self.owners.holders() {
            let owner = usable().find(|l| l.candidate.key == key);
            self.sources.extend(owner.map(|l| l.to_source(cached)));
        }
        if in_zone {
            let others = usable().filter(|l| !l.is_local);
            let owner =
                others.max_by_key(|l| prefix_owner::weight(prompt.prefix_hash(), l.candidate.tag));
            self.sources
                .extend(owner.map(|l| l.to_source(OTHER_ZONE_CACHED)));
        }
        for sent in usable().filter(|l| l.target.cache.cached_tokens(now, prompt) >= shared) {
            if self.sources.len() >= MAX_SOURCES {
                break;
            }
            self.sources.push(sent.to_source(SENT_CACHED));
        }
    }
}

impl Listed<'_> {
    fn to_source(self, cached: f64) -> Source {
        Source {
            key: self.candidate.key,
            cached,
            queued: self.target.load.outgoing_tokens,
            is_local: self.is_local,
        }
    }
}

/// Whether a prefix is assigned to a target of this gateway's zone.
fn belongs_in_zone(prompt: &Prompt, criteria: &Criteria<'_>) -> bool {
    let shared = prompt.shared_tokens() as f64;
    let prefill = shared / criteria.prefill_rate * 1_000.0;
    prefill * REPLICATION_COST <= ZONE_COPY_REQUESTS * crossing_cost(criteria)
}
