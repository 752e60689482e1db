//! Sends this gateway's state to its peers several times a second, and receives theirs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::gateway::directory::Directory;
use crate::gateway::peers::wire::{GossipMessage, MAX_DATAGRAM_BYTES};
use crate::gateway::peers::{PeerState, handover};
use crate::gateway::state::GatewayState;

/// Time between two gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// One message in this many is full: it also carries the usage of client accounts, crashes and peer
/// addresses. The others carry load only.
const FULL_EVERY: u64 = 2;
/// Time between two checks for a newer configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(200);

/// Exchanges gossip messages with peers. `me` is this gateway's own address. Never returns.
pub async fn run(socket: UdpSocket, gateway: Arc<GatewayState>, me: SocketAddr) {
    let boot: u64 = rand::random();
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut round = 0;
    loop {
        tokio::select! {
            _ = rounds.tick() => {
                round += 1;
                send_round(&socket, &gateway, boot, round % FULL_EVERY == 0).await;
            }
            received = socket.recv_from(&mut buffer) => {
                // An error here concerns an earlier datagram to an unreachable host.
                let Ok((length, from)) = received else { continue };
                let Ok(message) = GossipMessage::decode(&buffer[..length]) else { continue };
                if message.boot != boot {
                    receive(&gateway, from, me, &message);
                }
            }
        }
    }
}

async fn send_round(socket: &UdpSocket, gateway: &GatewayState, boot: u64, full: bool) {
    let (message, recipients) = gateway.gossip_round(GossipMessage::new(boot), full);
    let data = message.encode();
    for peer in recipients {
        // Errors are ignored: the next round replaces a lost datagram.
        let _ = socket.send_to(&data, peer).await;
    }
}

fn receive(gateway: &GatewayState, from: SocketAddr, me: SocketAddr, message: &GossipMessage) {
    let now = gateway.clock.now();
    if let Some(usage) = message.usage() {
        gateway.with_shares(|shares| shares.set_peer_usage(now, message.boot, usage));
    }
    if !message.crashes.is_empty() {
        gateway.with_crashes(|crashes| crashes.merge(now, &message.crashes));
    }
    gateway.with_peers(|peers| {
        peers.update(now, from, PeerState::from(message));
        for &other in &message.peers {
            peers.add_candidate(other, me);
        }
    });
    gateway.update_peer_load(now);
}

/// Fetches newer configurations from the peers that have them. Never returns.
pub async fn sync_configs<D: Directory>(gateway: Arc<GatewayState>, directory: D) {
    loop {
        tokio::time::sleep(CONFIG_INTERVAL).await;
        fetch_newer(&gateway, &directory).await;
    }
}

async fn fetch_newer<D: Directory>(gateway: &GatewayState, directory: &D) {
    let version = gateway.config().version;
    let Some(peer) = gateway.with_peers(|peers| peers.newer_config_peer(version)) else {
        return;
    };
    match handover::fetch_config(peer).await {
        Ok(raw) => match directory.decode(raw) {
            Some(config) => {
                let version = config.version;
                let newer = gateway.apply_config(config);
                spdlog::info!("configuration handed over", kv: {
                    peer: = peer, version = version, in_force = newer
                });
            }
            None => {
                spdlog::error!("could not decode a peer's configuration", kv: { peer: = peer })
            }
        },
        Err(error) => {
            let error = format!("{error:#}");
            spdlog::warn!("could not fetch a configuration from a peer", kv: {
                peer: = peer, error: = error,
            });
        }
    }
}
