//! The gateway, started as the deploy file says, with settings as of a small deployment.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Command, Stdio};
use std::time::Duration;

use crate::http::Conn;
use crate::store::{Front, Store};
use crate::world::{SIGKILL, World, signal, sleep_ms};

/// Number of times that the gateways are started at most.
const STARTS: usize = 3;

const PROGRAM: &str = "target/release/balsampitch-gateway";

pub struct Gateway {
    world: World,
    pub name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    /// Where it reaches the store.
    pub store: Front,
    pid: u32,
}

impl Gateway {
    /// Starts a single gateway, and waits until it has been ready and undisturbed for longer than
    /// `contactMs` (3,000).
    pub fn start(world: &World, store: &Store) -> Result<Gateway, String> {
        let gateways = Gateway::start_fleet(world, store, &["a"])?;
        gateways
            .into_iter()
            .next()
            .ok_or_else(|| "no gateway".to_owned())
    }

    /// As [`Gateway::start`], a gateway in each of these zones.
    pub fn start_fleet(
        world: &World,
        store: &Store,
        zones: &[&str],
    ) -> Result<Vec<Gateway>, String> {
        let hosts: Vec<IpAddr> = (0..zones.len())
            .map(|n| IpAddr::from([127, 0, 0, 2 + n as u8]))
            .collect();
        // Another process may take a port between the choice and the start.
        for _ in 0..STARTS {
            let peer = common_port(&hosts).ok_or("no port is free on all addresses")?;
            let mut gateways = Vec::new();
            for (&host, zone) in hosts.iter().zip(zones) {
                gateways.push(Gateway::launch(
                    world, store, host, zone, peer, &hosts, zones,
                )?);
            }
            if gateways.iter().all(Gateway::await_ready) {
                world.note("all gateways are ready");
                sleep_ms(3_500);
                return Ok(gateways);
            }
            world.note("a gateway did not get ready: all are started again");
            gateways.iter().for_each(|gateway| gateway.signal(SIGKILL));
        }
        Err("the gateways do not get ready".to_owned())
    }

    fn launch(
        world: &World,
        store: &Store,
        host: IpAddr,
        zone: &str,
        peer: u16,
        hosts: &[IpAddr],
        zones: &[&str],
    ) -> Result<Gateway, String> {
        let dir = world.scratch();
        std::fs::create_dir_all(dir).map_err(|error| error.to_string())?;
        let free: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind((host, 0)).unwrap())
            .collect();
        let [listen, ready, metrics] = [0, 1, 2].map(|n| free[n].local_addr().unwrap());
        drop(free);
        let store = store.front();
        let seeds: Vec<String> = hosts
            .iter()
            .take(3)
            .map(|h| format!("\"{h}:{peer}\""))
            .collect();
        let table: Vec<String> = zones
            .iter()
            .map(|zone| format!("\"{zone}\": \"r\""))
            .collect();
        let name = format!("front-{host}");
        let settings = format!(
            r#"{{
  "name": "{name}", "listen": "{listen}", "ready": "{ready}", "metrics": "{metrics}",
  "peer": "{host}:{peer}", "seeds": [{}], "first": true, "zone": "{zone}", "region": "r",
  "zones": {{{}}}, "platform": "{}", "descriptors": 4200, "memory": 260, "cores": 0.19, "grace": 8,
  "retries": {{ "ratio": 0.2, "slack": 54, "window": 10 }},
  "engines": {{ "fetch": true, "reserve": true }}, "telemetry": {{ "logs": "json" }}
}}"#,
            seeds.join(", "),
            table
                .into_iter()
                .collect::<BTreeSet<_>>()
                .into_iter()
                .collect::<Vec<_>>()
                .join(", "),
            store.addr
        );
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(dir.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        end_with_rig(&mut command);
        let child = command
            .arg("--settings")
            .arg(&path)
            .env("BALSAMPITCH_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        world.owns(child.id());
        Ok(Gateway {
            world: world.clone(),
            name,
            clients: listen,
            ready,
            store,
            pid: child.id(),
        })
    }

    fn await_ready(&self) -> bool {
        (0..120).any(|_| {
            sleep_ms(50);
            self.is_ready()
        })
    }

    fn is_ready(&self) -> bool {
        let ask = || {
            let stream = TcpStream::connect(self.ready)?;
            let mut conn = Conn::new(stream);
            conn.limit(Duration::from_secs(1));
            conn.send(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok::<u16, std::io::Error>(conn.head()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn signal(&self, number: i32) {
        self.world
            .note(format!("{}: gets signal {number}", self.name));
        signal(self.pid, number);
    }
}

/// Has the process killed if the rig ends without doing so itself.
fn end_with_rig(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    let set = || {
        // SAFETY: a plain system call with numbers.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
        Ok(())
    };
    // SAFETY: the closure only makes this call.
    unsafe { command.pre_exec(set) };
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// A port that is free on all these addresses.
fn common_port(hosts: &[IpAddr]) -> Option<u16> {
    (0..50).find_map(|_| {
        let first = TcpListener::bind((*hosts.first()?, 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        let is_free = |host: &IpAddr| TcpListener::bind((*host, port)).is_ok();
        hosts[1..].iter().all(is_free).then_some(port)
    })
}
