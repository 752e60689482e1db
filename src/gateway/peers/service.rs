//! Sends this gateway's state to its peers several times a second, and receives theirs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::gateway::directory::Directory;
use crate::gateway::overload::SAMPLE_INTERVAL;
use crate::gateway::peers::handover;
use crate::gateway::peers::rounds::Outgoing;
use crate::gateway::peers::wire::{GossipMessage, MAX_DATAGRAM_BYTES};
use crate::gateway::peers::wire_streams::StreamMessage;
use crate::gateway::request_log;
use crate::gateway::state::GatewayState;

/// Pause after a newer configuration could not be fetched.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Exchanges gossip messages with peers, in rounds whose lateness is the measure of this process's
/// overload. Never returns.
pub async fn run(socket: Arc<UdpSocket>, gateway: Arc<GatewayState>) {
    let mut rounds = tokio::time::interval(SAMPLE_INTERVAL.into());
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut round = 0;
    loop {
        tokio::select! {
            due = rounds.tick() => {
                gateway.record_lag(due.elapsed().into());
                round += 1;
                send_round(&socket, &gateway, round).await;
                send_stream_messages(&socket, &gateway).await;
                request_log::quarantine_changes(&gateway);
            }
            () = gateway.stream_sends.notified() => {
                send_stream_messages(&socket, &gateway).await;
            }
            received = socket.recv_from(&mut buffer) => {
                // An error here concerns an earlier datagram to an unreachable host.
                let Ok((length, from)) = received else { continue };
                let data = &buffer[..length];
                if let Ok(message) = StreamMessage::decode(data) {
                    answer(&socket, &gateway, &message, from).await;
                    continue;
                }
                let Ok(message) = GossipMessage::decode(data) else { continue };
                if message.boot != gateway.boot {
                    gateway.receive_gossip(from, &message);
                    gateway.reports.notify_waiters();
                }
            }
        }
    }
}

async fn send_round(socket: &UdpSocket, gateway: &GatewayState, round: u64) {
    for Outgoing { message, to } in gateway.gossip_round(round) {
        let data = message.encode();
        for peer in to {
            // Errors are ignored: the next round replaces a lost datagram.
            let _ = socket.send_to(&data, peer).await;
        }
    }
}

/// Sends the messages on streams that are due.
async fn send_stream_messages(socket: &UdpSocket, gateway: &GatewayState) {
    for (peer, message) in gateway.take_stream_messages() {
        // Errors are ignored: a stream is told to several gateways, and questions are repeated.
        let _ = socket.send_to(&message.encode(), peer).await;
    }
}

/// Processes a message on streams and answers the questions in it.
async fn answer(
    socket: &UdpSocket,
    gateway: &GatewayState,
    message: &StreamMessage,
    from: SocketAddr,
) {
    if let Some(answer) = gateway.receive_streams(message) {
        // Errors are ignored: questions are repeated.
        let _ = socket.send_to(&answer.encode(), from).await;
    }
}

/// Fetches newer configurations from the peers that have them. Never returns.
pub async fn sync_configs<D: Directory>(gateway: Arc<GatewayState>, directory: D) {
    loop {
        gateway.reports.notified().await;
        if !fetch_newer(&gateway, &directory).await {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Fetches a newer configuration if a peer has one. Returns `false` if that failed.
async fn fetch_newer<D: Directory>(gateway: &GatewayState, directory: &D) -> bool {
    let version = gateway.config().version;
    let now = gateway.clock.now();
    let Some(peer) = gateway.with_peers(|peers| peers.newer_config_peer(now, version)) else {
        return true;
    };
    match handover::fetch_config(peer).await {
        Ok(raw) => match directory.decode(raw) {
            Some(config) => {
                let version = config.version;
                let newer = gateway.apply_config(config);
                spdlog::info!("configuration handed over", kv: {
                    peer: = peer, version = version, in_force = newer
                });
                true
            }
            None => {
                spdlog::error!("could not decode a peer's configuration", kv: { peer: = peer });
                false
            }
        },
        Err(error) => {
            let error = format!("{error:#}");
            spdlog::warn!("could not fetch a configuration from a peer", kv: {
                peer: = peer, error: = error,
            });
            false
        }
    }
}
