//! Finds the requests that crash the targets that run them, and quarantines them.
//!
//! Load pattern: a request that crashes each target that runs it is sent again and again, each time
//! to another gateway, beside a hundred harmless requests at each target. It is refused once all
//! gateways together have seen [`evidence::MAX_CRASHES`] crashes with it in flight.
//!
//! - A request is suspected in a crash if it was in flight at the target.
//! - A complete answer clears it of all crashes up to then, and of those a moment later: a request
//!   that many callers send is answered elsewhere while one of its targets fails.
//! - At least one of its runs has to be sent after the first of the crashes.
//!
//! Performs no I/O.

use std::collections::VecDeque;

use crate::claim::Digest;
use crate::gateway::crash_tracker::BrokenRequest;
use crate::gateway::evidence::{self, CrashTag, Due, Evidence, Selection, Suspicion};
use crate::units::Micros;

/// A request that is answered is not suspected in crashes for this long.
const ANSWER_GRACE: Micros = Micros::from_secs(1);
/// Time for which an answer is remembered: until other gateways have reported the crashes before it.
const ANSWER_TTL: Micros = Micros::from_secs(3);
/// Maximum number of answers that are remembered.
const MAX_ANSWERS: usize = 4_096;
/// Number of crashes from which on a suspicion is sent for as long as it counts.
const STANDING_CRASHES: usize = 2;

/// The suspected requests of this gateway and its peers.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    evidence: Evidence,
    answers: VecDeque<(Micros, u64)>,
}

impl RequestQuarantine {
    /// Records a crash with the requests that were in flight at the target.
    pub fn record_crash(&mut self, now: Micros, crash: CrashTag, requests: &[BrokenRequest]) {
        for request in requests {
            let suspicion = Suspicion {
                subject: subject_of(request.digest),
                crash,
                at: request.broken,
                flight: request.broken.saturating_sub(request.sent),
                cleared: false,
            };
            self.insert(now, suspicion, true);
        }
    }

    /// Records that a request was answered in full.
    pub fn record_answer(&mut self, now: Micros, digest: Digest) {
        let subject = subject_of(digest);
        let old = |&(at, _): &(Micros, u64)| now.saturating_sub(at) > ANSWER_TTL;
        while self.answers.len() >= MAX_ANSWERS || self.answers.front().is_some_and(old) {
            self.answers.pop_front();
        }
        self.answers.push_back((now, subject));
        self.evidence.clear(subject, now + ANSWER_GRACE);
    }

    /// Returns the remaining quarantine of a request; `None` if it may be sent.
    pub fn remaining(&self, now: Micros, digest: Digest) -> Option<Micros> {
        let counted = self.evidence.of_subject(now, subject_of(digest));
        let until = evidence::is_sufficient(&counted).then(|| evidence::expiry(&counted))?;
        (until > now).then(|| until - now)
    }

    /// Number of crashes that count against a request.
    pub fn crashes(&self, now: Micros, digest: Digest) -> usize {
        self.evidence.of_subject(now, subject_of(digest)).len()
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Merges what another gateway suspects.
    pub fn merge(&mut self, now: Micros, suspicions: impl Iterator<Item = Suspicion>) {
        for suspicion in suspicions {
            self.insert(now, suspicion, false);
        }
    }

    /// Returns the suspicions to send in a message: what has changed recently, and the requests that
    /// were in flight at several crashes for as long as these count.
    pub fn to_send(&mut self, now: Micros, selection: Selection) -> Due {
        self.evidence
            .to_send(now, selection, |_, counted| counted >= STANDING_CRASHES)
    }

    fn insert(&mut self, now: Micros, mut new: Suspicion, mut own: bool) {
        let answered =
            |&(at, subject): &(Micros, u64)| subject == new.subject && new.at < at + ANSWER_GRACE;
        if !self.evidence.knows(new.subject, new.crash) {
            let is_answered = self.answers.iter().any(answered);
            new.cleared |= is_answered;
            own |= is_answered;
        }
        self.evidence.insert(now, new, own, |_| false);
    }
}

/// The subject of the suspicions against a request.
fn subject_of(digest: Digest) -> u64 {
    let half = digest.0.first_chunk().expect("a digest has 16 bytes");
    u64::from_be_bytes(*half)
}

#[cfg(test)]
mod tests;
