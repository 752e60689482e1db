//! A gateway process whose memory is watched, before a target under load and a sound one.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use crate::gateway_process::GatewayProcess;
use crate::store::Store;
use crate::target::{Behaviour, Target};

/// Time limit of all requests.
pub const TIMEOUT: Duration = Duration::from_secs(4);
/// Length of a watch.
const LENGTH: Duration = Duration::from_secs(4);
/// Time between two looks at the memory, or two requests of another client.
const PAUSE: Duration = Duration::from_millis(20);
/// How often a client that is turned away comes in all.
const TRIES: usize = 6;
/// A megabyte.
pub const MB: usize = 1 << 20;
/// Largest body of a request.
pub const MAX_BODY: usize = 4 * MB;
/// Held by the test that runs: each measures a process under load.
pub static ALONE: Mutex<()> = Mutex::const_new(());

/// A gateway before a target of each service: one that a flood concerns, and a sound one.
pub struct Host {
    /// The gateway.
    pub gateway: GatewayProcess,
    _store: Store,
    _sound: Target,
}

impl Host {
    /// Starts a gateway with this much memory before the target `flooded`.
    pub async fn start(memory_mb: usize, flooded: SocketAddr) -> Host {
        let store = Store::start(500).await;
        store.put_config(1, MAX_BODY, TIMEOUT);
        let sound = Target::start(&[Behaviour::Complete]).await;
        store.put_target("flooded", flooded);
        store.put_target_of("other", "sound", sound.addr);
        let settings = json!({"memory": memory_mb, "descriptors": 4_100});
        let gateway = GatewayProcess::start_with(Some(store.addr), &settings);
        gateway.ready().await;
        sleep(Duration::from_secs(1)).await;
        Host {
            gateway,
            _store: store,
            _sound: sound,
        }
    }

    /// While a flood goes on, looks at the memory and sends requests of another client, with bodies
    /// of usual size. Returns the largest memory and how many of the requests were served and not.
    pub async fn watch(&mut self) -> (usize, usize, usize) {
        let until = Instant::now() + LENGTH;
        let (mut most, mut served, mut failed) = (0, 0, 0);
        while Instant::now() < until {
            match self.is_served().await {
                true => served += 1,
                false => failed += 1,
            }
            most = most.max(resident(self.gateway.process.id()));
            sleep(PAUSE).await;
        }
        assert!(
            self.gateway.process.try_wait().is_none(),
            "the process goes on"
        );
        (most, served, failed)
    }

    /// Returns the largest memory within some time.
    pub async fn most_within(&self, time: Duration) -> usize {
        let until = Instant::now() + time;
        let mut most = 0;
        while Instant::now() < until {
            most = most.max(resident(self.gateway.process.id()));
            sleep(PAUSE).await;
        }
        most
    }

    /// Whether a request is served, which comes again when it is told that it has not run.
    async fn is_served(&self) -> bool {
        for _ in 0..TRIES {
            let reply = self.gateway.call("/other/1", &[b'x'; 16 * 1024]).await;
            let wait = reply.header("retry-after");
            let wait = wait.and_then(|wait| wait.parse().ok());
            match wait.filter(|_| reply.status == 503) {
                Some(seconds) => sleep(Duration::from_secs_f64(seconds)).await,
                None => return reply.status == 200 && reply.complete,
            }
        }
        false
    }
}

/// Resident memory of a process, in bytes.
fn resident(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kilobytes.unwrap_or(0_usize) << 10
}
