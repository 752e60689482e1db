//! A gateway of the model: its view and the targets that it uses.

use std::collections::BTreeSet;

use super::STEP_MS;
use crate::gateway::list_view::availability::Confirmed;
use crate::gateway::list_view::{Effect, ListView, Origin};
use crate::gateway::position::{Era, Position};
use crate::units::Micros;

#[derive(Default)]
pub struct Gateway {
    pub view: ListView,
    pub used: BTreeSet<String>,
    /// All targets that it has used since its start.
    pub known: BTreeSet<String>,
    /// Targets that it had used and no longer did, after they were removed for good.
    pub dropped: BTreeSet<String>,
    pub position: Option<Position>,
    /// Step at which it has learned of the last restore.
    pub era_since: u64,
    pub cut_until: u64,
    pub store_cut: u64,
    pub frozen_until: u64,
    /// Step of the start, or of the end of the last disturbance.
    pub undisturbed_since: u64,
    /// What it has told last: its confirmed span, if it was in touch with the store.
    pub told: Option<Confirmed>,
}

impl Gateway {
    pub fn enter_era(&mut self, now: Micros, era: Era, proven_from: u64) {
        let before = self.view.complete_to().era;
        self.view.enter_era(now, era, proven_from);
        if era > before {
            self.era_since = now.0 / Micros::from_ms(STEP_MS).0;
        }
    }

    /// Merges an entry, unless it takes back what was known before a restore.
    pub fn list(&mut self, id: &str, position: Position, origin: Origin) -> Effect {
        match self.is_taken_back(id, position) {
            true => Effect::Ignore,
            false => self.view.list(id, position, origin),
        }
    }

    pub fn keep(&mut self, now: Micros, id: &str, position: Position, left: Micros) -> Effect {
        match self.is_taken_back(id, position) {
            true => Effect::Ignore,
            false => self.view.keep(now, id, position, left),
        }
    }

    pub fn is_taken_back(&self, id: &str, position: Position) -> bool {
        !self.used.contains(id) && self.view.is_unproven(id, position)
    }

    pub fn merge_unlisted(&mut self, now: Micros, listed: &BTreeSet<String>, end: Position) {
        for id in self.used.clone().difference(listed) {
            let effect = self.view.remove_unlisted(now, id, end);
            self.apply(id, effect);
        }
    }

    pub fn apply(&mut self, id: &str, effect: Effect) {
        match effect {
            Effect::Put => {
                self.used.insert(id.to_owned());
                self.known.insert(id.to_owned());
            }
            Effect::Remove => drop(self.used.remove(id)),
            Effect::Keep | Effect::Ignore => {}
        }
    }
}
