//! Detects when a failed target accepts connections again.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Delay before the first probe.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum delay between two probes.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A target counts as ready if it leaves a new connection open for this long.
const MIN_OPEN_TIME: Duration = Duration::from_millis(30);

/// Probes a target until it is ready.
pub async fn wait_until_ready(target: SocketAddr) {
    let mut backoff = MIN_BACKOFF;
    loop {
        sleep(backoff).await;
        if accepts_connection(target).await {
            return;
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Returns whether the target accepts a connection and leaves it open for [`MIN_OPEN_TIME`].
async fn accepts_connection(target: SocketAddr) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await else {
        return false;
    };
    timeout(MIN_OPEN_TIME, stream.read_u8()).await.is_err()
}
