//! Binds listening sockets and accepts connections; used by every process of the fleet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Delay before `accept` is retried after an error, which is usually that too many file descriptors
/// are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted, as with [`TcpListener::bind`].
const BACKLOG: u32 = 1_024;

/// Binds a TCP listener. `clients` says in the error message who connects to it.
///
/// # Errors
/// Returns an error if the listener cannot be bound to the address.
pub async fn tcp(address: SocketAddr, clients: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen for {clients} on {address}"))
}

/// As [`tcp`]. The kernel keeps at most about `send_buffer` bytes of what a client does not read;
/// accepted connections inherit this from the listener.
///
/// # Errors
/// Returns an error if the listener cannot be bound to the address.
pub async fn tcp_bounded(
    address: SocketAddr,
    clients: &str,
    send_buffer: Option<u32>,
) -> anyhow::Result<TcpListener> {
    match send_buffer {
        Some(bytes) => bind(address, bytes)
            .with_context(|| format!("could not listen for {clients} on {address}")),
        None => tcp(address, clients).await,
    }
}

fn bind(address: SocketAddr, send_buffer: u32) -> io::Result<TcpListener> {
    let socket = socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(send_buffer)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A socket of the family of this address.
///
/// # Errors
/// Returns an error if the operating system does not provide one.
pub fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    match address.is_ipv4() {
        true => TcpSocket::new_v4(),
        false => TcpSocket::new_v6(),
    }
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
