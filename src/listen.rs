//! Binds listening sockets and accepts connections; used by every process of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Delay before `accept` is retried after an error, which is usually that too many file descriptors
/// are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a TCP listener. `clients` says in the error message who connects to it.
///
/// # Errors
/// Returns an error if the listener cannot be bound to the address.
pub async fn tcp(address: SocketAddr, clients: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen for {clients} on {address}"))
}

/// Binds a UDP socket. `clients` says in the error message who sends to it.
///
/// # Errors
/// Returns an error if the socket cannot be bound to the address.
pub async fn udp(address: SocketAddr, clients: &str) -> anyhow::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .with_context(|| format!("could not listen for datagrams from {clients} on {address}"))
}

/// Accepts the next connection. Retries after errors until one is accepted.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
