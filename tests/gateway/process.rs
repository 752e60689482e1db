//! Signal handling of the gateway process.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{Value, json};
use tokio::net::TcpStream;

use crate::common::process::{Process, Signal};
use crate::common::{TestEnv, arg, await_until};

const GATEWAY: &str = env!("CARGO_BIN_EXE_balsampitch-gateway");

/// A gateway process with its settings file.
struct GatewayProcess {
    env: TestEnv,
    settings: Value,
    process: Process,
}

impl GatewayProcess {
    /// Starts a gateway whose platform does not answer.
    fn start() -> GatewayProcess {
        let env = TestEnv::new();
        let settings = json!({
            "name": "gateway", "listen": env.address(), "ready": env.address(),
            "metrics": env.address(), "peer": env.address(), "platform": env.address(),
            "zone": "a", "grace": 4.0, "descriptors": 1024,
            "retries": {"ratio": 0.2, "slack": 160.0, "window": 10.0},
            "telemetry": {"logs": "json"},
        });
        let path = env.write("gateway.json", &settings);
        let process = Process::start(&env, "gateway", GATEWAY, &["--settings", arg(&path)]);
        GatewayProcess {
            env,
            settings,
            process,
        }
    }

    fn path(&self) -> PathBuf {
        self.env.path("gateway.json")
    }

    /// Waits until clients can connect.
    async fn listening(&self) {
        let address = self.settings["listen"].as_str();
        let address: SocketAddr = address.and_then(|a| a.parse().ok()).expect("an address");
        await_until("the gateway listens", || async move {
            TcpStream::connect(address).await.is_ok()
        })
        .await;
    }

    /// Sends SIGHUP and waits for the log line with the result.
    async fn reload(&self, message: &str) {
        self.process.signal(Signal::Hangup);
        await_until(message, || async {
            self.process.output().contains(message)
        })
        .await;
    }
}

#[tokio::test]
async fn sighup_reloads_the_settings_and_the_process_keeps_running() {
    let mut gateway = GatewayProcess::start();
    gateway.listening().await;
    gateway.settings["retries"]["ratio"] = json!(0.1);
    gateway.env.write("gateway.json", &gateway.settings);
    gateway.reload("settings read anew").await;
    std::fs::write(gateway.path(), "{").expect("the directory is writable");
    gateway.reload("could not reload the settings").await;
    gateway.listening().await;
    assert!(gateway.process.try_wait().is_none());
    gateway.process.signal(Signal::Term);
    assert!(gateway.process.wait().await.success());
}
