//! Which version of the targets' software has begun which stream.
//!
//! Load pattern: gateways and targets fail amid streams while several versions of a service serve.
//! The clients take their streams up again through other gateways, which have to know the version. So
//! a gateway tells a few others of each stream that it has begun, see [`holders`].
//!
//! Performs no I/O.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use hyper::header::HeaderValue;
use rustc_hash::FxBuildHasher;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::peers::roster;
use crate::gateway::prompts::mix;
use crate::gateway::service_demand::ServiceTag;
use crate::gateway::versions::VersionTag;
use crate::units::Micros;

/// How long a stream is remembered after its first event. Longer than clients wait for the whole of
/// it.
pub const STREAM_TTL: Micros = Micros::from_secs(600);
/// Maximum number of streams that are remembered; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 65_536;
/// Number of gateways that are told of a stream.
pub const HOLDERS: usize = 3;
/// Number of gateways that are asked for a stream: more than are told, as gateways know each other
/// from different times, and the one that began the stream has told others than itself.
pub const ASKED: usize = 5;

/// Hash of the id of the client's request that brought a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamTag(pub u64);

impl StreamTag {
    /// Derives the tag from the request id.
    pub fn of(id: &HeaderValue) -> Self {
        StreamTag(xxh3_64(id.as_bytes()))
    }
}

/// A stream, and the version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// The stream.
    pub stream: StreamTag,
    /// The version that brought its first event.
    pub version: VersionTag,
}

/// The streams that one gateway has begun or been told of.
#[derive(Clone, Debug, Default)]
pub struct StreamBook {
    versions: HashMap<StreamTag, VersionTag, FxBuildHasher>,
    /// The streams by age, the oldest first.
    ages: VecDeque<(Micros, StreamTag)>,
    /// Streams of this gateway that no other one has been told of, by service, the oldest first.
    untold: HashMap<ServiceTag, VecDeque<(Micros, BegunStream)>, FxBuildHasher>,
}

impl StreamBook {
    /// Records that a target of this gateway's choice has begun a stream.
    pub fn begin(&mut self, now: Micros, begun: BegunStream, service: ServiceTag) {
        self.learn(now, begun);
        let untold = self.untold.entry(service).or_default();
        untold.push_back((now, begun));
        if untold.len() > MAX_STREAMS {
            untold.pop_front();
        }
    }

    /// Records what another gateway told. What is known already stays.
    pub fn learn(&mut self, now: Micros, begun: BegunStream) {
        let BegunStream { stream, version } = begun;
        if self.versions.contains_key(&stream) {
            return;
        }
        self.versions.insert(stream, version);
        self.ages.push_back((now, stream));
        if self.ages.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    /// The version that began a stream; `None` if it is not known.
    pub fn version(&self, stream: StreamTag) -> Option<VersionTag> {
        self.versions.get(&stream).copied()
    }

    /// Takes the streams of which others have to be told: those of services that `is_mixed` says to
    /// have several versions. The others may become due as long as they are remembered.
    pub fn take_untold(&mut self, is_mixed: impl Fn(ServiceTag) -> bool) -> Vec<BegunStream> {
        let due = self.untold.extract_if(|service, _| is_mixed(*service));
        let due = due.flat_map(|(_, streams)| streams);
        due.map(|(_, begun)| begun).collect()
    }

    /// Forgets the streams that no client takes up any more.
    pub fn expire(&mut self, now: Micros) {
        let is_old = |at: Micros| now.saturating_sub(at) >= STREAM_TTL;
        while self.ages.front().is_some_and(|&(at, _)| is_old(at)) {
            self.forget_oldest();
        }
        self.untold.retain(|_, streams| {
            while streams.front().is_some_and(|&(at, _)| is_old(at)) {
                streams.pop_front();
            }
            !streams.is_empty()
        });
    }

    fn forget_oldest(&mut self) {
        if let Some((_, stream)) = self.ages.pop_front() {
            self.versions.remove(&stream);
        }
    }
}

/// The gateways that are told of a stream, or asked for it: `count` of these, by rendezvous hashing,
/// so that all gateways choose alike.
pub fn holders(
    stream: StreamTag,
    gateways: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> SmallVec<[SocketAddr; 8]> {
    let mut ranked: SmallVec<[(u64, SocketAddr); 8]> = SmallVec::new();
    for gateway in gateways {
        let rank = mix(stream.0 ^ roster::key_of(&gateway));
        let at = ranked.partition_point(|(other, _)| *other > rank);
        if at < count {
            ranked.insert(at, (rank, gateway));
            ranked.truncate(count);
        }
    }
    ranked.into_iter().map(|(_, gateway)| gateway).collect()
}

#[cfg(test)]
mod tests;
