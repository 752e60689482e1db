//! Helpers that start processes for tests and call them over HTTP.

// Each test binary uses only some of the helpers.
#![allow(dead_code)]

pub mod collector;
pub mod http;
pub mod process;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::time::Duration;

/// Longest wait for an expected event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which an awaited condition is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// First port of an environment. Ports do not clash, as each environment has its own loopback
/// address.
const FIRST_PORT: u16 = 20_000;

/// A loopback address and a temporary directory of one fleet; the directory is removed on drop.
pub struct TestEnv {
    ip: IpAddr,
    port: AtomicU16,
    dir: PathBuf,
}

impl TestEnv {
    /// Creates an environment whose address and directory no other fleet on the machine uses.
    pub fn new() -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        let dir = format!("balsampitch-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).expect("the temporary directory is writable");
        TestEnv {
            ip: Ipv4Addr::new(127, high | 0x80, low, number).into(),
            port: AtomicU16::new(FIRST_PORT),
            dir,
        }
    }

    /// Returns a socket address that nothing else uses.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the path of a file in the directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Writes a JSON file into the directory.
    pub fn write(&self, name: &str, value: &serde_json::Value) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, value.to_string()).expect("the directory is writable");
        path
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Converts a path to a command-line argument.
pub fn arg(path: &Path) -> &str {
    path.to_str().expect("temporary paths are text")
}

/// Polls a condition until it is true.
///
/// # Panics
/// If that takes longer than [`WAIT_TIMEOUT`].
pub async fn await_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    assert!(waited.is_ok(), "timed out waiting for: {what}");
}
