//! Which versions of each service's software have served of late.
//!
//! Load pattern: most of the time one version serves, and a gateway then knows the version of every
//! stream without having been told. It knows this for certain only if it has followed the list of
//! targets for longer than a stream lasts.
//!
//! Performs no I/O.

use std::collections::HashMap;

use rustc_hash::FxBuildHasher;
use smallvec::SmallVec;

use crate::gateway::service_demand::ServiceTag;
use crate::gateway::stream_book::STREAM_TTL;
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

/// A version of a service, and when it was last listed. `None` is a version that cannot be read.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: Option<VersionTag>,
    at: Micros,
}

/// The versions that one gateway has seen in the list of targets.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: HashMap<ServiceTag, SmallVec<[Seen; 2]>, FxBuildHasher>,
    /// Time since which the gateway has followed the list without a gap; `None` while it does not.
    followed_since: Option<Micros>,
}

impl VersionHistory {
    /// Records the service and version of each listed target, and whether the list is as new as any
    /// other gateway's.
    pub fn observe(
        &mut self,
        now: Micros,
        is_current: bool,
        listed: impl Iterator<Item = (ServiceTag, Option<VersionTag>)>,
    ) {
        self.followed_since = match is_current {
            true => self.followed_since.or(Some(now)),
            false => None,
        };
        for (service, version) in listed {
            let seen = self.services.entry(service).or_default();
            match seen.iter_mut().find(|seen| seen.version == version) {
                Some(seen) => seen.at = now,
                None => seen.push(Seen { version, at: now }),
            }
        }
        self.services.retain(|_, seen| {
            seen.retain(|seen| now.saturating_sub(seen.at) < STREAM_TTL);
            !seen.is_empty()
        });
    }

    /// Whether several versions of a service serve or have served of late, so that gateways have to
    /// tell each other of its streams.
    pub fn is_mixed(&self, service: ServiceTag) -> bool {
        let seen = self.services.get(&service);
        seen.is_some_and(|seen| seen.len() > 1 || seen[0].version.is_none())
    }

    /// The only version of a service that has served within `span`; `None` if there were several, or
    /// if that is not certain.
    pub fn sole_version(
        &self,
        now: Micros,
        service: ServiceTag,
        span: Micros,
    ) -> Option<VersionTag> {
        let since = now.saturating_sub(span);
        if self.followed_since? > since || span > STREAM_TTL {
            return None;
        }
        let seen = self.services.get(&service)?;
        let mut recent = seen.iter().filter(|seen| seen.at >= since);
        let sole = recent.next()?;
        recent.next().is_none().then_some(sole.version)?
    }
}

#[cfg(test)]
mod tests;
