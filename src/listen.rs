//! Binding of listening sockets, shared by all processes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Pause after a failed `accept`, usually caused by too many open file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a TCP listener. `clients` names those who connect, for the error message.
///
/// # Errors
/// When the address cannot be used.
pub async fn tcp(address: SocketAddr, clients: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen for {clients} on {address}"))
}

/// Binds a UDP socket. `clients` names those who send to it, for the error message.
///
/// # Errors
/// When the address cannot be used.
pub async fn udp(address: SocketAddr, clients: &str) -> anyhow::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .with_context(|| format!("could not listen for datagrams of {clients} on {address}"))
}

/// Accepts the next connection, retrying after errors.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
