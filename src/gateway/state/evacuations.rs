//! The evacuated zones, as this gateway knows them.

use crate::gateway::restrictions::evacuations::{self, Evacuations};
use crate::gateway::state::{GatewayState, State};
use crate::telemetry::Gauge;
use crate::units::Micros;

impl GatewayState {
    /// Returns the set of evacuated zones.
    pub fn evacuations(&self) -> Evacuations {
        self.lock().evacuations.clone()
    }

    /// Takes over a version of the set of evacuated zones unless this gateway knows a newer one, and
    /// logs the zones that it changes.
    pub fn merge_evacuations(&self, newer: Evacuations) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(before) = state.evacuations.merge(now, newer) {
            self.apply_evacuations(&mut state, &before);
        }
    }

    /// Ends the evacuations that were known before a restore of the platform's lists and have not been
    /// written again for long.
    pub(super) fn end_carried_evacuations(&self, state: &mut State, now: Micros) {
        if let Some(before) = state.evacuations.expire_carried(now) {
            self.apply_evacuations(state, &before);
        }
    }

    /// Applies that the set of evacuated zones has replaced `before`.
    fn apply_evacuations(&self, state: &mut State, before: &Evacuations) {
        if before.zones().ne(state.evacuations.zones()) {
            self.assume_cold(state, before);
            self.metrics()
                .set_gauge(Gauge::EvacuatedZones, state.evacuations.len() as i64);
            evacuations::log_changes(before, &state.evacuations, &state.targets);
        }
    }
}
