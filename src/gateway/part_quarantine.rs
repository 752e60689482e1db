//! Finds the prompt parts that crash engines, and quarantines them.
//!
//! Protects against requests that are all different but share a part that crashes each engine which
//! begins to answer it. An engine that crashes takes sound requests down with it, and a crashing
//! request shares its account and its other parts with sound ones. What tells the parts apart:
//!
//! - A part is suspected in a crash if a request that holds it was at the engine and had not begun
//!   to be answered.
//! - A request that was sent after a crash and begins to be answered clears its parts of that crash
//!   and of those before it, because a crashing part never begins. A part that becomes harmful later
//!   is suspected anew.
//! - A part is quarantined after [`MAX_CRASHES`] crashes. If many engines fail at once, most parts
//!   are suspected several times at the same moment, which says nothing; at least one of the
//!   requests has to be sent after the first of these crashes.
//! - Crashes that a more often suspected part explains do not count against another part.
//! - Parts that are suspected in exactly the same crashes cannot be told apart yet. Only requests
//!   that hold all of them are refused, so that a sound part is soon cleared.
//!
//! Gateways exchange their suspicions; merging them is commutative and idempotent. The last part of
//! a prompt belongs to one request or session only and is not considered.
//!
//! Performs no I/O.

pub mod begun;
mod verdict;

use std::collections::HashMap;

use rustc_hash::FxBuildHasher;

use crate::gateway::crash_tracker::BrokenRequest;
use crate::gateway::evidence::{CrashTag, Due, Evidence, MAX_CRASHES, Selection, Suspicion};
use crate::gateway::part_quarantine::begun::BegunParts;
use crate::gateway::part_quarantine::verdict::Verdict;
use crate::units::Micros;

/// Time after a part has begun at this gateway in which it is not quarantined, whenever that
/// request was sent.
const BEGUN_GRACE: Micros = Micros::from_ms(500);
/// Maximum number of parts suspected by one gateway in one crash.
const MAX_PARTS_PER_CRASH: usize = 512;

/// A change of the parts in quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests that hold all of these parts are refused.
    Added(Vec<u64>),
    /// They are not refused any longer.
    Removed(Vec<u64>),
}

/// The suspected parts of this gateway and its peers.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    evidence: Evidence,
    begun: BegunParts,
    verdict: Verdict,
    /// Whether the verdict has to be computed again.
    outdated: bool,
    changes: Vec<QuarantineChange>,
}

impl PartQuarantine {
    /// Records a crash with the requests whose connections broke off.
    pub fn record_crash(&mut self, now: Micros, crash: CrashTag, requests: &[BrokenRequest]) {
        for (part, sent) in self.waiting_parts(requests) {
            let suspicion = Suspicion {
                subject: part,
                crash,
                at: now,
                flight: now.saturating_sub(sent),
                cleared: false,
            };
            self.insert(now, suspicion, true);
        }
    }

    /// The parts of the requests that had not begun, each with the time at which the last of its
    /// requests was sent. Of too many parts, those that have been suspected before matter most.
    fn waiting_parts(&self, requests: &[BrokenRequest]) -> Vec<(u64, Micros)> {
        let mut parts: HashMap<u64, Micros, FxBuildHasher> = HashMap::default();
        for request in requests.iter().filter(|request| !request.began) {
            for &part in &request.parts {
                let sent = parts.entry(part).or_default();
                *sent = request.sent.max(*sent);
            }
        }
        let mut parts: Vec<(u64, Micros)> = parts.into_iter().collect();
        parts.sort_by_key(|(part, _)| !self.evidence.contains(*part));
        parts.truncate(MAX_PARTS_PER_CRASH);
        parts
    }

    /// Records that a request with these shared parts, sent at `sent`, has begun to be answered.
    pub fn record_begin(&mut self, now: Micros, sent: Micros, parts: impl Iterator<Item = u64>) {
        for part in parts {
            self.begun.record(now, part, sent);
            self.outdated |= self.evidence.clear(part, sent) >= MAX_CRASHES;
        }
    }

    /// Returns the remaining quarantine of a prompt with these shared parts; `None` if it may be
    /// sent.
    pub fn remaining(
        &mut self,
        now: Micros,
        parts: impl Iterator<Item = u64> + Clone,
    ) -> Option<Micros> {
        self.refresh(now);
        let until = self.verdict.until(parts, |part| {
            self.begun.seen_since(part, now.saturating_sub(BEGUN_GRACE))
        })?;
        (until > now).then(|| until - now)
    }

    /// Merges what another gateway suspects.
    pub fn merge(&mut self, now: Micros, suspicions: impl Iterator<Item = Suspicion>) {
        for suspicion in suspicions {
            self.insert(now, suspicion, false);
        }
    }

    /// Returns the suspicions to send in a message: what has changed recently, and those of the parts
    /// in quarantine for as long as they count.
    pub fn to_send(&mut self, now: Micros, selection: Selection) -> Due {
        self.refresh(now);
        let verdict = &self.verdict;
        self.evidence
            .to_send(now, selection, |part, _| verdict.contains(part))
    }

    /// Returns the changes of the quarantine since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Adds a suspicion, or merges it with the known one of the same part and crash.
    fn insert(&mut self, now: Micros, mut new: Suspicion, mut own: bool) {
        let has_begun = self.begun.sent_after(new.subject, new.at);
        new.cleared |= has_begun;
        own |= has_begun;
        let verdict = &self.verdict;
        let known = self
            .evidence
            .insert(now, new, own, |part| verdict.contains(part));
        self.outdated |= known >= MAX_CRASHES;
    }

    /// Computes the verdict again if anything has changed or a suspicion has expired.
    fn refresh(&mut self, now: Micros) {
        if !self.outdated && now < self.verdict.valid_until() {
            return;
        }
        self.outdated = false;
        let verdict = Verdict::new(self.evidence.by_subject(now));
        let old = std::mem::replace(&mut self.verdict, verdict);
        let added = self.verdict.groups_missing_in(&old);
        let removed = old.groups_missing_in(&self.verdict);
        let added = added.map(QuarantineChange::Added);
        let removed = removed.map(QuarantineChange::Removed);
        self.changes.extend(added.chain(removed));
    }
}

#[cfg(test)]
mod tests;
