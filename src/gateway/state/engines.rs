//! What the settings and the configuration allow of the abilities of model inference engines.

use std::net::SocketAddr;

use crate::gateway::prefix_transfer::TransferRate;
use crate::gateway::regions::AllowedZones;
use crate::gateway::request::ClientRequest;
use crate::gateway::reservation::ReservationContext;
use crate::gateway::state::{GatewayState, State};
use crate::gateway::targets::TargetKey;
use crate::units::Micros;

impl GatewayState {
    /// Returns the address of a target from which another one may fetch the cached prefix of a request
    /// now; `None` if it is not listed, may not be sent the request itself, or is paused after failures.
    pub fn source_addr(&self, request: &ClientRequest, key: TargetKey) -> Option<SocketAddr> {
        if !self.allows_region(&self.config(), request, key) {
            return None;
        }
        let now = self.clock.now();
        let state = self.lock();
        let target = state.targets.get(key)?;
        let is_usable = state.restriction(target, now).is_none() && target.load.paused_until <= now;
        is_usable.then_some(target.entry.addr)
    }

    /// Whether a target is listed and may be asked for reservations now.
    pub fn takes_reservations(&self, key: TargetKey) -> bool {
        let now = self.clock.now();
        let taken = self.with_target(key, |target| target.takes_reservations(now));
        taken == Some(true)
    }

    /// Returns how fast the engines of a service fetch cached prompts from each other; `None` if they
    /// cannot, or the settings do not allow it.
    pub(super) fn transfer_rate(&self, service: &str) -> Option<TransferRate> {
        let engine = self.config.load().service(service)?.engine?;
        engine.transfer.filter(|_| self.engines.fetch)
    }

    /// Returns what decides on reservations of a prompt at a service's targets in these zones.
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
