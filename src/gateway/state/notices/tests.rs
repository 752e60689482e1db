use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::peers::Peers;
use crate::gateway::peers::member::{Member, ZoneTag};
use crate::gateway::peers::rounds::FULL_EVERY;
use crate::gateway::peers::wire::GossipMessage;
use crate::gateway::regions::AllowedZones;
use crate::gateway::retry_budget::RetryLimits;
use crate::gateway::state::GatewayState;
use crate::gateway::targets::Entry;
use crate::units::Micros;

fn addr(host: u8) -> SocketAddr {
    ([127, 0, 0, host], 7_400).into()
}

fn entry(started_at: u64) -> Entry {
    Entry {
        service: "desk".into(),
        addr: addr(200),
        zone: "a".into(),
        slots: 4,
        draining: false,
        version: Some("v1".into()),
        started_at: Some(started_at),
        cold: None,
    }
}

/// A gateway on this host that sends to the next host, and lists run 5 of the target `t0`.
fn gateway(host: u8) -> GatewayState {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 10.0,
        window: Micros::from_secs(10),
    };
    let gateway = GatewayState::new("a", limits);
    let me = Member {
        addr: addr(host),
        zone: ZoneTag::of("a"),
        capacity: 1,
    };
    gateway.with_peers(|peers| *peers = Peers::new(me, [addr(host + 1)].into_iter()));
    gateway.with_targets(|targets| targets.put("t0", entry(5)));
    gateway
}

/// Passes on what one gateway sends in a full round.
fn tell(from: &GatewayState, host: u8, to: &GatewayState) {
    let outgoing = from.gossip_round(FULL_EVERY);
    assert!(!outgoing.is_empty(), "it has somebody to tell");
    for message in outgoing.iter().map(|outgoing| outgoing.message.encode()) {
        let message = GossipMessage::decode(&message).expect("it is a valid message");
        to.receive_gossip(addr(host), &message);
    }
}

fn is_leaving(gateway: &GatewayState) -> bool {
    let now = gateway.clock.now();
    gateway.with_targets(|targets| {
        let target = targets.by_id("t0").expect("it is listed");
        target.notices.is_leaving(now)
    })
}

/// Guards against notices that only the gateways next to the one that got them hear of, for example in
/// a fleet with aggregators.
#[tokio::test(start_paused = true)]
async fn a_gateway_passes_on_that_a_target_is_leaving() {
    let [first, second, third] = [1, 2, 3].map(gateway);
    first.record_leaving(&"t0".into(), &entry(5));
    tell(&first, 1, &second);
    tell(&second, 2, &third);
    assert!(is_leaving(&second) && is_leaving(&third));
}

/// Guards against gateways that take another run of a target for the one that is leaving, and against
/// a notice that is lost because its receiver did not list the run yet.
#[tokio::test(start_paused = true)]
async fn a_gateway_applies_what_it_hears_to_the_run_that_is_leaving() {
    let [first, second] = [1, 2].map(gateway);
    first.record_leaving(&"t0".into(), &entry(5));
    second.with_targets(|targets| targets.put("t0", entry(6)));
    tell(&first, 1, &second);
    assert!(!is_leaving(&second));
    second.with_targets(|targets| targets.put("t0", entry(5)));
    tell(&first, 1, &second);
    assert!(is_leaving(&second));
}

/// Guards against pauses, which a target asks of one gateway, that others keep to.
#[tokio::test(start_paused = true)]
async fn a_pause_is_not_told_to_other_gateways() {
    let [first, second] = [1, 2].map(gateway);
    first.record_pause(&"t0".into(), &entry(5), Duration::from_secs(10));
    tell(&first, 1, &second);
    assert_eq!(
        first.pause_of_all("desk", &AllowedZones::All),
        Some(Micros::from_secs(10))
    );
    assert_eq!(second.pause_of_all("desk", &AllowedZones::All), None);
}
