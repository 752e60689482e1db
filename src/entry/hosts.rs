//! Polls the platform's host list for hosts that are leaving.

use std::collections::HashSet;
use std::time::Duration;

use xtra::Address;

use crate::entry::dispatcher::Dispatcher;
use crate::entry::messages::HostsLeaving;
use crate::log::{HostState, Hosts};
use crate::telemetry::{Event, Telemetry};

/// Time between two reads of the host list.
pub const HOSTS_PERIOD: Duration = Duration::from_secs(1);

/// Polls the list until the dispatcher stops. After a failed read, the list from the last
/// successful read stays in effect.
pub async fn follow<H: Hosts>(platform: H, dispatcher: Address<Dispatcher>, telemetry: Telemetry) {
    let mut ticks = tokio::time::interval(HOSTS_PERIOD);
    while dispatcher.is_connected() {
        ticks.tick().await;
        let Ok(hosts) = platform.hosts().await else {
            telemetry.metrics().event(Event::HostsFailure);
            continue;
        };
        let leaving = hosts.iter().filter(|h| h.state == HostState::Leaving);
        let leaving: HashSet<_> = leaving.map(|h| h.addr).collect();
        if dispatcher.send(HostsLeaving(leaving)).await.is_err() {
            return;
        }
    }
}
