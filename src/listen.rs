//! Listening on addresses, alike in all processes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Pause after the system could not accept a connection: it has too many open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for connections of `whom`.
///
/// # Errors
/// When the address cannot be used.
pub async fn tcp(address: SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen for {whom} on {address}"))
}

/// Listens for datagrams of `whom`.
///
/// # Errors
/// When the address cannot be used.
pub async fn udp(address: SocketAddr, whom: &str) -> anyhow::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .with_context(|| format!("could not listen for datagrams of {whom} on {address}"))
}

/// The next connection; waits while the system cannot accept any.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
