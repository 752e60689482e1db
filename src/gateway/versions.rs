//! Versions of the targets' software, and which of them may get a request.
//!
//! Load pattern: a service is rolled out or back, so that targets of several versions serve side by
//! side, while targets crash amid their streams. What two versions write does not fit together, so a
//! stream goes on only at the version that began it. What is not known to match does not match.
//!
//! Performs no I/O.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of the name of a version, the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionTag(pub u32);

impl VersionTag {
    /// Derives the tag from the name of a version.
    pub fn of(name: &str) -> Self {
        VersionTag(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Which versions of the targets' software may get a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// All: none of them has begun to answer.
    #[default]
    Any,
    /// Only this one, which has begun to answer.
    Only(VersionTag),
    /// None, as it is not known which one has begun to answer.
    Unknown,
}

impl VersionRule {
    /// The rule for a stream that a target of this version has begun.
    pub fn for_stream_of(version: Option<VersionTag>) -> Self {
        version.map_or(VersionRule::Unknown, VersionRule::Only)
    }

    /// Whether a target of this version may get the request. `None` is an unknown version.
    pub fn allows(self, version: Option<VersionTag>) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Only(tag) => version == Some(tag),
            VersionRule::Unknown => false,
        }
    }
}

#[cfg(test)]
mod tests;
