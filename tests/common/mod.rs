//! Starts real processes for tests, and calls them.

// Each test binary uses a part of it.
#![allow(dead_code)]

pub mod collector;
pub mod http;
pub mod process;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::time::Duration;

/// Longest wait for something that must come.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two looks at something that is awaited.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// First port of a fleet; its loopback address is its own.
const FIRST_PORT: u16 = 20_000;

/// A loopback address and a directory of one fleet; the directory goes when dropped.
pub struct TestEnv {
    ip: IpAddr,
    port: AtomicU16,
    dir: PathBuf,
}

impl TestEnv {
    /// An environment that no other fleet on the machine uses.
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

    /// An address that nothing else uses.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port.fetch_add(1, Ordering::Relaxed))
    }

    /// Path of a file in the directory.
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

/// A path as an argument.
pub fn arg(path: &Path) -> &str {
    path.to_str().expect("temporary paths are text")
}

/// Looks again and again until the future gives true.
///
/// # Panics
/// When that takes longer than [`WAIT_TIMEOUT`].
pub async fn await_until<F: Future<Output = bool>>(what: &str, look: impl Fn() -> F) {
    let looking = async {
        while !look().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, looking).await;
    assert!(waited.is_ok(), "waited too long: {what}");
}
