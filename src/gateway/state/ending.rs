//! The grace period of a gateway that shuts down.

use std::time::Duration;

use tokio_util::sync::{WaitForCancellationFuture, WaitForCancellationFutureOwned};

use crate::gateway::grace;
use crate::gateway::request::ClientRequest;
use crate::gateway::state::GatewayState;

impl GatewayState {
    /// Starts the grace period, at whose end running requests are cut.
    pub fn begin_grace(&self, grace: Duration) {
        let end = self.clock.now() + grace.into();
        self.lock().grace_end = Some(end);
    }

    /// Ends the grace period.
    pub fn end_grace(&self) {
        self.grace_over.cancel();
    }

    /// Waits for the end of the grace period.
    pub fn grace_over(&self) -> WaitForCancellationFuture<'_> {
        self.grace_over.cancelled()
    }

    /// As [`GatewayState::grace_over`], for a future that outlives the borrow.
    pub fn grace_over_owned(&self) -> WaitForCancellationFutureOwned {
        self.grace_over.clone().cancelled_owned()
    }

    /// Whether a request that is sent now can be expected to end before this gateway does.
    pub fn ends_in_grace(&self, request: &ClientRequest) -> bool {
        let state = self.lock();
        let Some(end) = state.grace_end else {
            return true;
        };
        let now = self.clock.now();
        let remaining = request.deadline().saturating_sub(now);
        let needed = state.times.needed(&request.route.name, remaining);
        grace::ends_in_time(now, end, needed)
    }
}
