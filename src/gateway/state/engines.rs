//! What the settings and the configuration allow of the abilities of model inference engines.

use std::net::SocketAddr;

use crate::gateway::prefix_transfer::TransferRate;
use crate::gateway::regions::AllowedZones;
use crate::gateway::reservation::ReservationContext;
use crate::gateway::state::{GatewayState, State};
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

impl GatewayState {
    /// Returns the address of a target from which others may fetch cached prompts now; `None` if it is
    /// not listed, may not be sent requests, or is paused after failures.
    pub fn source_addr(&self, key: TargetKey) -> Option<SocketAddr> {
        let now = self.clock.now();
        let state = self.lock();
        let target = state.targets.get(key)?;
        let is_usable = state.restriction(target, now).is_none() && target.load.paused_until <= now;
        is_usable.then_some(target.entry.addr)
    }

    /// Whether room may be reserved at a target: a reservation is one more request to it, which one
    /// that is cold or names a limit should not get.
    pub fn may_reserve_at(&self, key: TargetKey) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.targets.get(key).is_some_and(|target| {
            let is_limited = target.limit.rate(now).is_some() || target.cold.is_cold(now);
            !is_limited && state.restriction(target, now).is_none()
        })
    }

    /// Returns how fast the engines of a service fetch cached prompts from each other; `None` if they
    /// cannot, or the settings do not allow it.
    pub(super) fn transfer_rate(&self, service: &str) -> Option<TransferRate> {
        let engine = self.config.load().service(service)?.engine?;
        engine.transfer.filter(|_| self.engines.fetch)
    }

    /// Returns what decides on reservations at a service's targets in these zones.
    pub(super) fn reservation_context(
        &self,
        state: &State,
        service: &str,
        zones: &AllowedZones,
    ) -> ReservationContext {
        let config = self.config.load();
        let engine = config.service(service).and_then(|service| service.engine);
        let max_ttl = engine.and_then(|engine| engine.max_reservation);
        let max_ttl = max_ttl.filter(|_| self.engines.reserve);
        ReservationContext {
            max_ttl,
            tightest_objective: config.tightest_objective(service).unwrap_or_default(),
            backlog: match max_ttl {
                Some(_) => self.mean_backlog_of(state, service, zones),
                None => Micros::ZERO,
            },
        }
    }
}
