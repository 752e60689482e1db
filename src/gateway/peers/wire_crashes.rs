//! What a gossip message tells of crashes, encoded with postcard: for each crash, the prompt parts
//! and the requests that are suspected in it.
//!
//! Postcard is positional: the order and the types of fields are part of the protocol.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::evidence::{CrashTag, Suspicion};
use crate::units::Micros;

/// Maximum number of suspected prompt parts, and of suspected requests, in a message.
pub const MAX_SUSPICIONS: usize = 256;
/// Times are sent in units of this. Requests that a client repeats at once are few milliseconds
/// apart.
const TIME_UNIT: Micros = Micros(100);

/// The suspicions in a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspicions {
    /// Suspected prompt parts.
    pub parts: Vec<Suspicion>,
    /// Suspected requests.
    pub requests: Vec<Suspicion>,
}

/// A crash. Times are in units of 0.1 ms.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireCrash {
    crash: u32,
    /// Time since the crash was first seen.
    age: u32,
    parts: Vec<WireSuspect>,
    requests: Vec<WireSuspect>,
}

/// What is suspected in a crash. Times are in units of 0.1 ms.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WireSuspect {
    subject: [u8; 8],
    /// Time from when the crash was first seen to when it was seen with this subject.
    after: u32,
    /// Time from sending the request to the crash.
    flight: u32,
    cleared: bool,
}

/// The suspicions in one crash.
#[derive(Clone, Debug, Default)]
struct OfCrash {
    parts: Vec<Suspicion>,
    requests: Vec<Suspicion>,
}

/// Encodes suspicions, up to the bounds.
pub fn encode(now: Micros, suspicions: &Suspicions) -> Vec<WireCrash> {
    let mut crashes: BTreeMap<CrashTag, OfCrash> = BTreeMap::new();
    for part in suspicions.parts.iter().take(MAX_SUSPICIONS) {
        crashes.entry(part.crash).or_default().parts.push(*part);
    }
    for request in suspicions.requests.iter().take(MAX_SUSPICIONS) {
        let of_crash = crashes.entry(request.crash).or_default();
        of_crash.requests.push(*request);
    }
    let rows = crashes.into_iter();
    rows.map(|(crash, of_crash)| WireCrash::new(now, crash, &of_crash))
        .collect()
}

/// Decodes the suspicions of a message that was received at `now`.
pub fn decode(now: Micros, crashes: &[WireCrash]) -> Suspicions {
    let mut suspicions = Suspicions::default();
    for row in crashes {
        let first = now.saturating_sub(time(row.age));
        let crash = CrashTag(row.crash);
        let decode = |suspect: &WireSuspect| suspect.decode(crash, first);
        suspicions.parts.extend(row.parts.iter().map(decode));
        suspicions.requests.extend(row.requests.iter().map(decode));
    }
    suspicions
}

/// Whether a message keeps to the bounds.
pub fn fit(crashes: &[WireCrash]) -> bool {
    let parts: usize = crashes.iter().map(|row| row.parts.len()).sum();
    let requests: usize = crashes.iter().map(|row| row.requests.len()).sum();
    crashes.len() <= 2 * MAX_SUSPICIONS && parts <= MAX_SUSPICIONS && requests <= MAX_SUSPICIONS
}

impl WireCrash {
    fn new(now: Micros, crash: CrashTag, of_crash: &OfCrash) -> Self {
        let all = of_crash.parts.iter().chain(&of_crash.requests);
        let first = all.map(|suspicion| suspicion.at).min().unwrap_or(now);
        let encode = |suspicion: &Suspicion| WireSuspect::new(first, suspicion);
        WireCrash {
            crash: crash.0,
            age: units(now.saturating_sub(first)),
            parts: of_crash.parts.iter().map(encode).collect(),
            requests: of_crash.requests.iter().map(encode).collect(),
        }
    }
}

impl WireSuspect {
    fn new(first: Micros, suspicion: &Suspicion) -> Self {
        WireSuspect {
            subject: suspicion.subject.to_be_bytes(),
            after: units(suspicion.at.saturating_sub(first)),
            flight: units(suspicion.flight),
            cleared: suspicion.cleared,
        }
    }

    fn decode(&self, crash: CrashTag, first: Micros) -> Suspicion {
        Suspicion {
            subject: u64::from_be_bytes(self.subject),
            crash,
            at: first + time(self.after),
            flight: time(self.flight),
            cleared: self.cleared,
        }
    }
}

fn units(span: Micros) -> u32 {
    u32::try_from(span.0 / TIME_UNIT.0).unwrap_or(u32::MAX)
}

fn time(units: u32) -> Micros {
    Micros(u64::from(units) * TIME_UNIT.0)
}
