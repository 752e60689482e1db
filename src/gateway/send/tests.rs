use std::time::Duration;

use tokio::time::advance;

use super::last_look;
use crate::gateway::peers::member::ZoneTag;
use crate::gateway::request::tests::{config, request};
use crate::gateway::restrictions::evacuations::Evacuations;
use crate::gateway::retry::Failure;
use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::Entry;
use crate::units::Micros;

fn entry(draining: bool) -> Entry {
    Entry {
        service: "desk".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        zone: "a".into(),
        slots: 4,
        draining,
        started_at: Some(1),
        cold: None,
    }
}

/// A gateway with the target `t0`.
fn gateway() -> GatewayState {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: Micros::from_secs(10),
    };
    let gateway = GatewayState::new("a", limits);
    gateway.apply_config(config(1, "/read/", "desk", "school-key"));
    gateway.with_targets(|targets| targets.put("t0", entry(false)));
    gateway
}

/// What becomes of a request if this happens between the choice of its target and its sending.
macro_rules! last_looks {
    ($($name:ident: $event:expr => $result:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let (gateway, request) = (gateway(), request());
            let target = gateway.with_targets(|targets| targets.of_service("desk")[0]);
            let event: fn(&GatewayState) -> Duration = $event;
            advance(event(&gateway)).await;
            assert_eq!(last_look(&gateway, &request, target), $result);
        }
    )*};
}

last_looks! {
    nothing_happens: |_| Duration::ZERO => Ok(());
    its_deadline_passes: |_| Duration::from_millis(800) => Err(Failure::Withdrawn);
    its_target_drains: |gateway| {
        gateway.with_targets(|targets| targets.put("t0", entry(true)));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    its_target_is_removed: |gateway| {
        gateway.with_targets(|targets| targets.remove("t0"));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    its_zone_is_evacuated: |gateway| {
        gateway.merge_evacuations(Evacuations::new(1, [ZoneTag::of("a")].into_iter()));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
    its_route_is_removed: |gateway| {
        gateway.apply_config(config(2, "/other/", "desk", "school-key"));
        Duration::ZERO
    } => Err(Failure::Withdrawn);
}
