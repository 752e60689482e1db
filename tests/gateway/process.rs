//! A gateway as a process of its own: what signals do to it.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{Value, json};
use tokio::net::TcpStream;

use crate::common::process::{Process, Signal};
use crate::common::{Place, arg, await_until};

const GATEWAY: &str = env!("CARGO_BIN_EXE_balsampitch-gateway");

/// A gateway's process with its settings file.
struct Alone {
    place: Place,
    settings: Value,
    process: Process,
}

impl Alone {
    /// Starts a gateway whose platform does not answer.
    fn start() -> Alone {
        let place = Place::new();
        let settings = json!({
            "name": "gateway", "listen": place.address(), "ready": place.address(),
            "metrics": place.address(), "peer": place.address(), "platform": place.address(),
            "zone": "a", "grace": 4.0, "descriptors": 1024,
            "retries": {"ratio": 0.2, "slack": 160.0, "window": 10.0},
            "telemetry": {"logs": "json"},
        });
        let path = place.write("gateway.json", &settings);
        let process = Process::start(&place, "gateway", GATEWAY, &["--settings", arg(&path)]);
        Alone {
            place,
            settings,
            process,
        }
    }

    fn path(&self) -> PathBuf {
        self.place.path("gateway.json")
    }

    /// Waits until callers can connect.
    async fn listening(&self) {
        let callers = self.settings["listen"].as_str();
        let callers: SocketAddr = callers.and_then(|a| a.parse().ok()).expect("an address");
        await_until("the gateway listens", || async move {
            TcpStream::connect(callers).await.is_ok()
        })
        .await;
    }

    /// Sends SIGHUP and waits for the line that says what came of it.
    async fn reload(&self, message: &str) {
        self.process.signal(Signal::Hangup);
        await_until(message, || async { self.process.log().contains(message) }).await;
    }
}

#[tokio::test]
async fn a_hangup_has_the_settings_read_anew_and_ends_nothing() {
    let mut alone = Alone::start();
    alone.listening().await;
    alone.settings["retries"]["ratio"] = json!(0.1);
    alone.place.write("gateway.json", &alone.settings);
    alone.reload("settings read anew").await;
    std::fs::write(alone.path(), "{").expect("the directory is writable");
    alone.reload("could not reload the settings").await;
    alone.listening().await;
    assert!(alone.process.ended().is_none());
    alone.process.signal(Signal::Term);
    assert!(alone.process.end().await.success());
}
