//! Finds out when a target that failed takes connections again.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Pause before the first probe.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two probes.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A target that does not close a fresh connection for this long serves again.
const HOLD_TIME: Duration = Duration::from_millis(30);

/// Probes a target until it serves.
pub async fn serves(target: SocketAddr) {
    let mut pause = FIRST_PAUSE;
    loop {
        sleep(pause).await;
        if holds_connection(target).await {
            return;
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Whether the target takes a connection and does not drop it at once.
async fn holds_connection(target: SocketAddr) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await else {
        return false;
    };
    timeout(HOLD_TIME, stream.read_u8()).await.is_err()
}
