//! Tells the other gateways what goes on here, several times a second, and hears them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::gateway::directory::Directory;
use crate::gateway::peers::wire::{GossipMessage, MAX_DATAGRAM_BYTES};
use crate::gateway::peers::{PeerState, handover};
use crate::gateway::state::GatewayState;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(100);
/// One round of so many also tells what client accounts ask for and get, and other gateways.
const WHOLE_EVERY: u64 = 2;
/// Time between two looks for a newer configuration.
const CONFIG_LOOK: Duration = Duration::from_millis(200);

/// Tells and hears other gateways, for ever. `me` is this one's address.
pub async fn run(socket: UdpSocket, gateway: Arc<GatewayState>, me: SocketAddr) {
    let boot: u64 = rand::random();
    let mut rounds = tokio::time::interval(ROUND);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut round = 0;
    loop {
        tokio::select! {
            _ = rounds.tick() => {
                round += 1;
                tell(&socket, &gateway, boot, round % WHOLE_EVERY == 0).await;
            }
            received = socket.recv_from(&mut buffer) => {
                // An error here is of an earlier datagram: its host was unreachable.
                let Ok((length, from)) = received else { continue };
                let Ok(hello) = GossipMessage::decode(&buffer[..length]) else { continue };
                if hello.boot != boot {
                    hear(&gateway, from, me, &hello);
                }
            }
        }
    }
}

async fn tell(socket: &UdpSocket, gateway: &GatewayState, boot: u64, whole: bool) {
    let (hello, round) = gateway.gossip_round(GossipMessage::new(boot), whole);
    let data = hello.encode();
    for peer in round {
        // A datagram that is lost is followed by the next round's.
        let _ = socket.send_to(&data, peer).await;
    }
}

fn hear(gateway: &GatewayState, from: SocketAddr, me: SocketAddr, hello: &GossipMessage) {
    let now = gateway.clock.now();
    if let Some(rows) = hello.usage() {
        gateway.with_shares(|fair| fair.set_peer_usage(now, hello.boot, rows));
    }
    if !hello.crashes.is_empty() {
        gateway.with_crashes(|crashes| crashes.merge(now, &hello.crashes));
    }
    gateway.with_peers(|peers| {
        peers.update(now, from, PeerState::from(hello));
        for &other in &hello.peers {
            peers.add_candidate(other, me);
        }
    });
    gateway.update_peer_load(now);
}

/// Takes newer configurations from the gateways that have them, for ever.
pub async fn take_configs<D: Directory>(gateway: Arc<GatewayState>, directory: D) {
    loop {
        tokio::time::sleep(CONFIG_LOOK).await;
        take_newer(&gateway, &directory).await;
    }
}

async fn take_newer<D: Directory>(gateway: &GatewayState, directory: &D) {
    let version = gateway.config().version;
    let Some(peer) = gateway.with_peers(|peers| peers.with_newer_config(version)) else {
        return;
    };
    match handover::config(peer).await {
        Ok(raw) => match directory.decode(raw) {
            Some(config) => {
                let version = config.version;
                let newer = gateway.apply_config(config);
                spdlog::info!("configuration handed over", kv: {
                    peer: = peer, version = version, in_force = newer
                });
            }
            None => {
                spdlog::error!("could not read a gateway's configuration", kv: { peer: = peer })
            }
        },
        Err(error) => {
            let error = format!("{error:#}");
            spdlog::warn!("could not take a configuration", kv: { peer: = peer, error: = error });
        }
    }
}
