//! Decides where a gateway gets the configuration and the list of targets from: from the platform,
//! or from another gateway of its availability zone.
//!
//! Load pattern: a fleet of hundreds of gateways, all of which would read lists that hardly change.
//! The first aggregator of each zone reads for its zone. The others follow it, and read for
//! themselves only when nobody has confirmed their copy for a while: first the aggregator that
//! stands by, then the rest, spread in time.
//!
//! Performs no I/O.

use std::net::SocketAddr;

use crate::units::Micros;

/// Age of its copy at which the aggregator that stands by reads for itself.
const STANDBY_PATIENCE: Micros = Micros::from_ms(700);
/// Age of its copy at which any other gateway reads for itself, without the spread.
const PATIENCE: Micros = Micros::from_ms(1_000);
/// Longest additional time that a gateway waits, so that not all of them read at once.
const SPREAD: Micros = Micros::from_ms(300);
/// Maximum age of another gateway's copy that is taken while the platform does not answer.
const FALLBACK_AGE: Micros = Micros::from_ms(1_500);
/// Pause of an aggregator after a failed read.
const AGGREGATOR_PAUSE: Micros = Micros::from_ms(150);
/// Pause of any other gateway after a failed read, without the spread.
const MEMBER_PAUSE: Micros = Micros::from_ms(600);

/// Where to get a list from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Read it from the platform.
    Platform,
    /// Follow this gateway's copy.
    Peer(SocketAddr),
    /// Keep the present copy until another gateway has a newer one.
    Wait,
}

/// Another gateway's copy of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerCopy {
    /// Address of the gateway.
    pub addr: SocketAddr,
    /// Time at which the platform confirmed the copy; `None` if the gateway is cut off from it.
    pub confirmed_at: Option<Micros>,
    /// Position of the gateway among the aggregators of this gateway's zone; `None` if it is none of
    /// them.
    pub rank: Option<usize>,
    /// Whether the gateway has any copy of the list.
    pub exists: bool,
}

/// The inputs for choosing a source.
#[derive(Clone, Copy, Debug)]
pub struct SourceContext {
    /// Number of gateways of the zone that are ranked before this one.
    pub rank: usize,
    /// Time at which the platform confirmed this gateway's copy; the start of its process before
    /// the first time.
    pub confirmed_at: Micros,
    /// Additional patience because the platform holds each read for up to this long.
    pub read_wait: Micros,
    /// Random number from 0 to 1 that spreads gateways in time.
    pub spread: f64,
}

/// Chooses where to get a list from.
pub fn choose(
    now: Micros,
    context: &SourceContext,
    copies: impl Iterator<Item = PeerCopy>,
) -> Source {
    let patience = match context.rank {
        0 => return Source::Platform,
        1 => STANDBY_PATIENCE,
        _ => PATIENCE + scaled(SPREAD, context.spread),
    };
    if now.saturating_sub(context.confirmed_at) >= patience + context.read_wait {
        return Source::Platform;
    }
    // The first aggregator with a fresh copy, and not the newest copy: each change of the source
    // costs a copy of the whole list.
    let max_age = STANDBY_PATIENCE + context.read_wait;
    let is_fresh = |copy: &PeerCopy| {
        let confirmed = copy.confirmed_at;
        confirmed.is_some_and(|at| now.saturating_sub(at) < max_age)
    };
    let first = copies
        .filter(|copy| copy.rank.is_some() && is_fresh(copy))
        .min_by_key(|copy| copy.rank);
    match first {
        Some(copy) if copy.confirmed_at > Some(context.confirmed_at) => Source::Peer(copy.addr),
        _ => Source::Wait,
    }
}

/// Chooses the gateway to copy a list from while the platform does not answer; `None` if there is
/// none with a recent copy. A gateway that has no copy itself (`has_none`) accepts one of any age.
pub fn fallback(
    now: Micros,
    has_none: bool,
    copies: impl Iterator<Item = PeerCopy>,
) -> Option<SocketAddr> {
    let recent = |copy: &PeerCopy| {
        let confirmed = copy.confirmed_at;
        confirmed.is_some_and(|at| now.saturating_sub(at) < FALLBACK_AGE)
    };
    copies
        .filter(|copy| recent(copy) || has_none && copy.exists)
        .max_by_key(|copy| copy.confirmed_at)
        .map(|copy| copy.addr)
}

/// Returns how long to wait after a failed read.
pub fn pause_after_failure(rank: usize, spread: f64) -> Micros {
    match rank {
        0 | 1 => AGGREGATOR_PAUSE,
        _ => MEMBER_PAUSE + scaled(SPREAD, spread),
    }
}

fn scaled(span: Micros, factor: f64) -> Micros {
    Micros((span.0 as f64 * factor) as u64)
}

#[cfg(test)]
mod tests;
