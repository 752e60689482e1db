//! A fleet of the design size during a rollout: what the telling of streams costs, and which streams
//! can be taken up after gateways are lost.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::begun;
use crate::gateway::peers::wire_streams::StreamMessage;
use crate::gateway::stream_book::{ASKED, BegunStream, HOLDERS, StreamTag, holders};

const GATEWAYS: u64 = 370;
/// New streams a second in the whole fleet, of all services.
const STREAMS_PER_S: u64 = 40_000;
/// Services, of which one is rolled out.
const SERVICES: u64 = 17;
/// Rounds a second, at the end of which streams are told.
const ROUNDS: u64 = 10;
/// Bytes of the headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Bytes a second that a gateway may send and receive for control.
const CONTROL_BYTES: usize = 3_000;

fn gateways() -> Vec<SocketAddr> {
    let hosts = (0..GATEWAYS).map(|host| [10, 0, (host >> 8) as u8, host as u8]);
    hosts.map(|host| (host, 7_400).into()).collect()
}

/// The streams that each gateway begins in a second.
fn streams_of(gateway: u64) -> impl Iterator<Item = u64> {
    let count = STREAMS_PER_S / SERVICES / GATEWAYS + 1;
    let first = gateway << 32;
    // Ids are hashes.
    (0..count).map(move |n| (first + n).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn others(gateways: &[SocketAddr], me: usize) -> impl Iterator<Item = SocketAddr> + '_ {
    let others = gateways.iter().enumerate();
    others
        .filter(move |(at, _)| *at != me)
        .map(|(_, addr)| *addr)
}

#[test]
fn a_rollout_at_the_design_size_costs_less_than_the_control_budget() {
    let gateways = gateways();
    let (mut sent, mut received) = (0, HashMap::<SocketAddr, usize>::new());
    for me in 0..gateways.len() {
        let streams: Vec<u64> = streams_of(me as u64).collect();
        for round in streams.chunks(streams.len().div_ceil(ROUNDS as usize)) {
            let mut told: HashMap<SocketAddr, Vec<BegunStream>> = HashMap::new();
            for &stream in round {
                let holders = holders(StreamTag(stream), others(&gateways, me), HOLDERS);
                for holder in holders {
                    told.entry(holder).or_default().push(begun(stream, 1 << 30));
                }
            }
            for (to, rows) in told {
                let bytes = StreamMessage::tell(&rows).encode().len() + HEADER_BYTES;
                sent += bytes;
                *received.entry(to).or_default() += bytes;
            }
        }
    }
    let sent = sent / gateways.len();
    let most = received.values().max().copied().unwrap_or_default();
    assert!(sent < CONTROL_BYTES / 2, "{sent} bytes a second sent");
    assert!(most < CONTROL_BYTES, "{most} bytes a second received");
}

/// The share of the streams of lost gateways whose version is found by the others, in percent, when
/// every gateway of some has been lost.
fn found_after_losses(lost: impl Fn(usize) -> bool) -> usize {
    let gateways = gateways();
    let alive: HashSet<SocketAddr> = gateways
        .iter()
        .enumerate()
        .filter(|(at, _)| !lost(*at))
        .map(|(_, addr)| *addr)
        .collect();
    let (mut all, mut found) = (0, 0);
    for me in (0..gateways.len()).filter(|&at| lost(at)) {
        for stream in streams_of(me as u64).map(StreamTag) {
            let told = holders(stream, others(&gateways, me), HOLDERS);
            // The lost gateways are still known to the one that asks.
            let asked = holders(stream, gateways.iter().copied(), ASKED);
            let knows = |gateway: &SocketAddr| told.contains(gateway) && alive.contains(gateway);
            all += 1;
            found += usize::from(asked.iter().any(knows));
        }
    }
    100 * found / all
}

#[test]
fn the_streams_of_single_lost_gateways_are_found() {
    assert_eq!(found_after_losses(|at| at % 37 == 0), 100);
}

#[test]
fn most_streams_of_a_lost_zone_are_found() {
    assert!(found_after_losses(|at| at % 5 == 0) > 95);
}
